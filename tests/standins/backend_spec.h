#ifndef GODWITPADDLE_TESTS_STANDINS_BACKEND_SPEC_H_
#define GODWITPADDLE_TESTS_STANDINS_BACKEND_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "decision/config.h"

namespace godwitpaddle::standins {

/// One backend server as it announces itself.
struct BackendSpec {
  std::string server;
  std::string vm;
  std::string rack;
  std::string zone;
  std::string service;
  std::string address;
  int slots = 8;
  int connections = 64;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};

/// Merges the files of a configuration folder. Throws std::runtime_error.
FleetConfig ReadConfigFolder(const std::string& folder);

/// One server for each VM of the configuration folder whose pool runs `service` (all services when
/// it is empty), on consecutive ports of `host`. Throws std::runtime_error.
std::vector<BackendSpec> ReadBackendSpecs(const std::string& folder, const std::string& service,
                                          const std::string& host, int first_port);

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_BACKEND_SPEC_H_

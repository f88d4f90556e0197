#ifndef GODWITPADDLE_TESTS_STANDINS_BACKEND_SPEC_H_
#define GODWITPADDLE_TESTS_STANDINS_BACKEND_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "decision/config.h"

namespace godwitpaddle::standins {

/// Properties of a backend server that it announces to the gateways.
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

/// Reads and merges the files of a configuration folder. Throws std::runtime_error if the result is
/// not valid.
FleetConfig ReadConfigFolder(const std::string& folder);

/// Returns one server for each VM of the configuration folder whose pool runs `service` (empty: any
/// service), on consecutive ports of `host`. Throws std::runtime_error if there is no such VM or
/// the configuration is not valid.
std::vector<BackendSpec> ReadBackendSpecs(const std::string& folder, const std::string& service,
                                          const std::string& host, int first_port);

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_BACKEND_SPEC_H_

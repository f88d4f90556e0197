#ifndef GODWITPADDLE_TESTS_STANDINS_PLATFORM_H_
#define GODWITPADDLE_TESTS_STANDINS_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/task.h"

namespace godwitpaddle::standins {

struct PlatformVm {
  std::string vm;
  std::string pool;
  std::string zone;
  std::string rack;
};

struct PlatformOptions {
  std::string address;  // to listen on
  std::vector<PlatformVm> vms;
  std::map<std::string, std::string> services;  // service of each pool, for moves
  std::vector<std::string> control_addresses;   // control addresses of the stand-in servers
  std::int64_t operation_ms = 1'000;            // duration of an operation
  std::int64_t away_ms = 500;                   // downtime of a VM's server
};

/// Simulated platform that answers GET /vms and PUT and GET /operations/{id}. A reboot or move
/// stops the VM's stand-in server for `away_ms`. POST /control/faults sets any of
/// {"fail_next":N,"fail_vms":[..],"unreachable":bool,"operation_ms":N,"away_ms":N}: the next N
/// operations fail, operations on these VMs fail, calls get no answer, and the two durations.
class Platform : public Task<HttpEvent> {
 public:
  explicit Platform(PlatformOptions options);
  ~Platform() override;

 private:
  struct Operation {
    std::string vm;
    std::string action;
    std::string pool;
    std::string state = "running";
    std::string error;
  };

  void Handle(HttpEvent request) override;
  RespondEffect Answer(const HttpEvent& request);
  RespondEffect ListVms() const;
  RespondEffect PutOperation(const std::string& id, const std::string& body);
  RespondEffect SetFaults(const std::string& body);
  /// Whether an operation on the VM must fail; counts `fail_next_` down.
  bool ShouldFail(const std::string& vm);
  void StartOperation(const std::string& id, const Operation& operation);
  void FinishOperation(const std::string& id);

  PlatformOptions options_;
  HttpClient client_;
  std::map<std::string, Operation> operations_;
  int fail_next_ = 0;
  std::set<std::string> fail_vms_;
  bool unreachable_ = false;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_PLATFORM_H_

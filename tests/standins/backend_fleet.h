#ifndef GODWITPADDLE_TESTS_STANDINS_BACKEND_FLEET_H_
#define GODWITPADDLE_TESTS_STANDINS_BACKEND_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/task.h"
#include "tests/standins/backend_records.h"
#include "tests/standins/backend_spec.h"

namespace godwitpaddle::standins {

struct BackendFleetOptions {
  std::vector<BackendSpec> specs;
  /// HTTP addresses of gateways; a server tries the next one after a failed announcement.
  std::vector<std::string> gateways;
  std::string control_address;  // serves GET /stats, GET /starts and POST /control/...
  std::string record_file;      // see BackendRecords; empty: no file
  std::uint64_t seed = 1;       // part of the servers' incarnations
};

/// Simulated backend servers in one process, each on a port of its own. One task owns their state.
///
/// Control requests:
/// - POST /control/vms {"vm","action":"reboot|move","away_ms","service"} stops the VM's server and
///   starts it after `away_ms` with a new incarnation, and with another service if one is given.
/// - POST /control/failing {"server","mode":"500|reset|hang|"} makes a server fail all new tasks
///   in this way; an empty mode ends this.
/// - POST /control/silent {"server","silent":true} makes a server send no announcements.
class BackendFleet : public Task<std::function<void()>> {
 public:
  explicit BackendFleet(BackendFleetOptions options);
  ~BackendFleet() override;

  /// Announces that all servers leave. Calls `on_left` when their tasks have ended and a gateway
  /// has accepted each announcement.
  void Leave(std::function<void()> on_left);

 private:
  struct Backend;
  struct RunningTask;

  void Handle(std::function<void()> action) override { action(); }

  void StartServer(Backend& backend);
  void StopServer(Backend& backend);
  void TakeDown(Backend& backend, Micros duration);
  void Announce(Backend& backend);
  void ScheduleAnnouncement(Backend& backend, Micros delay);
  void OnAnnounceReply(Backend& backend, const HttpResult& result);
  void RenewLease(Backend& backend, const std::string& task, Micros lease);

  void Serve(Backend& backend, const HttpEvent& request);
  void StartTask(Backend& backend, const std::string& task, const HttpEvent& request);
  std::optional<RespondEffect> RefuseTask(Backend& backend, const std::string& task,
                                          const HttpEvent& request);
  void OrderTask(Backend& backend, const std::string& task, const std::string& order,
                 std::uint64_t connection);
  void FinishTask(Backend& backend, const std::string& task);
  void EndTask(Backend& backend, const std::string& task, const std::string& end,
               RespondEffect response);

  void Control(const HttpEvent& request);
  RespondEffect AnswerControl(const HttpEvent& request);
  void CheckLeaveComplete();

  const BackendFleetOptions options_;
  HttpClient client_;
  BackendRecords records_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::unique_ptr<HttpServer> control_;
  std::function<void()> on_left_;
};

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_BACKEND_FLEET_H_

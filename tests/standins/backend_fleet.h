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
  std::vector<std::string> gateways;  // HTTP addresses, used in turn
  std::string control_address;        // GET /stats, GET /starts, POST /control/...
  std::string record_file;
  std::uint64_t seed = 1;
};

/// Backend servers of one process, each with its own port; all state lives in one task.
///
/// Control requests: POST /control/vms {"vm","action":"reboot|move","away_ms","service"} takes the
/// VM's server away and brings it back with a new incarnation; POST /control/failing
/// {"server","mode":"500|reset|hang|"} makes a server fail all tasks; POST /control/silent
/// {"server","silent":true} stops its announcements.
class BackendFleet : public Task<std::function<void()>> {
 public:
  explicit BackendFleet(BackendFleetOptions options);
  ~BackendFleet() override;

  /// Announces that all servers leave; `left` is called when their tasks have ended and a gateway
  /// has taken the announcement.
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

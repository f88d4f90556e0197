#ifndef GODWITPADDLE_TESTS_FAKE_BACKEND_H_
#define GODWITPADDLE_TESTS_FAKE_BACKEND_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/virtual_cluster.h"

namespace godwitpaddle::testing {

/// A caller's request as the fake backend servers execute it. It is sent as the body of the HTTP
/// request.
struct Job {
  std::string id;
  TeamId team;
  bool once = false;  // non-idempotent: a second start is a violation
  int run_ms = 50;

  std::string Body() const;
  static Job FromBody(const std::string& body);
};

/// Fake backend server on its VM.
struct FakeServer {
  struct Task {
    Job job;
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    Micros lease_until = 0;
  };
  VmId vm;
  PoolId pool;
  std::string rack;
  std::string zone;
  int slots = 8;
  int incarnation = 1;
  bool up = true;
  bool fails_everything = false;
  bool refuses_everything = false;
  /// When the server began to announce that it is leaving; 0: it is not leaving.
  Micros leaving_since = 0;
  /// When an owner first accepted an announcement that the server is leaving; 0: not yet.
  Micros leave_accepted = 0;
  std::uint64_t announcements = 0;
  Micros silent_until = 0;  // the server sends no announcements until this time
  std::uint64_t epoch = 0;
  std::map<std::string, Task> tasks;

  std::string address() const { return vm + ":80"; }
};

/// Fake backend servers and platform of a virtual cluster. They check what can only be observed
/// outside the nodes: repeated starts, limits of teams, slots of servers and planned stops.
class FakeBackend : public Environment {
 public:
  explicit FakeBackend(VirtualCluster& cluster) : cluster_(cluster) {}

  /// Adds a backend server that announces itself. The name of its service is that of the pool.
  void AddServer(const VmId& vm, const PoolId& pool, const std::string& rack,
                 const std::string& zone, int slots);
  void set_limit(const TeamId& team, int limit) { limits_[team] = limit; }
  void set_min_available(const PoolId& pool, int vms) { min_available_[pool] = vms; }
  void set_platform_failures(double probability) { platform_failures_ = probability; }
  /// Ends all tasks of the VM's backend server. The server restarts as a new incarnation after the
  /// time `down`.
  void Crash(const VmId& vm, Micros down);
  std::map<VmId, FakeServer>& servers() { return servers_; }

  void StartTask(std::size_t node, const StartTaskEffect& start) override;
  void OrderTask(std::size_t node, const OrderTaskEffect& order) override;
  void CallPlatform(std::size_t node, const PlatformCall& call) override;

  int StartsOf(const std::string& job) const;
  const std::string& StartLogOf(const std::string& job) const { return start_log_.at(job); }
  int RunningOf(const TeamId& team) const;
  std::uint64_t starts() const { return total_starts_; }
  std::uint64_t reboots() const { return reboots_; }
  const std::vector<std::string>& violations() const { return violations_; }
  void AddViolation(const std::string& text) { violations_.push_back(text); }

 private:
  void Announce(const VmId& vm);
  void ReceiveStart(std::size_t node, std::uint64_t incarnation, const StartTaskEffect& start);
  void CheckStart(const FakeServer& server, const Job& job, const std::string& task_id);
  void EndTask(FakeServer& server, const std::string& task_id, TaskEvent event);
  void ExpireLease(const VmId& vm, const std::string& task_id);
  void ReportEnd(std::size_t node, std::uint64_t incarnation, TaskEvent event);
  void StartOperation(const PlatformCall& call);

  struct Operation {
    PlatformCall call;
    PlatformState state = PlatformState::kRunning;
  };

  VirtualCluster& cluster_;
  std::map<VmId, FakeServer> servers_;
  std::map<TeamId, int> limits_;
  std::map<PoolId, int> min_available_;
  std::map<std::string, int> starts_;
  std::map<std::string, std::string> start_log_;  // tasks and times of the starts of each job
  std::map<TeamId, int> running_;
  std::map<std::string, Operation> operations_;
  double platform_failures_ = 0;
  std::uint64_t total_starts_ = 0;
  std::uint64_t reboots_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_FAKE_BACKEND_H_

#ifndef GODWITPADDLE_TESTS_JOB_CLUSTER_H_
#define GODWITPADDLE_TESTS_JOB_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "control/core_node.h"
#include "control/edge_node.h"
#include "tests/fake_worker.h"

namespace godwitpaddle::testing {

struct JobClusterOptions {
  std::size_t cores = 5;
  std::size_t edges = 2;
  std::uint64_t seed = 1;
  double loss = 0;                      // of messages between nodes
  Micros max_delay = 2 * kMillisecond;  // of each message
  double lost_answers = 0;              // of workers' answers; the order was carried out
  double late_orders = 0;               // not answered, and carried out seconds later
  double power_loss_after_ack = 0;      // of all core nodes, when a worker is told to forget ends
  double lost_vm_answers = 0;           // of the platform's answers; the order was carried out
  Micros sync_time = 2 * kMillisecond;  // of a disk, and up to max_delay more

  // What the platform's pages allow beyond that; probabilities unless said otherwise.
  double delayed_answers = 0;   // of workers, by up to 1.5 s, so that others overtake them
  double unhealthy = 0;         // workers that answer a start with "unhealthy"
  double late_heartbeats = 0;   // arrive once more, 1 to 10 s later
  double late_leave_calls = 0;  // the same
  double late_vm_answers = 0;   // after the call's time-out or close to it; carried out meanwhile
  double throttled_vm_calls = 0;
  double reset_vm_calls = 0;  // some of them carried out
  /// VMs that are away or whose worker drains are busy, and those of pools that are off are listed.
  bool tracks_vms = false;
  bool slow_stops = false;           // a stopped run goes on for up to the announced time
  bool refused_connections = false;  // at the address of a worker that has ended
  /// A late order outlives the worker's process: the next incarnation carries it out. The
  /// platform's pages leave that open.
  bool late_after_restart = false;
};

/// Nodes of job control in virtual time, over links, disks, workers and a platform that can fail.
/// All randomness comes from one seed. What workers see is checked against the promises of job
/// control; breaches are collected.
class JobCluster {
 public:
  using OnAnswer = std::function<void(const jobs::Answer&)>;

  explicit JobCluster(JobClusterOptions options);
  JobCluster(const JobCluster&) = delete;
  JobCluster& operator=(const JobCluster&) = delete;

  Micros now() const { return now_; }
  WallMs wall() const { return kWallStart + now_ / kMillisecond; }
  Rng& rng() { return rng_; }
  void At(Micros time, std::function<void()> action);
  void After(Micros delay, std::function<void()> action) { At(now_ + delay, std::move(action)); }
  void RunFor(Micros time);
  bool RunUntilTrue(const std::function<bool()>& condition, Micros limit);

  // Nodes: the cores come first, then the edges.
  std::size_t cores() const { return options_.cores; }
  std::size_t size() const { return slots_.size(); }
  std::size_t edge(std::size_t index) const { return options_.cores + index; }
  bool alive(std::size_t node) const { return slots_[node].core || slots_[node].edge; }
  std::optional<std::size_t> Leader() const;
  const jobs::State& state(std::size_t core) const { return slots_[core].core->state(); }
  void Kill(std::size_t node);
  /// Begins the graceful shutdown.
  void Shutdown(std::size_t node);
  void LosePower(std::size_t node);
  void LoseDisk(std::size_t node);
  void Start(std::size_t node);
  void Freeze(std::size_t node, Micros duration);
  void Isolate(std::size_t node, Micros duration);

  /// A call at a node; `done` gets the answer, or kUnknown when the node ends first.
  void Call(std::size_t node, jobs::Call call, OnAnswer done, std::int64_t timeout_ms = 3'000);
  /// The same, and runs until the answer has come.
  jobs::Answer CallAndWait(std::size_t node, jobs::Call call, std::int64_t timeout_ms = 3'000);

  // Workers.
  /// On a VM of its own unless one is named.
  FakeWorker& AddWorker(const std::string& service, jobs::Resources capacity, jobs::VmId vm = {});
  std::map<jobs::WorkerId, FakeWorker>& workers() { return workers_; }
  void CrashWorker(const jobs::WorkerId& id);
  /// A new incarnation at the same id.
  void RestartWorker(const jobs::WorkerId& id);
  void CutWorker(const jobs::WorkerId& id, Micros duration);
  /// It reports that it drains, serves for some seconds, says goodbye and ends: at once when that
  /// was answered, else some seconds later. Its VM comes back with a new incarnation or a new
  /// worker.
  void DrainWorker(const jobs::WorkerId& id);
  /// It crashes, and another worker joins on its VM, at its address.
  void ReplaceWorker(const jobs::WorkerId& id, Micros away);
  /// A VM of a pool that is off; only with follows_vms.
  void AddStandbyVm(const std::string& pool, jobs::Resources capacity);
  /// A client was told that the job is cancelled or completed.
  void RecordJobClosed(jobs::JobId job) { closed_jobs_.try_emplace(job, now_); }
  /// Whether a run of the task has ended as done at some worker.
  bool HasEndedDone(const jobs::TaskId& task);
  std::uint64_t moved = 0;              // VMs, to other pools
  std::set<std::string> standby_pools;  // their VMs have no workers
  std::vector<std::string> maintained;  // VMs, in order
  /// Bounds of waves, checked at each maintenance.
  std::map<jobs::WaveId, std::size_t> wave_bounds;
  std::uint64_t power_losses = 0;

  std::vector<std::string> violations;
  void AddViolation(std::string what);
  const std::deque<std::string>& log() const { return log_; }
  JobClusterOptions& options() { return options_; }

  static constexpr WallMs kWallStart = 1'700'000'000'000;

 private:
  struct Slot {
    std::unique_ptr<jobs::CoreNode> core;
    std::unique_ptr<jobs::EdgeNode> edge;
    std::uint64_t incarnation = 0;
    replication::ReplicaId replica;
    replication::StoredState disk;
    std::vector<replication::PersistBatch> unsynced;
    Micros frozen_until = 0;
    std::map<std::uint64_t, OnAnswer> waiting;
  };
  struct ScheduledAction {
    Micros time = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const ScheduledAction& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  /// A VM as the platform sees it.
  struct Vm {
    std::string pool;
    jobs::Resources capacity;
    jobs::WorkerId worker;  // the newest
    jobs::VmPhase phase = jobs::VmPhase::kUp;
  };

  /// An order on its way to a worker.
  struct OrderInTransit {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    jobs::OrderEffect order;
    std::int64_t incarnation_ms = 0;  // of the incarnation that was there
    Micros sent = 0;
    bool answered = true;
    bool late = false;
  };

  std::string Address(std::size_t node) const { return "node-" + std::to_string(node); }
  void Deliver(std::size_t node, std::uint64_t incarnation, jobs::Event event);
  void Step(std::size_t node, const jobs::Event& event);
  void ExecuteEffect(std::size_t node, jobs::Effect& effect);
  void SendOrder(std::size_t node, const jobs::OrderEffect& order);
  void SendVmOrder(std::size_t node, const jobs::VmEffect& effect);
  void MaintainOnce(const jobs::MaintainVm& order);
  void RecordMaintenance(const jobs::MaintainVm& order);
  /// Power comes back after half a second; what was not synced is gone, and so is what was on its
  /// way to the nodes.
  void LoseAllPower();
  void ExecuteOrder(const OrderInTransit& transit);
  void ReplyInTime(const OrderInTransit& transit, jobs::OrderReply reply);
  void ReplyWithoutWorker(std::size_t node, const jobs::OrderEffect& order, bool cut);
  void ExecuteVmOrder(std::size_t node, std::uint64_t incarnation, const jobs::VmEffect& effect,
                      Micros wait);
  void AnswerVmOrder(std::size_t node, std::uint64_t incarnation, std::uint64_t token,
                     jobs::VmReply reply, Micros delay);
  jobs::VmReply ApplyVmOrder(const jobs::VmOrder& order);
  jobs::VmReply ListAll() const;
  jobs::VmOutcome Move(const jobs::MoveVm& order);
  jobs::VmOutcome Maintain(const jobs::MaintainVm& order);
  bool IsBusy(const Vm& vm) const;
  void TakeDown(const jobs::VmId& vm);
  void SendLeave(const jobs::WorkerId& id, std::int64_t incarnation_ms);
  void EndDepartingWorker(const jobs::WorkerId& id, std::int64_t incarnation_ms);
  Micros RandomBetween(Micros least, Micros most) {
    return least +
           static_cast<Micros>(UniformBelow(rng_, static_cast<std::uint64_t>(most - least)));
  }
  void Log(const std::string& text);
  void Reply(std::size_t node, std::uint64_t incarnation, std::uint64_t token,
             jobs::OrderReply reply, Micros delay);
  void CheckStart(const FakeWorker& worker, const OrderInTransit& transit,
                  const jobs::StartOrder& order);
  /// An end that the worker is told to forget: nothing may have started since.
  void CheckAcknowledgedEnd(const FakeWorker& worker, const jobs::EndedRun& end);
  void ScheduleTick(std::size_t node, std::uint64_t incarnation);
  void ScheduleHeartbeat(const jobs::WorkerId& id);
  void EndProcess(Slot& slot);
  Micros RandomDelay();
  bool Chance(double probability) { return UniformUnit(rng_) < probability; }

  JobClusterOptions options_;
  Rng rng_;
  std::vector<Slot> slots_;
  std::map<std::string, std::size_t> by_address_;
  std::map<std::size_t, Micros> isolated_;
  std::map<jobs::WorkerId, FakeWorker> workers_;
  std::map<jobs::WorkerId, Micros> cut_workers_;
  std::set<std::pair<jobs::WaveId, jobs::VmId>> maintained_;
  std::map<jobs::WaveId, std::size_t> being_maintained_;
  std::set<jobs::TaskId> acknowledged_done_;  // tasks with a noted end `done`
  std::set<jobs::TaskId> ended_done_;         // tasks with any end `done`
  std::map<jobs::JobId, Micros> closed_jobs_;
  std::map<jobs::VmId, Vm> vms_;
  std::map<jobs::TaskId, std::map<std::uint32_t, Micros>> starts_;  // last start of each run
  Micros now_ = 0;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_worker_ = 1;
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> queue_;
  std::deque<std::string> log_;
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_JOB_CLUSTER_H_

#ifndef GODWITPADDLE_TESTS_MANUAL_WORKER_FLEET_H_
#define GODWITPADDLE_TESTS_MANUAL_WORKER_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "control/worker_fleet.h"

/// A WorkerFleet and a State in virtual time, whose orders the test answers.
namespace godwitpaddle::testing {

/// One incarnation of a worker: what it says when it is asked.
struct WorkerIncarnation {
  jobs::WorkerId id;
  std::int64_t incarnation_ms = 0;
  jobs::VmId vm;
  std::string address;
  Micros clock_set_at = 0;  // its clock shows `first_clock_ms` then
  std::int64_t initial_clock_ms = 0;
  double clock_rate = 1.0;  // of its clock
  std::uint64_t sequence = 0;
  std::vector<jobs::RunningTask> running;
  std::vector<jobs::EndedRun> ended;

  std::int64_t ClockAt(Micros now) const {
    return initial_clock_ms + static_cast<std::int64_t>(static_cast<double>(now - clock_set_at) *
                                                        clock_rate / kMillisecond);
  }
};

/// Applies each proposal at once and collects the orders. Holds are answered at once with the lists
/// of the worker's present life, except those to workers in `silent`; all else waits for the test.
class ManualWorkerFleet {
 public:
  static constexpr WallMs kWall = 1'700'000'000'000;
  static constexpr jobs::JobId kJob = 1;
  static constexpr std::int64_t kInitialClockMs = 500'000;  // of a worker that was there before

  ManualWorkerFleet() {
    jobs::Configuration configuration{.version = 1};
    configuration.services = {{.name = "print"}};
    configuration.queues = {
        {.name = "quotes", .prefix = "/q/", .service = "print", .attempts = 3, .open = true}};
    state.Apply(jobs::Configure{.configuration = configuration});
    Submit(1);
    fleet.BeginTerm(1, now, Wall());
  }
  ManualWorkerFleet(const ManualWorkerFleet&) = delete;
  ManualWorkerFleet& operator=(const ManualWorkerFleet&) = delete;

  WallMs Wall() const { return kWall + now / kMillisecond; }

  /// The job again, with so many tasks; only before anything else.
  void Submit(std::uint32_t tasks) {
    jobs::Submit submit{.job = next_job++, .queue = "quotes", .wall_ms = Wall()};
    submit.spec.payload = "text";
    submit.spec.steps = {{.count = tasks, .size = {.cpu = 1'000}, .estimate_ms = 1'000}};
    state.Apply(submit);
  }

  // ---- workers ----

  /// A worker that began long ago reports, and its lists are read.
  WorkerIncarnation& AddWorker(const jobs::WorkerId& id, const jobs::VmId& vm) {
    workers[id] = {.id = id,
                   .incarnation_ms = Wall() - kInitialClockMs,
                   .vm = vm,
                   .address = id + ":1",
                   .clock_set_at = now,
                   .initial_clock_ms = kInitialClockMs};
    Report(workers[id]);
    Wait(100 * kMillisecond);
    return workers[id];
  }

  /// A new life under the same id, which holds and knows nothing of before. It has not reported.
  WorkerIncarnation& Restart(const jobs::WorkerId& id) {
    WorkerIncarnation& worker = workers.at(id);
    const WorkerIncarnation previous = worker;
    worker = {.id = id,
              .incarnation_ms = Wall(),
              .vm = previous.vm,
              .address = previous.address,
              .clock_set_at = now,
              .initial_clock_ms = 1};
    return worker;
  }

  jobs::HeartbeatCall MakeReport(WorkerIncarnation& worker) const {
    return {.record = {.id = worker.id,
                       .incarnation_ms = worker.incarnation_ms,
                       .address = worker.address,
                       .service = "print",
                       .zone = "a",
                       .vm = worker.vm,
                       .capacity = {.cpu = 8'000, .memory_mb = 8'000}},
            .sequence = ++worker.sequence,
            .clock_ms = worker.ClockAt(now)};
  }
  bool Deliver(const jobs::HeartbeatCall& call) {
    const bool accepted = fleet.OnHeartbeat(call, now, Wall(), out);
    ProcessPending();
    return accepted;
  }
  bool Report(WorkerIncarnation& worker) { return Deliver(MakeReport(worker)); }

  // ---- time ----

  /// What was proposed takes effect, and holds that can be answered are.
  void ProcessPending() {
    do {
      for (const jobs::Command& command : std::exchange(proposed, {})) Apply(command);
      CollectEffects();
    } while (!proposed.empty() || AnswerLeaseRenewal());
  }

  void Apply(const jobs::Command& command) {
    const jobs::ApplyOutcome outcome = state.Apply(command);
    applied.push_back(command);
    fleet.OnApplied(command, outcome, now, Wall(), out);
  }

  void Wait(Micros duration) {
    for (const Micros end = now + duration; now < end;) {
      now = std::min(end, now + 10 * kMillisecond);
      fleet.Tick(now, Wall(), out);
      ProcessPending();
    }
  }

  /// Another leader begins on this node with all that was decided before.
  void ChangeLeader() {
    fleet.EndTerm();
    orders.clear();
    fleet.BeginTerm(++term, now, Wall());
  }

  // ---- runs and orders ----

  jobs::TaskId FirstTask() const { return {.job = kJob}; }

  jobs::ApplyOutcome Assign(const jobs::TaskId& task, const jobs::WorkerId& worker) {
    const jobs::Assign assign{.task = task, .run = state.FindTask(task)->run + 1, .worker = worker};
    const jobs::ApplyOutcome outcome = state.Apply(assign);
    applied.emplace_back(assign);
    fleet.OnApplied(assign, outcome, now, Wall(), out);
    ProcessPending();
    return outcome;
  }

  /// The oldest order of this kind that is not answered.
  template <typename Kind>
  jobs::OrderEffect Take(const jobs::WorkerId& worker) {
    const auto found = std::ranges::find_if(orders, [&](const jobs::OrderEffect& order) {
      return order.worker == worker && std::holds_alternative<Kind>(order.order);
    });
    if (found == orders.end()) throw std::logic_error("no such order to " + worker);
    jobs::OrderEffect order = *found;
    orders.erase(found);
    return order;
  }
  template <typename Kind>
  std::size_t Pending(const jobs::WorkerId& worker) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(orders, [&](const jobs::OrderEffect& order) {
          return order.worker == worker && std::holds_alternative<Kind>(order.order);
        }));
  }

  void Answer(const jobs::OrderEffect& order, jobs::OrderReply reply) {
    fleet.OnReply({.token = order.token, .reply = std::move(reply)}, now, Wall(), out);
    ProcessPending();
  }
  /// An answer of the worker that is there now.
  void Answer(const jobs::OrderEffect& order, jobs::OrderOutcome outcome,
              jobs::RefusalReason reason = jobs::RefusalReason::kNone) {
    Answer(order, MakeReply(workers.at(order.worker), outcome, reason));
  }
  jobs::OrderReply MakeReply(const WorkerIncarnation& worker, jobs::OrderOutcome outcome,
                             jobs::RefusalReason reason = jobs::RefusalReason::kNone) const {
    const bool answered =
        outcome == jobs::OrderOutcome::kDone || outcome == jobs::OrderOutcome::kRefused;
    return {.outcome = outcome, .reason = reason, .clock_ms = answered ? worker.ClockAt(now) : 0};
  }
  jobs::OrderReply MakeLists(const WorkerIncarnation& worker) const {
    jobs::OrderReply reply = MakeReply(worker, jobs::OrderOutcome::kDone);
    reply.incarnation_ms = worker.incarnation_ms;
    reply.running = worker.running;
    reply.ended = worker.ended;
    return reply;
  }

  /// Only the phase is kept of a job that has ended.
  jobs::TaskPhase PhaseOf(const jobs::TaskId& task) const {
    const jobs::Task* found = state.FindTask(task);
    if (found != nullptr) return found->phase;
    const bool completed = state.FindJob(task.job)->phase == jobs::JobPhase::kCompleted;
    return completed ? jobs::TaskPhase::kDone : jobs::TaskPhase::kWaiting;
  }
  /// Whether the task's present run may still be running, as far as the leader knows.
  bool Assigned(const jobs::TaskId& task) const {
    return PhaseOf(task) == jobs::TaskPhase::kAssigned;
  }
  bool Waiting(const jobs::TaskId& task) const {
    return PhaseOf(task) == jobs::TaskPhase::kWaiting;
  }
  /// Reason of the last run that was given up without a listed end; empty for none.
  std::string LastReason() const { return reasons.empty() ? std::string() : reasons.back(); }

  jobs::State state;
  std::vector<jobs::Command> proposed;
  std::vector<jobs::Command> applied;
  jobs::Outbox out;
  Micros now = 1'000 * kSecond;
  std::uint64_t term = 1;
  jobs::JobId next_job = kJob;
  jobs::WorkerFleet fleet{
      {}, state, [this](jobs::Command command) { proposed.push_back(std::move(command)); }};
  std::map<jobs::WorkerId, WorkerIncarnation> workers;
  std::vector<jobs::WorkerId> silent_workers;  // their holds wait for the test
  std::vector<jobs::OrderEffect> orders;
  std::vector<jobs::VmEffect> vm_orders;  // of whatever else the test lets propose
  std::vector<std::string> reasons;

 private:
  void CollectEffects() {
    for (jobs::Effect& effect : std::exchange(out.effects, {})) {
      if (auto* order = std::get_if<jobs::OrderEffect>(&effect)) {
        orders.push_back(std::move(*order));
      } else if (auto* vm_order = std::get_if<jobs::VmEffect>(&effect)) {
        vm_orders.push_back(std::move(*vm_order));
      } else if (const auto* log = std::get_if<LogEffect>(&effect)) {
        RecordReason(*log);
      }
    }
  }

  void RecordReason(const LogEffect& log) {
    if (log.event != "run_concluded") return;
    for (const auto& [name, value] : log.fields) {
      if (name == "reason") reasons.push_back(value);
    }
  }

  /// Returns whether there was any.
  bool AnswerLeaseRenewal() {
    const auto found = std::ranges::find_if(orders, [this](const jobs::OrderEffect& order) {
      return std::holds_alternative<jobs::RenewLeaseOrder>(order.order) &&
             workers.contains(order.worker) &&
             std::ranges::find(silent_workers, order.worker) == silent_workers.end();
    });
    if (found == orders.end()) return false;
    const jobs::OrderEffect order = *found;
    orders.erase(found);
    WorkerIncarnation& worker = workers.at(order.worker);
    const std::uint64_t acknowledged =
        std::get<jobs::RenewLeaseOrder>(order.order).acknowledged_ends;
    std::erase_if(worker.ended,
                  [&](const jobs::EndedRun& end) { return end.number <= acknowledged; });
    fleet.OnReply({.token = order.token, .reply = MakeLists(worker)}, now, Wall(), out);
    return true;
  }
};

inline constexpr const char* kWorker = "worker-1";

/// A worker that has been there for long, and a job of one task.
struct SingleWorkerFleet : ManualWorkerFleet {
  SingleWorkerFleet() { AddWorker(kWorker, "vm-1"); }

  WorkerIncarnation& worker() { return workers.at(kWorker); }
  const jobs::TaskId task = FirstTask();
  const jobs::TaskId second_task{.job = kJob + 1};  // once it is submitted

  jobs::OrderEffect AssignAndTakeStart() {
    Assign(task, kWorker);
    return Take<jobs::StartOrder>(kWorker);
  }
  void ListAsRunning() { worker().running = {{.task = task, .run = 1, .speed_percent = 100}}; }
  void ListAsEnded(jobs::EndKind kind) {
    worker().running.clear();
    worker().ended.push_back({.number = ++last_end, .task = task, .run = 1, .kind = kind});
  }
  /// The task's run is known to be going on.
  void StartAndList() {
    const jobs::OrderEffect start = AssignAndTakeStart();
    ListAsRunning();
    Answer(start, jobs::OrderOutcome::kDone);
    Wait(100 * kMillisecond);
  }
  /// A copy of the start that may be carried out later; the next copy is on its way.
  jobs::OrderEffect LoseFirstStart() {
    Answer(AssignAndTakeStart(), jobs::OrderOutcome::kUnknown);
    Wait(500 * kMillisecond);
    return Take<jobs::StartOrder>(kWorker);
  }
  void AnswerStops(jobs::OrderOutcome outcome) {
    while (Pending<jobs::StopOrder>(kWorker) > 0) Answer(Take<jobs::StopOrder>(kWorker), outcome);
  }
  /// Holds wait for the test from now on; the one that is under way is still answered.
  void Silence() { silent_workers = {kWorker}; }
  jobs::OrderEffect NextLeaseRenewal() {
    for (int i = 0; i < 200 && Pending<jobs::RenewLeaseOrder>(kWorker) == 0; ++i)
      Wait(10 * kMillisecond);
    return Take<jobs::RenewLeaseOrder>(kWorker);
  }
  /// Ends that were not acknowledged for long, none of which is the one of our task.
  void AddUnacknowledgedEnds() {
    for (std::size_t i = 0; i < 500; ++i) {
      worker().ended.push_back({.number = ++last_end, .task = {.job = 99}, .run = 1});
    }
  }

  std::uint64_t last_end = 0;
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_MANUAL_WORKER_FLEET_H_

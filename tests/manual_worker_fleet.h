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

/// A WorkerFleet and a State in virtual time. The test answers the fleet's orders itself.
namespace godwitpaddle::testing {

/// One incarnation of a worker, with the data for its heartbeats and answers.
struct WorkerIncarnation {
  jobs::WorkerId id;
  std::int64_t incarnation_ms = 0;
  jobs::VmId vm;
  std::string address;
  Micros clock_set_at = 0;  // virtual time at which the worker's clock shows `initial_clock_ms`
  std::int64_t initial_clock_ms = 0;
  double clock_rate = 1.0;  // rate of the worker's clock relative to virtual time
  std::uint64_t sequence = 0;
  std::vector<jobs::RunningTask> running;
  std::vector<jobs::EndedRun> ended;

  std::int64_t ClockAt(Micros now) const {
    return initial_clock_ms + static_cast<std::int64_t>(static_cast<double>(now - clock_set_at) *
                                                        clock_rate / kMillisecond);
  }
};

/// Applies each proposal at once and collects the orders. Lease renewals are answered at once with
/// the run lists of the worker's current incarnation, except those to workers in `silent_workers`.
/// All other orders stay pending until the test answers them.
class ManualWorkerFleet {
 public:
  static constexpr WallMs kWall = 1'700'000'000'000;
  static constexpr jobs::JobId kJob = 1;
  static constexpr std::int64_t kInitialClockMs = 500'000;  // of a worker that started long ago

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

  /// Submits another job, whose one step has this many tasks. Its id follows that of the last job.
  void Submit(std::uint32_t tasks) {
    jobs::Submit submit{.job = next_job++, .queue = "quotes", .wall_ms = Wall()};
    submit.spec.payload = "text";
    submit.spec.steps = {{.count = tasks, .size = {.cpu = 1'000}, .estimate_ms = 1'000}};
    state.Apply(submit);
  }

  // ---- workers ----

  /// Adds a worker that started long ago. It sends a heartbeat, and the fleet reads its run lists.
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

  /// Replaces the worker by a new incarnation with the same id, which has no runs, no ends and no
  /// lease. The new incarnation has not sent a heartbeat yet.
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
  /// Delivers the heartbeat and returns whether the fleet accepted it.
  bool Deliver(const jobs::HeartbeatCall& call) {
    const bool accepted = fleet.OnHeartbeat(call, now);
    ProcessPending();
    return accepted;
  }
  bool Report(WorkerIncarnation& worker) { return Deliver(MakeReport(worker)); }

  // ---- time ----

  /// Applies proposals and answers lease renewals until none is left.
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

  /// Advances virtual time in steps of 10 ms.
  void Wait(Micros duration) {
    for (const Micros end = now + duration; now < end;) {
      now = std::min(end, now + 10 * kMillisecond);
      fleet.Tick(now, Wall(), out);
      ProcessPending();
    }
  }

  /// Ends the term and begins the next one with the same state, as a new leader would.
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

  /// Removes and returns the worker's oldest pending order of type `Kind`. Throws std::logic_error
  /// if there is none.
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
  /// Returns the number of pending orders of type `Kind` to the worker.
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
  /// Answers the order as the worker's current incarnation.
  void Answer(const jobs::OrderEffect& order, jobs::OrderOutcome outcome,
              jobs::RefusalReason reason = jobs::RefusalReason::kNone) {
    Answer(order, MakeReply(workers.at(order.worker), outcome, reason));
  }
  jobs::OrderReply MakeReply(const WorkerIncarnation& worker, jobs::OrderOutcome outcome,
                             jobs::RefusalReason reason = jobs::RefusalReason::kNone) const {
    const bool answered =
        outcome == jobs::OrderOutcome::kDone || outcome == jobs::OrderOutcome::kRefused;
    return {.outcome = outcome,
            .connection = ConnectionTo(worker),
            .reason = reason,
            .clock_ms = answered ? worker.ClockAt(now) : 0};
  }
  /// The connection to this incarnation of the worker. Connections to later ones have higher
  /// numbers.
  static jobs::ConnectionId ConnectionTo(const WorkerIncarnation& worker) {
    return static_cast<jobs::ConnectionId>(worker.incarnation_ms);
  }
  /// Returns an answer to a lease renewal with the run lists of the worker.
  jobs::OrderReply MakeLists(const WorkerIncarnation& worker) const {
    jobs::OrderReply reply = MakeReply(worker, jobs::OrderOutcome::kDone);
    reply.incarnation_ms = worker.incarnation_ms;
    reply.running = worker.running;
    reply.ended = worker.ended;
    return reply;
  }

  /// Returns the phase of the task. For a job that has ended the state keeps only the job's phase,
  /// so the task counts as done if the job completed, else as waiting.
  jobs::TaskPhase PhaseOf(const jobs::TaskId& task) const {
    const jobs::Task* found = state.FindTask(task);
    if (found != nullptr) return found->phase;
    const bool completed = state.FindJob(task.job)->phase == jobs::JobPhase::kCompleted;
    return completed ? jobs::TaskPhase::kDone : jobs::TaskPhase::kWaiting;
  }
  /// Whether the task's current run may still be running according to the leader.
  bool Assigned(const jobs::TaskId& task) const {
    return PhaseOf(task) == jobs::TaskPhase::kAssigned;
  }
  /// Whether the task is free for another run.
  bool Waiting(const jobs::TaskId& task) const {
    return PhaseOf(task) == jobs::TaskPhase::kWaiting;
  }
  /// Returns the reason logged for the last run that the fleet concluded without a listed end;
  /// empty if there was none.
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
  std::vector<jobs::WorkerId> silent_workers;  // the lease renewals to them stay pending
  std::vector<jobs::OrderEffect> orders;
  std::vector<jobs::VmEffect> vm_orders;  // from other objects of the test
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

  /// Answers one pending lease renewal. Returns false if there is none.
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
    if (order.newest_connection != 0 && order.newest_connection < ConnectionTo(worker)) {
      fleet.OnReply({.token = order.token, .reply = {.outcome = jobs::OrderOutcome::kNotSent}}, now,
                    Wall(), out);
      return true;
    }
    const std::uint64_t acknowledged =
        std::get<jobs::RenewLeaseOrder>(order.order).acknowledged_ends;
    std::erase_if(worker.ended,
                  [&](const jobs::EndedRun& end) { return end.number <= acknowledged; });
    fleet.OnReply({.token = order.token, .reply = MakeLists(worker)}, now, Wall(), out);
    return true;
  }
};

inline constexpr const char* kWorker = "worker-1";

/// A fleet with one worker, which started long ago, and one job of one task.
struct SingleWorkerFleet : ManualWorkerFleet {
  SingleWorkerFleet() { AddWorker(kWorker, "vm-1"); }

  WorkerIncarnation& worker() { return workers.at(kWorker); }
  const jobs::TaskId task = FirstTask();
  const jobs::TaskId second_task{.job = kJob + 1};  // exists after a call of Submit

  jobs::OrderEffect AssignAndTakeStart() {
    Assign(task, kWorker);
    return Take<jobs::StartOrder>(kWorker);
  }
  void ListAsRunning() { worker().running = {{.task = task, .run = 1, .speed_percent = 100}}; }
  void ListAsEnded(jobs::EndKind kind) {
    worker().running.clear();
    worker().ended.push_back({.number = ++last_end, .task = task, .run = 1, .kind = kind});
  }
  /// Starts the task's first run; the worker answers the start and lists the run as running.
  void StartAndList() {
    const jobs::OrderEffect start = AssignAndTakeStart();
    ListAsRunning();
    Answer(start, jobs::OrderOutcome::kDone);
    Wait(100 * kMillisecond);
  }
  /// Assigns the task and leaves the first copy of its start unanswered, so that the worker may
  /// still carry it out later. Returns the second copy.
  jobs::OrderEffect LoseFirstStart() {
    Answer(AssignAndTakeStart(), jobs::OrderOutcome::kUnknown);
    Wait(500 * kMillisecond);
    return Take<jobs::StartOrder>(kWorker);
  }
  void AnswerStops(jobs::OrderOutcome outcome) {
    while (Pending<jobs::StopOrder>(kWorker) > 0) Answer(Take<jobs::StopOrder>(kWorker), outcome);
  }
  /// Leaves the worker's lease renewals pending from now on.
  void Silence() { silent_workers = {kWorker}; }
  /// Waits up to 2 s for a lease renewal to the worker. Removes and returns the renewal.
  jobs::OrderEffect NextLeaseRenewal() {
    for (int i = 0; i < 200 && Pending<jobs::RenewLeaseOrder>(kWorker) == 0; ++i) {
      Wait(10 * kMillisecond);
    }
    return Take<jobs::RenewLeaseOrder>(kWorker);
  }
  /// Adds 500 unacknowledged ends, none of them of the test's task, so that the list may be
  /// truncated.
  void AddUnacknowledgedEnds() {
    for (std::size_t i = 0; i < 500; ++i) {
      worker().ended.push_back({.number = ++last_end, .task = {.job = 99}, .run = 1});
    }
  }

  std::uint64_t last_end = 0;
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_MANUAL_WORKER_FLEET_H_

#include "control/worker_fleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

/// Leases end by the worker's clock, which may run up to 2 percent slow.
constexpr double kSlowestClock = 0.98;
constexpr Micros kLeaseExpiryMargin = 100 * kMillisecond;
/// A lease counts as long if it may last longer than the usual one by this.
constexpr Micros kLongLeaseSlack = kSecond;
/// Workers report their clocks in whole milliseconds. A reply counts as that of another incarnation
/// only if its reading is lower by more than this than the least that the worker's clock can have
/// shown when the order was sent, so that rounding does not look like a restart.
constexpr std::int64_t kClockRoundingMs = 2;
/// An incarnation counts as young until this many times `longest_lease_ms` after its start. The
/// factor is above 1 because the clocks of VMs differ by seconds.
constexpr std::int64_t kYoungIncarnationLeases = 2;
/// A worker that is expected to go down is first queried after this delay.
constexpr Micros kExpectedDownQueryDelay = 150 * kMillisecond;
/// The worker of a VM for which there was an order is back within this time.
constexpr std::int64_t kVmOrderMs = 15'000;
/// Number of heartbeats, plus slack, that may be missing before a worker gets no new tasks.
constexpr int kMissedHeartbeats = 2;
constexpr Micros kHeartbeatSlack = 500 * kMillisecond;
/// After this many consecutive failed runs a worker gets no new tasks for the backoff time, which
/// doubles with each further failure up to the maximum.
constexpr int kFailuresToBackOff = 2;
constexpr Micros kFailureBackoff = 2 * kSecond;
constexpr int kMaxBackoffDoublings = 3;
/// A worker that has not answered this long after the start of a term is not expected to.
constexpr Micros kFirstListsTime = 2 * kSecond;
/// Fraction of the workers of which a new leader knows enough before that.
constexpr double kMostWorkers = 0.9;
/// Workers whose runs one call of CompareNextRuns compares.
constexpr std::size_t kComparedWorkers = 64;

/// Returns how long the lease may last at most, by the leader's clock.
Micros MaxLeaseDuration(std::int64_t lease_ms) {
  return static_cast<Micros>(static_cast<double>(lease_ms * kMillisecond) / kSlowestClock);
}

}  // namespace

void WorkerFleet::BeginTerm(std::uint64_t fencing_token, Micros now, WallMs wall) {
  fencing_token_ = fencing_token;
  term_began_ = now;
  sent_orders_.clear();
  starts_in_flight_ = 0;
  knows_workers_ = false;
  ClearViews();
  unbegun_jobs_.Clear();
  for (const auto& [id, worker] : state_.workers()) {
    WorkerView& view = AddView(id);
    ResetIncarnation(view, worker.record, now);
    view.sequence = worker.sequence;
    view.last_heard = now;
    // A young incarnation may have carried out an order of an earlier leader for the previous
    // incarnation, which may have given it any lease up to the longest.
    const bool young =
        wall - worker.record.incarnation_ms < kYoungIncarnationLeases * options_.longest_lease_ms;
    const bool restart_seen =
        worker.restart_seen_ms != 0 &&
        wall - worker.restart_seen_ms < kYoungIncarnationLeases * options_.longest_lease_ms;
    if ((young && worker.restarted) || restart_seen) {
      view.assumed_lease_ms = options_.longest_lease_ms;
    }
    view.leases_expire_by = now + MaxLeaseDuration(view.assumed_lease_ms) + kLeaseExpiryMargin;
    for (const TaskId& task_id : worker.tasks) {
      const Task& task = *state_.FindTask(task_id);
      const bool unwanted = task.done_by_earlier_run || !state_.FindJob(task_id.job)->active();
      view.runs[task_id] = {.run = task.run, .stop_wanted = unwanted, .inherited = true};
      unbegun_jobs_.Update(task_id.job);
    }
  }
}

void WorkerFleet::EndTerm() {
  fencing_token_ = 0;
  sent_orders_.clear();
  starts_in_flight_ = 0;
  ClearViews();
}

void WorkerFleet::ResetIncarnation(WorkerView& view, const WorkerRecord& record, Micros now) {
  // An order for the previous incarnation, whose clock showed more, may have given this one any
  // lease up to the longest.
  view.assumed_lease_ms = view.incarnation == 0 ? options_.lease_ms : options_.longest_lease_ms;
  for (auto& [task, run] : view.runs) {
    if (run.alive_until == 0) run.alive_until = view.alive_at;
  }
  view.incarnation = record.incarnation_ms;
  view.sequence = 0;
  view.has_clock = false;
  view.lease_end_ms = 0;
  view.lists_received = false;
  view.confirmed = false;
  view.restart_seen_at = 0;
  view.alive_at = 0;
  view.list_connection = 0;
  view.replaced = false;
  view.next_renewal_at = now;
  view.proposed_ends = 0;
  view.acknowledgement_delivered = 0;
  view.consecutive_failures = 0;
  view.recently_successful = false;
  view.orphan_stop_at.clear();
  // A delayed copy of a start may give this incarnation the longest lease, counted from now.
  view.leases_expire_by = now + MaxLeaseDuration(view.assumed_lease_ms) + kLeaseExpiryMargin;
  StopUnansweredStarts(view);
}

void WorkerFleet::StopUnansweredStarts(WorkerView& view) {
  for (auto& [task, run] : view.runs) {
    run.stop_answered_at.reset();
    run.stop_due = 0;
    if (run.unanswered_starts > 0 || run.start_in_flight) run.stop_wanted = true;
  }
}

// ---- clocks and leases ----

void WorkerFleet::RecordClock(WorkerView& view, std::int64_t clock_ms, Micros now) const {
  if (clock_ms <= 0) return;
  if (!view.has_clock) {
    // An earlier leader may have renewed the lease just before this term began.
    view.lease_end_ms = std::max(view.lease_end_ms, clock_ms + view.assumed_lease_ms);
  } else if (clock_ms < MinClockAt(view, now)) {
    return;  // the reading was delayed in transit
  }
  view.has_clock = true;
  view.clock_ms = clock_ms;
  view.clock_at = now;
  SetLeaseExpiry(view);
}

std::int64_t WorkerFleet::MinClockAt(const WorkerView& view, Micros time) {
  const double rate = time >= view.clock_at ? kSlowestClock : 1.0;
  return view.clock_ms +
         static_cast<std::int64_t>(static_cast<double>(time - view.clock_at) * rate / kMillisecond);
}

bool WorkerFleet::IsFromOtherIncarnation(const SentOrder& sent, const WorkerView& view,
                                         const OrderReply& reply) {
  if (!view.has_clock || reply.clock_ms <= 0 || sent.incarnation != view.incarnation) return false;
  // The clock of each incarnation starts from zero, and an answer cannot be older than its order.
  return reply.clock_ms + kClockRoundingMs < MinClockAt(view, sent.sent_at);
}

std::int64_t WorkerFleet::EstimateClock(const WorkerView& view, Micros now) const {
  return view.clock_ms + (now - view.clock_at) / kMillisecond;
}

std::int64_t WorkerFleet::ExtendLease(WorkerView& view, std::int64_t lease_ms, Micros now) const {
  const std::int64_t end_ms = EstimateClock(view, now) + lease_ms;
  view.lease_end_ms = std::max(view.lease_end_ms, end_ms);
  SetLeaseExpiry(view);
  return end_ms;
}

void WorkerFleet::SetLeaseExpiry(WorkerView& view) const {
  view.leases_expire_by =
      view.clock_at + MaxLeaseDuration(view.lease_end_ms - view.clock_ms) + kLeaseExpiryMargin;
  if (view.restart_seen_at == 0) return;
  view.leases_expire_by = std::max(view.leases_expire_by, LongestLeaseExpiry(view.restart_seen_at));
}

Micros WorkerFleet::LongestLeaseExpiry(Micros time) const {
  return time + MaxLeaseDuration(options_.longest_lease_ms) + kLeaseExpiryMargin;
}

bool WorkerFleet::HasLongLease(const WorkerView& view, Micros now) const {
  return view.leases_expire_by > now + MaxLeaseDuration(options_.lease_ms) + kLongLeaseSlack;
}

// ---- heartbeats ----

bool WorkerFleet::OnHeartbeat(const HeartbeatCall& call, Micros now) {
  const Worker* known = state_.FindWorker(call.record.id);
  if (known != nullptr && call.record.incarnation_ms < known->record.incarnation_ms) return false;
  // The heartbeat was delayed and its worker has ended: a newer worker runs on the same VM.
  if (known == nullptr && HasSuccessor(call.record)) return false;
  WorkerView* view = FindView(call.record.id);
  if (known == nullptr || !(known->record == call.record)) {
    const bool late = view != nullptr && view->incarnation == call.record.incarnation_ms &&
                      call.sequence < view->sequence;
    if (late) return false;
    propose_(RecordWorker{
        .record = call.record, .planned = IsPlannedEnd(call.record), .sequence = call.sequence});
  }
  if (view == nullptr || view->incarnation != call.record.incarnation_ms) return true;
  if (call.sequence < view->sequence) return false;
  view->sequence = call.sequence;
  view->last_heard = now;
  // A heartbeat may be delayed and carry an old clock reading, so the first reading of the term,
  // from which the lease of an earlier leader is counted, must come from an answer to an order of
  // this term.
  if (view->has_clock) RecordClock(*view, call.clock_ms, now);
  return true;
}

void WorkerFleet::ConcludeOlderWorkers(const WorkerRecord& newest, WallMs wall, Outbox& out) {
  if (newest.vm.empty()) return;
  for (const WorkerId& id : state_.WorkersOnVm(newest.vm)) {
    const bool older =
        id != newest.id && state_.FindWorker(id)->record.incarnation_ms < newest.incarnation_ms;
    WorkerView* view = older ? FindView(id) : nullptr;
    if (view == nullptr) continue;
    MarkReplaced(*view);
    ConcludeAll(id, *view, Conclusion::kSuperseded, wall, out);
  }
}

bool WorkerFleet::IsPlannedEnd(const WorkerRecord& next) const {
  const auto left = [&](const WorkerId& id) {
    const auto view = views_.find(id);
    return view != views_.end() && view->second.expected_down && !view->second.replaced;
  };
  if (left(next.id)) return true;
  const std::set<WorkerId>& on_vm = state_.WorkersOnVm(next.vm);
  if (!next.vm.empty() && std::ranges::any_of(on_vm, left)) return true;
  // An earlier leader may have ordered the move or the maintenance. An order explains the end of
  // the worker that was there when it was given, but not that of the worker that came after it.
  const RecordVmOrder* order = state_.FindVmOrder(next.vm);
  if (order == nullptr || next.incarnation_ms >= order->wall_ms + kVmOrderMs) return false;
  return std::ranges::any_of(on_vm, [&](const WorkerId& id) {
    return state_.FindWorker(id)->record.incarnation_ms < order->wall_ms;
  });
}

void WorkerFleet::MarkReplaced(WorkerView& view) {
  view.replaced = true;
  view.expected_down = true;
}

bool WorkerFleet::HasSuccessor(const WorkerRecord& record) const {
  if (record.vm.empty()) return false;
  return std::ranges::any_of(state_.WorkersOnVm(record.vm), [&](const WorkerId& other) {
    const auto view = views_.find(other);
    return other != record.id &&
           state_.FindWorker(other)->record.incarnation_ms > record.incarnation_ms &&
           view != views_.end() && view->second.lists_received && !view->second.expected_down;
  });
}

bool WorkerFleet::IsExpectedDown(const WorkerId& worker) const {
  const auto view = views_.find(worker);
  return view != views_.end() && view->second.expected_down;
}

void WorkerFleet::ExpectWorkerDown(const WorkerId& worker, Micros now) {
  WorkerView* view = FindView(worker);
  if (view == nullptr || view->replaced) return;
  if (!view->expected_down) view->expected_down_since = now;
  view->expected_down = true;
  view->expected_down_at = now;  // answers to orders sent before this prove nothing
  view->next_renewal_at = now + kExpectedDownQueryDelay;
}

void WorkerFleet::ExpectVmDown(const VmId& vm, Micros now, Outbox& out) {
  for (const WorkerId& id : state_.WorkersOnVm(vm)) {
    const auto view = views_.find(id);
    if (view == views_.end() || view->second.replaced) continue;
    const WorkerView& last = view->second;
    out.Log("worker_expected_gone",
            {{"worker", id},
             {"vm", vm},
             {"born_ms", std::to_string(last.incarnation)},
             {"runs", std::to_string(last.runs.size())},
             {"heard_ms_ago", std::to_string((now - last.last_heard) / kMillisecond)}},
            last.runs.empty() ? Severity::kInfo : Severity::kWarning);
    ExpectWorkerDown(id, now);
  }
}

std::vector<UsableWorker> WorkerFleet::UsableWorkers(Micros now) const {
  std::vector<UsableWorker> usable;
  for (const auto& [service, views] : by_service_) {
    const std::vector<UsableWorker> some = UsableWorkers(service, now);
    usable.insert(usable.end(), some.begin(), some.end());
  }
  return usable;
}

std::vector<UsableWorker> WorkerFleet::UsableWorkers(const std::string& service, Micros now) const {
  std::vector<UsableWorker> usable;
  const auto views = by_service_.find(service);
  if (views == by_service_.end()) return usable;
  for (const auto& [id, view] : views->second) {
    if (!IsUsable(*view, now)) continue;
    usable.push_back({.worker = view->known,
                      .recently_successful = view->recently_successful,
                      .unanswered_starts = view->unanswered_starts,
                      .long_lease = HasLongLease(*view, now)});
  }
  return usable;
}

std::vector<ObservedWorker> WorkerFleet::WorkersOf(const std::string& service, Micros now) const {
  std::vector<ObservedWorker> workers;
  const auto views = by_service_.find(service);
  if (views == by_service_.end()) return workers;
  for (const auto& [id, view] : views->second) {
    workers.push_back({.worker = view->known, .obstacle = ObstacleOf(*view, now)});
  }
  return workers;
}

const Worker* WorkerFleet::AnyWorkerOf(const std::string& service) const {
  const auto views = by_service_.find(service);
  if (views == by_service_.end() || views->second.empty()) return nullptr;
  return views->second.begin()->second->known;
}

bool WorkerFleet::KnowsWorkers(Micros now) {
  if (knows_workers_) return true;
  const auto known = std::ranges::count_if(views_, [](const auto& entry) {
    return entry.second.lists_received || entry.second.expected_down;
  });
  const double enough = kMostWorkers * static_cast<double>(views_.size());
  const bool knows_most = static_cast<double>(known) >= enough;
  knows_workers_ = knows_most || now - term_began_ >= kFirstListsTime;
  return knows_workers_;
}

std::vector<RunMismatch> WorkerFleet::CompareNextRuns() {
  std::vector<RunMismatch> mismatches;
  auto next = views_.upper_bound(last_compared_);
  for (std::size_t i = 0; i < kComparedWorkers && next != views_.end(); ++i, ++next) {
    CompareRuns(next->first, next->second, mismatches);
    last_compared_ = next->first;
  }
  if (next == views_.end()) last_compared_.clear();
  return mismatches;
}

void WorkerFleet::CompareRuns(const WorkerId& worker, const WorkerView& view,
                              std::vector<RunMismatch>& mismatches) const {
  for (const TaskId& task : view.known->tasks) {
    const std::uint32_t assigned = state_.FindTask(task)->run;
    const auto run = view.runs.find(task);
    const std::uint32_t known = run == view.runs.end() ? 0 : run->second.run;
    if (known == assigned) continue;
    mismatches.push_back(
        {.worker = worker, .task = task, .assigned_run = assigned, .known_run = known});
  }
  for (const auto& [task, run] : view.runs) {
    if (view.known->tasks.contains(task)) continue;
    // The end of one task of a gang ends the others in the state before their workers list it. Only
    // so can a job without details have runs.
    const Job* job = state_.FindJob(task.job);
    if (job != nullptr && job->spec.steps.empty()) continue;
    const bool has_step = job != nullptr && task.step < job->spec.steps.size();
    if (has_step && job->spec.steps[task.step].gang) continue;
    mismatches.push_back({.worker = worker, .task = task, .known_run = run.run});
  }
}

bool WorkerFleet::IsUsable(const WorkerId& worker, Micros now) const {
  const auto found = views_.find(worker);
  return found != views_.end() && IsUsable(found->second, now);
}

bool WorkerFleet::AnsweredSince(const WorkerId& worker, Micros time) const {
  const auto view = views_.find(worker);
  return view != views_.end() && view->second.last_answered_order_at > time;
}

WorkerObstacle WorkerFleet::ObstacleOf(const WorkerView& view, Micros now) const {
  const WorkerObstacle own = OwnObstacleOf(view, now);
  const bool evacuated =
      own == WorkerObstacle::kNone && state_.IsEvacuated(view.known->record.zone);
  return evacuated ? WorkerObstacle::kEvacuated : own;
}

WorkerObstacle WorkerFleet::OwnObstacleOf(const WorkerView& view, Micros now) const {
  const Micros max_silence =
      kMissedHeartbeats * options_.heartbeat_ms * kMillisecond + kHeartbeatSlack;
  if (view.known->record.phase != WorkerPhase::kReady) return WorkerObstacle::kDraining;
  if (view.expected_down) return WorkerObstacle::kExpectedDown;
  if (view.suspect || now - view.last_heard >= max_silence) return WorkerObstacle::kSilent;
  const bool lists_valid = view.lists_received && view.confirmed && view.has_clock;
  if (!lists_valid) return WorkerObstacle::kUnconfirmed;
  return now < view.backoff_until ? WorkerObstacle::kBackoff : WorkerObstacle::kNone;
}

bool WorkerFleet::RunsAtFullSpeed(const TaskId& task) const {
  const Task* found = state_.FindTask(task);
  if (found == nullptr || found->phase != TaskPhase::kAssigned) return false;
  const auto view = views_.find(found->worker);
  if (view == views_.end()) return false;
  const auto run = view->second.runs.find(task);
  // The last report of a worker that does not answer may be out of date.
  if (view->second.suspect || view->second.expected_down) return false;
  return run != view->second.runs.end() && run->second.speed_percent >= 100 &&
         !run->second.stop_wanted && !run->second.end_proposed;
}

std::optional<Micros> WorkerFleet::RunTime(const WorkerId& worker, const TaskId& task,
                                           std::uint32_t run, Micros now) const {
  const auto view = views_.find(worker);
  if (view == views_.end()) return std::nullopt;
  const auto found = view->second.runs.find(task);
  if (found == view->second.runs.end() || found->second.run != run) return std::nullopt;
  if (found->second.started_at == 0) return std::nullopt;
  return now - found->second.started_at;
}

// ---- applied commands ----

void WorkerFleet::OnApplied(const Command& command, ApplyOutcome outcome, Micros now, WallMs wall,
                            Outbox& out) {
  if (fencing_token_ == 0) return;
  unbegun_jobs_.OnApplied(command);
  if (const auto* assign = std::get_if<Assign>(&command)) {
    WorkerView* view = FindView(assign->worker);
    if (outcome != ApplyOutcome::kApplied || view == nullptr) return;
    view->runs_due = 0;
    Run& run = view->runs[assign->task];
    run = {.run = assign->run,
           .phase = RunPhase::kStarting,
           .suspect = IsLongRunning(assign->task) && state_.FindTask(assign->task)->suspect()};
    const bool accepts = AcceptsStarts(state_.FindWorker(assign->worker)->record);
    if (view->confirmed && accepts && !view->expected_down) {
      SendStart(assign->worker, *view, assign->task, run, now, out);
    } else {
      Conclude(assign->worker, *view, assign->task, run, Conclusion::kNeverSent, wall, out);
    }
  } else if (const auto* end = std::get_if<RecordEnd>(&command)) {
    StopCompletedTasks(end->task, now, out);
    WorkerView* view = FindView(end->worker);
    if (view == nullptr) return;
    const auto run = view->runs.find(end->task);
    if (run == view->runs.end() || run->second.run != end->run) return;
    if (outcome == ApplyOutcome::kRejected && IsCurrent(end->worker, end->task, end->run)) {
      // Listed by an incarnation that another one had replaced in the log before.
      run->second.end_proposed = false;
      view->runs_due = 0;
      return;
    }
    CountEnd(*view, end->task, run->second, end->kind, now);
    view->runs.erase(run);
  } else if (const auto* update = std::get_if<RecordWorker>(&command)) {
    if (state_.FindWorker(update->record.id) == nullptr) return;
    WorkerView& view = AddView(update->record.id);
    view.runs_due = 0;
    if (view.last_heard == 0) view.last_heard = now;
    if (view.incarnation != update->record.incarnation_ms && outcome == ApplyOutcome::kApplied) {
      if (view.incarnation != 0) LogIncarnation(update->record, view, out);
      ResetIncarnation(view, update->record, now);
      view.suspect = false;
    }
  } else if (const auto* change = std::get_if<Configure>(&command)) {
    if (change->is_zone_order()) OnZoneOrder(change->zone_order);
  } else if (const auto* removal = std::get_if<RemoveWorker>(&command)) {
    if (outcome != ApplyOutcome::kApplied) return;
    LogRemovedWorker(*removal, out);
    RemoveView(removal->worker);
  }
}

/// Has the workers of the zone examined: starts that no worker has answered are stopped instead of
/// being sent again.
void WorkerFleet::OnZoneOrder(const ZoneOrder& order) {
  for (auto& [id, view] : views_) {
    if (view.known->record.zone != order.zone) continue;
    view.runs_due = 0;
    Touch(view);
  }
}

void WorkerFleet::LogIncarnation(const WorkerRecord& record, const WorkerView& previous,
                                 Outbox& out) {
  out.Log("worker_incarnation",
          {{"worker", record.id},
           {"vm", record.vm},
           {"born_ms", std::to_string(record.incarnation_ms)},
           {"former_born_ms", std::to_string(previous.incarnation)},
           {"runs", std::to_string(previous.runs.size())}},
          Severity::kWarning);
}

void WorkerFleet::LogRemovedWorker(const RemoveWorker& removal, Outbox& out) const {
  const auto view = views_.find(removal.worker);
  if (view == views_.end()) return;
  const WorkerView& last = view->second;
  out.Log("worker_forgotten",
          {{"worker", removal.worker},
           {"born_ms", std::to_string(removal.incarnation_ms)},
           {"leaving", last.expected_down ? "true" : "false"},
           {"told_ends", std::to_string(last.acknowledgement_delivered)}},
          last.expected_down ? Severity::kWarning : Severity::kInfo);
}

void WorkerFleet::StopCompletedTasks(const TaskId& id, Micros now, Outbox& out) {
  const Job* job = state_.FindJob(id.job);
  if (state_.FindTask(id) == nullptr) return;
  const auto& tasks = job->At(id.occurrence, id.step).tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].done_by_earlier_run) Stop({id.job, id.occurrence, id.step, index}, now, out);
  }
}

void WorkerFleet::CountEnd(WorkerView& view, const TaskId& task, const Run& run, EndKind kind,
                           Micros now) {
  if (kind == EndKind::kDone) {
    view.consecutive_failures = 0;
    view.recently_successful = true;
  }
  if (kind != EndKind::kFailed) return;
  if (HadWorked(view, task, run)) return;
  view.recently_successful = false;
  if (++view.consecutive_failures < kFailuresToBackOff) return;
  const int doublings =
      std::min(view.consecutive_failures - kFailuresToBackOff, kMaxBackoffDoublings);
  view.backoff_until = std::max(view.backoff_until, now + (kFailureBackoff << doublings));
}

}  // namespace godwitpaddle::jobs

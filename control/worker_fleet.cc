#include "control/worker_fleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "control/worker_timing.h"

namespace godwitpaddle::jobs {
namespace {

using detail::kRetryPause;

/// Lease that a first start gives to an idle worker, until a hold renews it.
constexpr std::int64_t kStartLeaseMs = 2'000;
/// Lease time runs on the worker's clock, which may be slow by 2 percent.
constexpr double kSlowestClock = 0.98;
constexpr Micros kLapseMargin = 100 * kMillisecond;
/// Clocks are told in whole milliseconds.
constexpr std::int64_t kClockRoundingMs = 2;
/// An incarnation is young for so many of the longest leases; clocks of VMs differ by seconds.
constexpr std::int64_t kYoungLeases = 2;
constexpr std::int64_t kStartTimeoutMs = 400;
constexpr std::int64_t kStopTimeoutMs = 500;
constexpr std::int64_t kListTimeoutMs = 700;
constexpr std::int64_t kHoldWaitMs = 1'000;
/// A worker that is probably gone is asked after this, and forgotten after some questions without
/// an answer.
constexpr Micros kLeaveProbe = 150 * kMillisecond;
constexpr Micros kLeaveGrace = 2 * kSecond;
constexpr Micros kForgetSilent = 15 * kSecond;
/// Reports that may be missing before a worker gets no new tasks.
constexpr int kMissedHeartbeats = 2;
constexpr Micros kHeartbeatSlack = 500 * kMillisecond;
/// Failed runs in a row after which a worker rests, and for how long; doubled with each more.
constexpr int kFailuresToRest = 2;
constexpr Micros kFailureRest = 2 * kSecond;
constexpr int kMaxRestDoublings = 3;

Micros LeaseToLocal(std::int64_t lease_ms) {
  return static_cast<Micros>(static_cast<double>(lease_ms * kMillisecond) / kSlowestClock);
}

}  // namespace

void WorkerFleet::BeginTerm(std::uint64_t fencing_token, Micros now, WallMs wall) {
  fencing_token_ = fencing_token;
  term_began_ = now;
  sent_.clear();
  starts_under_way_ = 0;
  views_.clear();
  for (const auto& [id, worker] : state_.workers()) {
    View& view = views_[id];
    ResetIncarnation(view, worker.record, now);
    view.last_heard = now;
    // A former leader's order for the incarnation before may have given a young one any lease.
    const bool young =
        wall - worker.record.incarnation_ms < kYoungLeases * options_.longest_lease_ms;
    if (young && worker.restarted) view.first_lease_ms = options_.longest_lease_ms;
    view.lapse_at = now + LeaseToLocal(view.first_lease_ms) + kLapseMargin;
    for (const TaskId& name : worker.tasks) {
      const Task& task = *state_.FindTask(name);
      const bool unwanted = task.done_by_earlier_run || !state_.FindJob(name.job)->active();
      view.runs[name] = {.run = task.run, .stop_wanted = unwanted};
    }
    if (HasSuccessor(worker.record)) MarkGone(view);
  }
}

void WorkerFleet::EndTerm() {
  fencing_token_ = 0;
  sent_.clear();
  starts_under_way_ = 0;
  views_.clear();
}

WorkerFleet::View* WorkerFleet::Find(const WorkerId& worker) {
  const auto found = views_.find(worker);
  return found == views_.end() ? nullptr : &found->second;
}

void WorkerFleet::ResetIncarnation(View& view, const WorkerRecord& record, Micros now) {
  // An order meant for its predecessor, whose clock showed more, may have given it any lease.
  view.first_lease_ms = view.born_ms == 0 ? options_.lease_ms : options_.longest_lease_ms;
  view.born_ms = record.incarnation_ms;
  view.sequence = 0;
  view.has_clock = false;
  view.lease_end_ms = 0;
  view.listed = false;
  view.confirmed = false;
  view.gone = false;
  view.hold_at = now;
  view.proposed_ends = 0;
  view.told_ends = 0;
  view.failures_in_row = 0;
  view.proven = false;
  view.strays.clear();
  // A late copy of a start may give it the longest lease from now on.
  view.lapse_at = now + LeaseToLocal(view.first_lease_ms) + kLapseMargin;
  StopLateCopies(view);
}

/// What the former incarnation answered binds this one to nothing: it may carry out a start that
/// was not answered, until it has answered a stop of that run.
void WorkerFleet::StopLateCopies(View& view) {
  for (auto& [task, run] : view.runs) {
    run.stop_answered_at.reset();
    run.stop_again_at = 0;
    if (run.unanswered > 0 || run.start_out) run.stop_wanted = true;
  }
}

// ---- clocks and leases ----

void WorkerFleet::NoteClock(View& view, std::int64_t clock_ms, Micros now) {
  if (clock_ms <= 0) return;
  if (!view.has_clock) {
    // An earlier leader may have renewed the lease just before this term.
    view.lease_end_ms = std::max(view.lease_end_ms, clock_ms + view.first_lease_ms);
  } else if (clock_ms < LeastClockAt(view, now)) {
    return;  // was held up on its way
  }
  view.has_clock = true;
  view.clock_ms = clock_ms;
  view.clock_at = now;
  view.lapse_at = now + LeaseToLocal(view.lease_end_ms - clock_ms) + kLapseMargin;
}

std::int64_t WorkerFleet::LeastClockAt(const View& view, Micros time) {
  const double rate = time >= view.clock_at ? kSlowestClock : 1.0;
  return view.clock_ms +
         static_cast<std::int64_t>(static_cast<double>(time - view.clock_at) * rate / kMillisecond);
}

bool WorkerFleet::IsFromAnother(const Sent& sent, const View& view, const OrderReply& reply) {
  if (!view.has_clock || reply.clock_ms <= 0 || sent.born_ms != view.born_ms) return false;
  // Each incarnation's clock begins anew, and this answer cannot be older than its order.
  return reply.clock_ms + kClockRoundingMs < LeastClockAt(view, sent.sent_at);
}

std::int64_t WorkerFleet::ClockNow(const View& view, Micros now) const {
  return view.clock_ms + (now - view.clock_at) / kMillisecond;
}

std::int64_t WorkerFleet::ExtendLease(View& view, std::int64_t lease_ms, Micros now) const {
  view.lease_end_ms = std::max(view.lease_end_ms, ClockNow(view, now) + lease_ms);
  view.lapse_at = view.clock_at + LeaseToLocal(view.lease_end_ms - view.clock_ms) + kLapseMargin;
  return view.lease_end_ms;
}

// ---- reports ----

bool WorkerFleet::OnHeartbeat(const HeartbeatCall& call, Micros now, WallMs wall, Outbox& out) {
  const Worker* known = state_.FindWorker(call.record.id);
  if (known != nullptr && call.record.incarnation_ms < known->record.incarnation_ms) return false;
  if (known == nullptr && HasSuccessor(call.record)) return false;  // late, its worker has ended
  View* view = Find(call.record.id);
  if (known == nullptr || !(known->record == call.record)) {
    const bool late = view != nullptr && view->born_ms == call.record.incarnation_ms &&
                      call.sequence < view->sequence;
    if (late) return false;
    propose_(RecordWorker{.record = call.record});
    if (known == nullptr) ConcludeFormer(call.record, wall, out);
  }
  if (view == nullptr || view->born_ms != call.record.incarnation_ms) return true;
  if (call.sequence < view->sequence) return false;
  view->sequence = call.sequence;
  view->last_heard = now;
  // A report may be late: the lease of before the term is counted from an answer to its own order.
  if (view->has_clock) NoteClock(*view, call.clock_ms, now);
  return true;
}

/// A VM has one worker at a time: a newer one shows that the others have ended.
void WorkerFleet::ConcludeFormer(const WorkerRecord& newest, WallMs wall, Outbox& out) {
  if (newest.vm.empty()) return;
  for (const auto& [id, worker] : state_.workers()) {
    const bool older = worker.record.vm == newest.vm && id != newest.id &&
                       worker.record.incarnation_ms < newest.incarnation_ms;
    View* view = older ? Find(id) : nullptr;
    if (view == nullptr) continue;
    MarkGone(*view);
    ConcludeAll(id, *view, Conclusion::kSucceeded, wall, out);
  }
}

void WorkerFleet::MarkGone(View& view) {
  view.gone = true;
  view.leaving = true;
}

bool WorkerFleet::HasSuccessor(const WorkerRecord& record) const {
  if (record.vm.empty()) return false;
  return std::ranges::any_of(state_.workers(), [&](const auto& entry) {
    const WorkerRecord& other = entry.second.record;
    return other.vm == record.vm && other.id != record.id &&
           other.incarnation_ms > record.incarnation_ms && !IsLeaving(other.id);
  });
}

bool WorkerFleet::IsLeaving(const WorkerId& worker) const {
  const auto view = views_.find(worker);
  return view != views_.end() && view->second.leaving;
}

void WorkerFleet::OnLeave(const WorkerId& worker, Micros now) {
  View* view = Find(worker);
  if (view == nullptr || view->gone) return;
  if (!view->leaving) view->leaving_since = now;
  view->leaving = true;
  view->left_at = now;  // an answer to an order of before says nothing
  view->hold_at = now + kLeaveProbe;
}

void WorkerFleet::ExpectVmGone(const VmId& vm, Micros now, Outbox& out) {
  for (const auto& [id, worker] : state_.workers()) {
    const auto view = views_.find(id);
    if (worker.record.vm != vm || view == views_.end() || view->second.gone) continue;
    const View& last = view->second;
    out.Log("worker_expected_gone",
            {{"worker", id},
             {"vm", vm},
             {"born_ms", std::to_string(last.born_ms)},
             {"runs", std::to_string(last.runs.size())},
             {"heard_ms_ago", std::to_string((now - last.last_heard) / kMillisecond)}},
            last.runs.empty() ? Severity::kInfo : Severity::kWarning);
    OnLeave(id, now);
  }
}

std::vector<UsableWorker> WorkerFleet::UsableWorkers(Micros now) const {
  std::vector<UsableWorker> usable;
  auto view = views_.begin();
  for (const auto& [id, known] : state_.workers()) {  // both in the order of ids
    while (view != views_.end() && view->first < id) ++view;
    if (view == views_.end()) break;
    if (view->first != id || !IsUsable(view->second, known, now)) continue;
    usable.push_back({.worker = &known, .recently_successful = view->second.proven});
  }
  return usable;
}

bool WorkerFleet::IsUsable(const WorkerId& worker, Micros now) const {
  const auto found = views_.find(worker);
  const Worker* known = state_.FindWorker(worker);
  return found != views_.end() && known != nullptr && IsUsable(found->second, *known, now);
}

bool WorkerFleet::AnsweredSince(const WorkerId& worker, Micros time) const {
  const auto view = views_.find(worker);
  return view != views_.end() && view->second.answered_at > time;
}

bool WorkerFleet::IsUsable(const View& view, const Worker& known, Micros now) const {
  const Micros silence = kMissedHeartbeats * options_.heartbeat_ms * kMillisecond + kHeartbeatSlack;
  return known.record.phase == WorkerPhase::kReady && !view.leaving && !view.suspect &&
         view.listed && view.confirmed && view.has_clock && now >= view.rest_until &&
         now - view.last_heard < silence;
}

bool WorkerFleet::AtWork(const TaskId& task) const {
  const Task* found = state_.FindTask(task);
  if (found == nullptr || found->phase != TaskPhase::kAssigned) return false;
  const auto view = views_.find(found->worker);
  if (view == views_.end()) return false;
  const auto run = view->second.runs.find(task);
  // What a silent worker said last says nothing of now.
  if (view->second.suspect || view->second.leaving) return false;
  return run != view->second.runs.end() && run->second.percent >= 100 && !run->second.stop_wanted &&
         !run->second.end_proposed;
}

std::optional<Micros> WorkerFleet::RunTime(const TaskId& task, std::uint32_t run,
                                           Micros now) const {
  for (const auto& [id, view] : views_) {
    const auto found = view.runs.find(task);
    if (found == view.runs.end() || found->second.run != run) continue;
    if (found->second.started_at == 0) return std::nullopt;
    return now - found->second.started_at;
  }
  return std::nullopt;
}

// ---- what took effect ----

void WorkerFleet::OnApplied(const Command& command, ApplyOutcome outcome, Micros now, WallMs wall,
                            Outbox& out) {
  if (fencing_token_ == 0) return;
  if (const auto* assign = std::get_if<Assign>(&command)) {
    View* view = Find(assign->worker);
    if (outcome != ApplyOutcome::kApplied || view == nullptr) return;
    Run& run = view->runs[assign->task];
    run = {.run = assign->run, .phase = RunPhase::kStarting};
    const bool ready = state_.FindWorker(assign->worker)->record.phase == WorkerPhase::kReady;
    if (view->confirmed && ready && !view->leaving) {
      SendStart(assign->worker, *view, assign->task, run, now, out);
    } else {
      Conclude(assign->worker, *view, assign->task, run, Conclusion::kNeverSent, wall, out);
    }
  } else if (const auto* end = std::get_if<RecordEnd>(&command)) {
    StopSettled(end->task, now, out);
    View* view = Find(end->worker);
    if (view == nullptr) return;
    const auto run = view->runs.find(end->task);
    if (run == view->runs.end() || run->second.run != end->run) return;
    view->runs.erase(run);
    CountEnd(*view, end->kind, now);
  } else if (const auto* note = std::get_if<RecordWorker>(&command)) {
    View& view = views_[note->record.id];
    if (view.last_heard == 0) view.last_heard = now;
    if (view.born_ms != note->record.incarnation_ms && outcome == ApplyOutcome::kApplied) {
      if (view.born_ms != 0) LogIncarnation(note->record, view, out);
      ResetIncarnation(view, note->record, now);
      view.suspect = false;
    }
  } else if (const auto* forget = std::get_if<RemoveWorker>(&command)) {
    if (outcome != ApplyOutcome::kApplied) return;
    LogForgotten(*forget, out);
    views_.erase(forget->worker);
  }
}

void WorkerFleet::LogIncarnation(const WorkerRecord& record, const View& former, Outbox& out) {
  out.Log("worker_incarnation",
          {{"worker", record.id},
           {"vm", record.vm},
           {"born_ms", std::to_string(record.incarnation_ms)},
           {"former_born_ms", std::to_string(former.born_ms)},
           {"runs", std::to_string(former.runs.size())}},
          Severity::kWarning);
}

void WorkerFleet::LogForgotten(const RemoveWorker& forget, Outbox& out) const {
  const auto view = views_.find(forget.worker);
  if (view == views_.end()) return;
  const View& last = view->second;
  out.Log("worker_forgotten",
          {{"worker", forget.worker},
           {"born_ms", std::to_string(forget.incarnation_ms)},
           {"leaving", last.leaving ? "true" : "false"},
           {"told_ends", std::to_string(last.told_ends)}},
          last.leaving ? Severity::kWarning : Severity::kInfo);
}

void WorkerFleet::StopSettled(const TaskId& id, Micros now, Outbox& out) {
  const Job* job = state_.FindJob(id.job);
  if (state_.FindTask(id) == nullptr) return;
  const auto& tasks = job->At(id.occurrence, id.step).tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].done_by_earlier_run) Stop({id.job, id.occurrence, id.step, index}, now, out);
  }
}

void WorkerFleet::CountEnd(View& view, EndKind how, Micros now) {
  if (how == EndKind::kDone) {
    view.failures_in_row = 0;
    view.proven = true;
  }
  if (how != EndKind::kFailed) return;
  view.proven = false;
  if (++view.failures_in_row < kFailuresToRest) return;
  const int doublings = std::min(view.failures_in_row - kFailuresToRest, kMaxRestDoublings);
  view.rest_until = std::max(view.rest_until, now + (kFailureRest << doublings));
}

// ---- orders ----

void WorkerFleet::SendOrder(Sent sent, Order order, std::int64_t timeout_ms, Outbox& out) {
  const std::uint64_t token = next_token_++;
  sent.address = state_.FindWorker(sent.worker)->record.address;
  out.Add(OrderEffect{.token = token,
                      .address = sent.address,
                      .worker = sent.worker,
                      .fencing_token = fencing_token_,
                      .order = std::move(order),
                      .timeout_ms = timeout_ms});
  sent_[token] = std::move(sent);
}

void WorkerFleet::SendStart(const WorkerId& worker, View& view, const TaskId& task, Run& run,
                            Micros now, Outbox& out) {
  const Task* known = state_.FindTask(task);
  const Job* job = state_.FindJob(task.job);
  const std::int64_t until = ExtendLease(view, kStartLeaseMs, now);
  ++run.sends;
  ++starts_under_way_;
  run.start_out = true;
  SendOrder({.worker = worker,
             .born_ms = view.born_ms,
             .kind = OrderKind::kStart,
             .task = task,
             .run = run.run,
             .sent_at = now},
            StartOrder{.task = task,
                       .run = run.run,
                       .payload = job->spec.payload,
                       .checkpoint = known->checkpoint,
                       .lease_until_ms = until},
            kStartTimeoutMs, out);
  out.Count("starts_sent_total");
  if (run.sends > 1) out.Count("starts_resent_total");
}

void WorkerFleet::SendStop(const WorkerId& worker, View& view, const TaskId& task, Run& run,
                           Micros now, Outbox& out) {
  run.stop_out = true;
  run.stop_again_at = now + kRetryPause;
  SendStopOrder(worker, view, task, run.run, now, out);
  out.Count("stops_sent_total");
}

void WorkerFleet::SendStopOrder(const WorkerId& worker, const View& view, const TaskId& task,
                                std::uint32_t run, Micros now, Outbox& out) {
  SendOrder({.worker = worker,
             .born_ms = view.born_ms,
             .kind = OrderKind::kStop,
             .task = task,
             .run = run,
             .sent_at = now},
            StopOrder{.task = task, .run = run}, kStopTimeoutMs, out);
}

void WorkerFleet::SendHold(const WorkerId& worker, View& view, Micros now, Outbox& out) {
  const Worker* known = state_.FindWorker(worker);
  // A worker that was silent may be another incarnation, whose ends are counted anew and must not
  // be forgotten: nothing is acknowledged before a list has shown which one answers, nor twice, nor
  // while a start is unanswered, which the other one may have carried out and ended.
  const bool certain = view.listed && view.confirmed;
  const bool start_out =
      std::ranges::any_of(view.runs, [](const auto& entry) { return entry.second.start_out; });
  const bool to_forget = certain && !start_out && known->acknowledged_ends > view.told_ends;
  RenewLeaseOrder hold{.acknowledged_ends = to_forget ? known->acknowledged_ends : 0};
  const bool renew = view.has_clock && certain && !view.leaving && !view.runs.empty();
  if (renew) hold.lease_until_ms = ExtendLease(view, options_.lease_ms, now);
  const bool settled = std::ranges::all_of(view.runs, [](const auto& entry) {
    return entry.second.phase == RunPhase::kRunning && !entry.second.stop_wanted;
  });
  if (renew && view.listed && settled) hold.max_wait_ms = kHoldWaitMs;
  view.hold_out = true;
  view.hold_sent_at = now;
  const std::int64_t timeout = hold.max_wait_ms + kListTimeoutMs;
  SendOrder({.worker = worker,
             .born_ms = view.born_ms,
             .kind = OrderKind::kHold,
             .noted_ends = hold.acknowledged_ends,
             .sent_at = now},
            hold, timeout, out);
  out.Count("holds_sent_total");
}

void WorkerFleet::Stop(const TaskId& task, Micros now, Outbox& out) {
  const Task* known = state_.FindTask(task);
  if (known == nullptr || known->phase != TaskPhase::kAssigned) return;
  View* view = Find(known->worker);
  if (view == nullptr) return;
  const auto run = view->runs.find(task);
  if (run == view->runs.end() || run->second.stop_wanted) return;
  run->second.stop_wanted = true;
  SendStop(known->worker, *view, task, run->second, now, out);
}

// ---- time ----

void WorkerFleet::Tick(Micros now, WallMs wall, Outbox& out) {
  if (fencing_token_ == 0) return;
  auto view = views_.begin();
  for (const auto& [id, known] : state_.workers()) {  // both in the order of ids
    while (view != views_.end() && view->first < id) ++view;
    if (view == views_.end()) return;
    if (view->first == id) TickWorker(id, view->second, known, now, wall, out);
  }
}

void WorkerFleet::TickWorker(const WorkerId& worker, View& view, const Worker& known, Micros now,
                             WallMs wall, Outbox& out) {
  if (!view.runs.empty() && now > view.lapse_at) {
    out.Log("lease_lapsed",
            {{"worker", worker},
             {"runs", std::to_string(view.runs.size())},
             {"heard_ms_ago", std::to_string((now - view.last_heard) / kMillisecond)}},
            Severity::kWarning);
    ConcludeAll(worker, view, Conclusion::kLapsed, wall, out);
  }
  const bool silent = now - view.last_heard > kForgetSilent;
  const bool left = view.leaving && now - view.leaving_since > kLeaveGrace;
  if (view.gone && !view.runs.empty()) {
    ConcludeAll(worker, view, Conclusion::kSucceeded, wall, out);
  }
  if (view.runs.empty() && known.tasks.empty() && (silent || left || view.gone)) {
    propose_(RemoveWorker{.worker = worker, .incarnation_ms = view.born_ms});
    view.last_heard = now;  // not proposed again at once
    return;
  }
  TickRuns(worker, view, known.record.phase == WorkerPhase::kReady, now, out);
  const bool ends_to_forget = known.acknowledged_ends > view.told_ends;
  // Of a worker that is probably gone, whether it answers tells if it is still there.
  const bool due =
      !view.listed || !view.confirmed || ends_to_forget || !view.runs.empty() || view.leaving;
  const bool ends_pending = view.proposed_ends > known.acknowledged_ends;
  if (due && !view.gone && !view.hold_out && !ends_pending && now >= view.hold_at) {
    SendHold(worker, view, now, out);
  }
}

void WorkerFleet::TickRuns(const WorkerId& worker, View& view, bool ready, Micros now,
                           Outbox& out) {
  for (auto& [task, run] : view.runs) {
    if (run.end_proposed) continue;
    // A worker that leaves begins nothing more.
    if (!ready && run.phase == RunPhase::kStarting && !run.start_out) run.stop_wanted = true;
    if (run.stop_wanted) {
      if (!run.stop_out && now >= run.stop_again_at) SendStop(worker, view, task, run, now, out);
    } else if (run.phase == RunPhase::kStarting && view.confirmed && !run.start_out &&
               now >= run.resend_at) {
      // Not before a list: a lease end on the clock of a former incarnation means nothing to the
      // next.
      SendStart(worker, view, task, run, now, out);
    }
  }
}

}  // namespace godwitpaddle::jobs

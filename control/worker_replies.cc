#include <algorithm>
#include <set>
#include <utility>

#include "control/worker_fleet.h"
#include "control/worker_timing.h"

// Handles the workers' answers to orders and derives the state of their runs from them.
namespace godwitpaddle::jobs {
namespace {

using detail::kDownRetryPause;
using detail::kRenewalPause;
using detail::kRetryPause;

constexpr Micros kUnhealthyBackoff = kSecond;
/// A long-running task that has worked for this long is not the cause if its worker crashes.
constexpr Micros kTrialTime = 5 * kSecond;
/// Maximum number of ends that a worker lists at once; a list of this length may be truncated.
constexpr std::size_t kMaxListedEnds = 500;

}  // namespace

void WorkerFleet::OnReply(const OrderEvent& event, Micros now, WallMs wall, Outbox& out) {
  const auto found = sent_orders_.find(event.token);
  if (found == sent_orders_.end()) return;
  const SentOrder sent = std::move(found->second);
  sent_orders_.erase(found);
  if (sent.kind == OrderKind::kStart) --starts_in_flight_;
  WorkerView* view = FindView(sent.worker);
  if (view == nullptr) return;
  view->runs_due = 0;
  if (sent.kind == OrderKind::kStart && view->unanswered_starts > 0) --view->unanswered_starts;
  const OrderReply& reply = event.reply;
  const bool answered =
      reply.outcome == OrderOutcome::kDone || reply.outcome == OrderOutcome::kRefused;
  if (answered) view->last_answered_order_at = std::max(view->last_answered_order_at, sent.sent_at);
  if (answered && IsFromOtherIncarnation(sent, *view, reply)) {
    OnRestartSeen(sent, *view, reply, now, wall, out);
    if (sent.kind != OrderKind::kRenewLease) return OnOtherIncarnationReply(sent, *view, now);
  } else if (sent.incarnation == view->incarnation && answered &&
             reply.incarnation_ms <= view->incarnation) {
    RecordClock(*view, reply.clock_ms, now);
    view->last_heard = now;
    view->alive_at = std::max(view->alive_at, sent.sent_at);
  }
  if (reply.outcome == OrderOutcome::kNotSent && sent.newest_connection != 0) {
    // Says nothing about the worker: the next renewal acknowledges no ends and may use any
    // connection.
    if (view->list_connection == sent.newest_connection) view->list_connection = 0;
    view->renewal_in_flight = false;
    view->next_renewal_at = now;
    return;
  }
  if (reply.outcome == OrderOutcome::kNotSent || reply.outcome == OrderOutcome::kUnknown) {
    if (!view->suspect) {
      out.Log("worker_silent",
              {{"worker", sent.worker},
               {"outcome", std::string(NameOf(kOrderOutcomeNames, reply.outcome))},
               {"heard_ms_ago", std::to_string((now - view->last_heard) / kMillisecond)}});
    }
    view->suspect = true;
    view->confirmed = false;
    view->next_renewal_at = std::min(view->next_renewal_at, now + kRenewalPause);
  } else if (answered && view->suspect) {
    view->suspect = false;
    out.Log("worker_answers", {{"worker", sent.worker}});
  }
  const Worker* known = state_.FindWorker(sent.worker);
  const bool is_current = sent.incarnation == view->incarnation && known != nullptr &&
                          sent.address == known->record.address;
  if (reply.outcome == OrderOutcome::kOtherInstance && is_current && !view->replaced) {
    out.Log("worker_replaced", {{"worker", sent.worker}, {"address", sent.address}},
            Severity::kWarning);
    ConcludeAll(sent.worker, *view, Conclusion::kReplaced, wall, out);
    MarkReplaced(*view);
  }
  switch (sent.kind) {
    case OrderKind::kStart:
      return OnStartReply(sent, *view, reply, now, wall, out);
    case OrderKind::kStop:
      return OnStopReply(sent, *view, reply, now);
    case OrderKind::kRenewLease:
      return OnLeaseRenewalReply(sent, *view, reply, now, wall, out);
  }
}

void WorkerFleet::OnRestartSeen(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                                Micros now, WallMs wall, Outbox& out) {
  // The run lists will show what this incarnation has done. Until they arrive, the leader neither
  // acknowledges ends nor renews the lease.
  out.Log("worker_restarted",
          {{"worker", sent.worker},
           {"clock_ms", std::to_string(reply.clock_ms)},
           {"known_clock_ms", std::to_string(view.clock_ms)}},
          Severity::kWarning);
  view.confirmed = false;
  view.next_renewal_at = std::min(view.next_renewal_at, now + kRenewalPause);
  view.leases_expire_by = std::max(view.leases_expire_by, LongestLeaseExpiry(now));
  if (std::exchange(view.restart_seen_at, now) != 0) return;
  propose_(RecordWorker{.record = view.known->record, .restart_seen_ms = wall});
}

void WorkerFleet::OnOtherIncarnationReply(const SentOrder& sent, WorkerView& view, Micros now) {
  const auto found = view.runs.find(sent.task);
  if (found == view.runs.end() || found->second.run != sent.run) return;
  if (sent.kind == OrderKind::kStart) {
    found->second.start_in_flight = false;
    found->second.start_due = now + kRetryPause;
  } else {
    found->second.stop_in_flight = false;
  }
}

void WorkerFleet::OnStartReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                               Micros now, WallMs wall, Outbox& out) {
  const auto found = view.runs.find(sent.task);
  if (found == view.runs.end() || found->second.run != sent.run) return;
  Run& run = found->second;
  run.start_in_flight = false;
  const auto refuse = [&](Micros backoff) {
    view.backoff_until = std::max(view.backoff_until, now + backoff);
    // The worker may still carry out an earlier copy that was not answered.
    if (run.start_sends > 1) {
      run.stop_wanted = true;
    } else {
      Conclude(sent.worker, view, sent.task, run, Conclusion::kRefused, wall, out);
    }
  };
  switch (reply.outcome) {
    case OrderOutcome::kDone:
      SetBegun(sent.task, run);
      if (sent.incarnation == view.incarnation) {
        run.phase = RunPhase::kRunning;
        run.started_at = now;
        run.alive_until = 0;
      }
      break;
    case OrderOutcome::kRefused:
      if (reply.reason == RefusalReason::kStaleRun) {
        // The run has ended or was stopped; the next run lists show which.
        run.phase = RunPhase::kRunning;
        run.started_at = now;
      } else if (reply.reason != RefusalReason::kStaleToken) {
        refuse(reply.reason == RefusalReason::kNoCapacity ? kRetryPause : 0);
      }
      break;
    case OrderOutcome::kUnhealthy:
      refuse(kUnhealthyBackoff);
      break;
    case OrderOutcome::kNotSent:
    case OrderOutcome::kInvalid:
    case OrderOutcome::kOtherInstance:
      refuse(kRetryPause);
      break;
    case OrderOutcome::kUnknown:
      ++run.unanswered_starts;
      break;
  }
  run.start_due = now + kRetryPause;
  view.next_renewal_at = std::min(view.next_renewal_at, now + kRenewalPause);
}

void WorkerFleet::OnStopReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                              Micros now) {
  const auto found = view.runs.find(sent.task);
  if (found == view.runs.end() || found->second.run != sent.run) return;
  Run& run = found->second;
  run.stop_in_flight = false;
  const bool stop_in_force =
      reply.outcome == OrderOutcome::kDone ||
      (reply.outcome == OrderOutcome::kRefused && reply.reason == RefusalReason::kStaleRun);
  if (stop_in_force && !run.stop_answered_at && sent.incarnation == view.incarnation) {
    run.stop_answered_at = now;
    view.next_renewal_at = std::min(view.next_renewal_at, now + kRenewalPause);
  }
}

void WorkerFleet::OnLeaseRenewalReply(const SentOrder& sent, WorkerView& view,
                                      const OrderReply& reply, Micros now, WallMs wall,
                                      Outbox& out) {
  view.renewal_in_flight = false;
  if (reply.outcome != OrderOutcome::kDone) {
    const bool likely_gone = view.expected_down && view.runs.empty();
    view.next_renewal_at = now + (likely_gone ? kDownRetryPause : kRetryPause);
    return;
  }
  view.next_renewal_at = now + RenewalPause();
  if (sent.incarnation != view.incarnation) return;
  if (reply.incarnation_ms > view.incarnation) {
    WorkerRecord record = state_.FindWorker(sent.worker)->record;
    record.incarnation_ms = reply.incarnation_ms;
    // The new incarnation may be of another kind and service, so it gets no tasks before its own
    // heartbeat.
    record.phase = WorkerPhase::kDraining;
    const bool planned = IsPlannedEnd(record);
    propose_(RecordWorker{.record = std::move(record), .planned = planned});
    return;
  }
  if (view.expected_down && sent.sent_at > view.expected_down_at) {
    view.expected_down = false;
    out.Log("worker_stays",
            {{"worker", sent.worker}, {"born_ms", std::to_string(view.incarnation)}},
            Severity::kWarning);
  }
  const bool first_lists = !std::exchange(view.lists_received, true);
  view.confirmed = true;
  if (first_lists && reply.incarnation_ms == view.incarnation) {
    ConcludeOlderWorkers(view.known->record, wall, out);
  }
  if (reply.incarnation_ms == view.incarnation) view.list_connection = reply.connection;
  view.acknowledgement_delivered = std::max(view.acknowledgement_delivered, sent.acknowledged_ends);
  view.proposed_ends = std::max(view.proposed_ends, sent.acknowledged_ends);
  ProposeListedEnds(sent.worker, view, reply, wall, out);
  UpdateListedRuns(sent.worker, view, reply, now, out);
  ConcludeUnlisted(sent, view, reply, wall, out);
}

void WorkerFleet::ProposeListedEnds(const WorkerId& worker, WorkerView& view,
                                    const OrderReply& reply, WallMs wall, Outbox& out) {
  for (const EndedRun& end : reply.ended) {
    if (end.number <= view.proposed_ends) continue;
    view.proposed_ends = end.number;
    const auto run = view.runs.find(end.task);
    const bool is_current = run != view.runs.end() && run->second.run == end.run;
    if (is_current) {
      run->second.end_proposed = true;
    } else {
      LogEarlierRunEnd(worker, end, out);
    }
    propose_(RecordEnd{.worker = worker,
                       .incarnation_ms = view.incarnation,
                       .number = end.number,
                       .task = end.task,
                       .run = end.run,
                       .kind = end.kind,
                       .checkpoint = end.checkpoint,
                       .wall_ms = wall});
  }
}

void WorkerFleet::LogEarlierRunEnd(const WorkerId& worker, const EndedRun& end, Outbox& out) const {
  const Task* task = state_.FindTask(end.task);
  if (task == nullptr || end.number <= state_.FindWorker(worker)->acknowledged_ends) return;
  out.Log("former_run_ended",
          {{"task", FormatTask(end.task)},
           {"run", std::to_string(end.run)},
           {"worker", worker},
           {"number", std::to_string(end.number)},
           {"how", std::string(NameOf(kEndKindNames, end.kind))},
           {"task_phase", std::string(NameOf(kTaskPhaseNames, task->phase))},
           {"current_run", std::to_string(task->run)},
           {"current_worker", task->worker}},
          Severity::kWarning);
}

void WorkerFleet::UpdateListedRuns(const WorkerId& worker, WorkerView& view,
                                   const OrderReply& reply, Micros now, Outbox& out) {
  for (const RunningTask& listed : reply.running) {
    const auto run = view.runs.find(listed.task);
    if (run != view.runs.end() && run->second.run == listed.run) {
      SetBegun(listed.task, run->second);
      // The next incarnation may have carried out the start.
      const bool is_new = run->second.phase != RunPhase::kRunning || run->second.alive_until != 0;
      if (is_new) {
        run->second.phase = RunPhase::kRunning;
        run->second.started_at = now;
        run->second.alive_until = 0;
      }
      run->second.speed_percent = listed.speed_percent;
      run->second.load_metric = listed.load_metric;
      continue;
    }
    // An orphan run: the worker carried out its start late, after the run was abandoned.
    Micros& resend_at = view.orphan_stop_at[{listed.task, listed.run}];
    if (resend_at > now) continue;
    resend_at = now + kRetryPause;
    out.Log("stray_run_stopped",
            {{"worker", worker},
             {"task", FormatTask(listed.task)},
             {"run", std::to_string(listed.run)}},
            Severity::kWarning);
    SendStopOrder(worker, view, listed.task, listed.run, now, out);
  }
}

void WorkerFleet::ConcludeUnlisted(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                                   WallMs wall, Outbox& out) {
  if (reply.ended.size() >= kMaxListedEnds) return;
  std::set<TaskId> listed;
  for (const RunningTask& running : reply.running) listed.insert(running.task);
  const Micros stop_time = options_.stop_ms * kMillisecond;
  for (auto& [task, run] : view.runs) {
    if (run.end_proposed || listed.contains(task)) continue;
    const bool stopped = run.stop_answered_at && sent.sent_at > *run.stop_answered_at + stop_time;
    const bool may_start_late = run.stop_wanted && run.unanswered_starts > 0;
    const bool unlisted = run.phase == RunPhase::kRunning && run.started_at < sent.sent_at &&
                          !run.start_in_flight && !may_start_late;
    if (run.phase == RunPhase::kInherited) {
      // The worker answered this list under this leader's fencing token, so it can no longer carry
      // out the earlier leader's start. A previous incarnation that crashed may have done so.
      const bool had_started = HadStartedBefore(sent.worker, task, run);
      Conclude(sent.worker, view, task, run,
               had_started ? Conclusion::kUnlisted : Conclusion::kNeverSent, wall, out);
    } else if (stopped || unlisted) {
      Conclude(sent.worker, view, task, run, stopped ? Conclusion::kStopped : Conclusion::kUnlisted,
               wall, out);
    }
  }
}

bool WorkerFleet::IsCurrent(const WorkerId& worker, const TaskId& task, std::uint32_t run) const {
  const Task* found = state_.FindTask(task);
  return found != nullptr && found->phase == TaskPhase::kAssigned && found->run == run &&
         found->worker == worker;
}

bool WorkerFleet::HadStartedBefore(const WorkerId& worker, const TaskId& task,
                                   const Run& run) const {
  // Ended through another task of its gang, which works only once all have started.
  if (!IsCurrent(worker, task, run.run)) return true;
  return state_.FindTask(task)->crash != CrashMark::kNone;
}

void WorkerFleet::Conclude(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run,
                           Conclusion conclusion, WallMs wall, Outbox& out) {
  if (run.end_proposed) return;
  run.end_proposed = true;
  const EndKind kind = kConclusionEnds.at(static_cast<std::size_t>(conclusion));
  out.Log("run_concluded",
          {{"task", FormatTask(task)},
           {"run", std::to_string(run.run)},
           {"worker", worker},
           {"how", std::string(NameOf(kEndKindNames, kind))},
           {"reason", std::string(NameOf(kConclusionNames, conclusion))},
           {"sends", std::to_string(run.start_sends)},
           {"begun", run.begun ? "true" : "false"},
           {"ran_ms", std::to_string(KnownRunTime(view, run) / kMillisecond)}},
          IsRoutine(conclusion) ? Severity::kInfo : Severity::kWarning);
  propose_(
      RecordEnd{.worker = worker,
                .incarnation_ms = view.incarnation,
                .task = task,
                .run = run.run,
                .kind = kind,
                .wall_ms = wall,
                .had_worked = HadWorked(view, task, run),
                .begun = run.begun,
                .unanswered = !run.begun && !run.inherited,
                .survived_start = run.inherited || KnownRunTime(view, run) >= detail::kStartTime});
}

void WorkerFleet::SetBegun(const TaskId& task, Run& run) {
  if (std::exchange(run.begun, true)) return;
  unbegun_jobs_.OnBegun(task.job);
}

Micros WorkerFleet::KnownRunTime(const WorkerView& view, const Run& run) {
  if (run.started_at == 0) return 0;
  const Micros alive_at = run.alive_until != 0 ? run.alive_until : view.alive_at;
  return std::max<Micros>(0, alive_at - run.started_at);
}

bool WorkerFleet::IsLongRunning(const TaskId& task) const {
  const Job* job = state_.FindJob(task.job);
  return job != nullptr && task.step < job->spec.steps.size() &&
         job->spec.steps[task.step].long_running;
}

bool WorkerFleet::HadWorked(const WorkerView& view, const TaskId& task, const Run& run) const {
  return IsLongRunning(task) && KnownRunTime(view, run) > kTrialTime;
}

void WorkerFleet::ConcludeAll(const WorkerId& worker, WorkerView& view, Conclusion conclusion,
                              WallMs wall, Outbox& out) {
  for (auto& [task, run] : view.runs) Conclude(worker, view, task, run, conclusion, wall, out);
}

}  // namespace godwitpaddle::jobs

#include <algorithm>
#include <utility>

#include "control/worker_fleet.h"
#include "control/worker_timing.h"

// Keeps the views of the workers, and examines those that an event or a time concerns.
namespace godwitpaddle::jobs {
namespace {

/// A worker without runs is removed if it is expected to go down and answers no query within this
/// time, or if it is silent for the longer one.
constexpr Micros kExpectedDownGrace = 2 * kSecond;
constexpr Micros kRemoveSilentAfter = 15 * kSecond;
/// Bounds of the time between two examinations of a worker that no event concerns.
constexpr Micros kMinTickPause = 10 * kMillisecond;
constexpr Micros kMaxTickPause = 500 * kMillisecond;

}  // namespace

WorkerFleet::WorkerView* WorkerFleet::FindView(const WorkerId& worker) {
  const auto found = views_.find(worker);
  if (found == views_.end()) return nullptr;
  Touch(found->second);
  return &found->second;
}

WorkerFleet::WorkerView& WorkerFleet::AddView(const WorkerId& worker) {
  WorkerView& view = views_[worker];
  if (view.number == 0) view.number = ++last_view_;
  view.known = state_.FindWorker(worker);
  const std::string& service = view.known->record.service;
  if (view.service != service) by_service_[view.service].erase(worker);
  view.service = service;
  by_service_[service][worker] = &view;
  Touch(view);
  return view;
}

void WorkerFleet::RemoveView(const WorkerId& worker) {
  const auto found = views_.find(worker);
  if (found == views_.end()) return;
  schedule_.erase({found->second.next_tick, found->second.number});
  std::erase(touched_, &found->second);
  by_service_[found->second.service].erase(worker);
  views_.erase(found);
}

void WorkerFleet::ClearViews() {
  schedule_.clear();
  touched_.clear();
  by_service_.clear();
  views_.clear();
}

void WorkerFleet::Touch(WorkerView& view) {
  if (view.touched) return;
  view.touched = true;
  touched_.push_back(&view);
}

void WorkerFleet::Schedule(WorkerView& view, Micros time) {
  if (view.next_tick <= time) return;  // examined earlier, which does no harm
  schedule_.erase({view.next_tick, view.number});
  view.next_tick = time;
  schedule_.emplace(std::pair(time, view.number), &view);
}

std::vector<WorkerFleet::WorkerView*> WorkerFleet::TakeDue(Micros now) {
  std::vector<WorkerView*> due = std::exchange(touched_, {});
  while (!schedule_.empty() && schedule_.begin()->first.first <= now) {
    WorkerView* view = schedule_.begin()->second;
    schedule_.erase(schedule_.begin());
    view->next_tick = kNever;
    if (!view->touched) due.push_back(view);
  }
  for (WorkerView* view : due) view->touched = false;
  return due;
}

void WorkerFleet::Tick(Micros now, WallMs wall, Outbox& out) {
  if (fencing_token_ == 0) return;
  for (WorkerView* view : TakeDue(now)) {
    TickWorker(*view, now, wall, out);
    Schedule(*view, NextTick(*view, now));
  }
}

bool WorkerFleet::IsRemovable(const WorkerView& view, Micros now) {
  if (!view.runs.empty() || !view.known->tasks.empty()) return false;
  const bool silent = now - view.last_heard > kRemoveSilentAfter;
  const bool down_grace_over =
      view.expected_down && now - view.expected_down_since > kExpectedDownGrace;
  // The next report from the VM shows whether a replaced worker crashed under its lost runs.
  const bool replaced = view.replaced && view.known->lost_runs.empty();
  return silent || down_grace_over || replaced;
}

bool WorkerFleet::WantsRenewal(const WorkerView& view) {
  const std::uint64_t recorded_ends = view.known->acknowledged_ends;
  const bool acknowledgement_due = recorded_ends > view.acknowledgement_delivered;
  // A worker that is expected to go down is queried too: an answer shows that it still runs.
  const bool wanted = !view.lists_received || !view.confirmed || acknowledgement_due ||
                      !view.runs.empty() || view.expected_down;
  const bool ends_unrecorded = view.proposed_ends > recorded_ends;
  return wanted && !view.replaced && !view.renewal_in_flight && !ends_unrecorded;
}

Micros WorkerFleet::NextTick(const WorkerView& view, Micros now) const {
  // Also bounds the delay if a change of the worker's entry in the state is not noticed.
  Micros next = now + kMaxTickPause;
  if (view.runs.empty()) {
    next = std::min(next, view.last_heard + kRemoveSilentAfter + 1);
    if (view.expected_down) {
      next = std::min(next, view.expected_down_since + kExpectedDownGrace + 1);
    }
  } else {
    next = std::min({next, view.leases_expire_by + 1, view.runs_due});
  }
  if (WantsRenewal(view)) next = std::min(next, view.next_renewal_at);
  return std::max(next, now + kMinTickPause);
}

void WorkerFleet::TickWorker(WorkerView& view, Micros now, WallMs wall, Outbox& out) {
  const Worker& known = *view.known;
  const WorkerId& worker = known.record.id;
  if (!view.runs.empty() && now > view.leases_expire_by) {
    out.Log("lease_lapsed",
            {{"worker", worker},
             {"runs", std::to_string(view.runs.size())},
             {"heard_ms_ago", std::to_string((now - view.last_heard) / kMillisecond)}},
            Severity::kWarning);
    ConcludeAll(worker, view, Conclusion::kLeaseExpired, wall, out);
  }
  if (view.replaced && !view.runs.empty()) {
    ConcludeAll(worker, view, Conclusion::kSuperseded, wall, out);
  }
  if (IsRemovable(view, now)) {
    propose_(RemoveWorker{.worker = worker, .incarnation_ms = view.incarnation});
    view.last_heard = now;  // delays the next proposal
    return;
  }
  TickRuns(worker, view, now, out);
  if (WantsRenewal(view) && now >= view.next_renewal_at) SendLeaseRenewal(worker, view, now, out);
}

void WorkerFleet::TickRuns(const WorkerId& worker, WorkerView& view, Micros now, Outbox& out) {
  if (now < view.runs_due) return;
  view.runs_due = kNever;
  const bool accepts = AcceptsStarts(view.known->record);
  const bool has_room = view.known->used.FitsInto(view.known->record.capacity);
  for (auto& [task, run] : view.runs) {
    if (run.end_proposed) continue;
    // A worker that drains, that is in an evacuated zone, or that has shrunk below what it runs,
    // starts no more runs.
    if (!(accepts && has_room) && run.phase == RunPhase::kStarting && !run.start_in_flight) {
      run.stop_wanted = true;
    }
    if (now >= NextSend(view, run)) {
      if (!IsCurrent(worker, task, run.run)) run.stop_wanted = true;
      if (run.stop_wanted) {
        SendStop(worker, view, task, run, now, out);
      } else {
        SendStart(worker, view, task, run, now, out);
      }
    }
    view.runs_due = std::min(view.runs_due, NextSend(view, run));
  }
}

Micros WorkerFleet::NextSend(const WorkerView& view, const Run& run) {
  if (run.stop_wanted) return run.stop_in_flight ? kNever : run.stop_due;
  // A start requires a run list that confirms the incarnation: a lease end on the clock of an
  // earlier incarnation means nothing to the next one.
  const bool may_start = run.phase == RunPhase::kStarting && view.confirmed && !run.start_in_flight;
  return may_start ? run.start_due : kNever;
}

}  // namespace godwitpaddle::jobs

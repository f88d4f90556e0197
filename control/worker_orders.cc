#include <algorithm>
#include <utility>

#include "control/worker_fleet.h"
#include "control/worker_timing.h"

// Sends the orders to the workers: starts, stops and lease renewals.
namespace godwitpaddle::jobs {
namespace {

using detail::kRetryPause;

/// Lease that a start gives to an idle worker until a lease renewal extends it.
constexpr std::int64_t kStartLeaseMs = 2'000;
constexpr std::int64_t kStartTimeoutMs = 400;
constexpr std::int64_t kStopTimeoutMs = 500;
constexpr std::int64_t kRenewalTimeoutMs = 700;
constexpr std::int64_t kRenewalWaitMs = 1'000;

}  // namespace

void WorkerFleet::SendOrder(SentOrder sent, Order order, std::int64_t timeout_ms, Outbox& out) {
  const std::uint64_t token = next_token_++;
  sent.address = state_.FindWorker(sent.worker)->record.address;
  out.Add(OrderEffect{.token = token,
                      .address = sent.address,
                      .worker = sent.worker,
                      .fencing_token = fencing_token_,
                      .order = std::move(order),
                      .timeout_ms = timeout_ms,
                      .newest_connection = sent.newest_connection});
  sent_orders_[token] = std::move(sent);
}

void WorkerFleet::SendStart(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run,
                            Micros now, Outbox& out) {
  const Task* known = state_.FindTask(task);
  const Job* job = state_.FindJob(task.job);
  const std::int64_t until = ExtendLease(view, kStartLeaseMs, now);
  ++run.start_sends;
  ++starts_in_flight_;
  ++view.unanswered_starts;
  run.start_in_flight = true;
  SendOrder({.worker = worker,
             .incarnation = view.incarnation,
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
  if (run.start_sends > 1) out.Count("starts_resent_total");
}

void WorkerFleet::SendStop(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run,
                           Micros now, Outbox& out) {
  run.stop_in_flight = true;
  run.stop_due = now + kRetryPause;
  SendStopOrder(worker, view, task, run.run, now, out);
  out.Count("stops_sent_total");
}

void WorkerFleet::SendStopOrder(const WorkerId& worker, const WorkerView& view, const TaskId& task,
                                std::uint32_t run, Micros now, Outbox& out) {
  SendOrder({.worker = worker,
             .incarnation = view.incarnation,
             .kind = OrderKind::kStop,
             .task = task,
             .run = run,
             .sent_at = now},
            StopOrder{.task = task, .run = run}, kStopTimeoutMs, out);
}

void WorkerFleet::SendLeaseRenewal(const WorkerId& worker, WorkerView& view, Micros now,
                                   Outbox& out) {
  const Worker* known = state_.FindWorker(worker);
  // A worker may have restarted unnoticed. The next incarnation numbers its ends from 1 again and
  // must not discard them, not even if it carries out the order seconds later. So the leader
  // acknowledges ends only on a connection on which this incarnation sent its run lists: it ends
  // with the incarnation's process. Nor does it acknowledge them twice, or while a start is
  // unanswered.
  const bool incarnation_certain = view.lists_received && view.confirmed;
  const bool start_in_flight = std::ranges::any_of(
      view.runs, [](const auto& entry) { return entry.second.start_in_flight; });
  const bool acknowledge = incarnation_certain && !start_in_flight && view.list_connection != 0 &&
                           known->acknowledged_ends > view.acknowledgement_delivered;
  RenewLeaseOrder renewal{.acknowledged_ends = acknowledge ? known->acknowledged_ends : 0};
  const bool renew =
      view.has_clock && incarnation_certain && !view.expected_down && !view.runs.empty();
  if (renew) renewal.lease_until_ms = ExtendLease(view, options_.lease_ms, now);
  const bool all_running = std::ranges::all_of(view.runs, [](const auto& entry) {
    return entry.second.phase == RunPhase::kRunning && !entry.second.stop_wanted;
  });
  const bool starts_suspect = std::ranges::any_of(view.runs, [&](const auto& entry) {
    return entry.second.suspect && now - entry.second.started_at < detail::kStartTime;
  });
  // Shows at once whether the worker survives the start of a suspect.
  const bool may_wait = renew && view.lists_received && all_running && !starts_suspect;
  if (may_wait) renewal.max_wait_ms = kRenewalWaitMs;
  view.renewal_in_flight = true;
  view.renewal_sent_at = now;
  CountRenewal(now);
  const std::int64_t timeout = renewal.max_wait_ms + kRenewalTimeoutMs;
  SendOrder({.worker = worker,
             .incarnation = view.incarnation,
             .kind = OrderKind::kRenewLease,
             .acknowledged_ends = renewal.acknowledged_ends,
             .newest_connection = acknowledge ? view.list_connection : 0,
             .sent_at = now},
            renewal, timeout, out);
  out.Count("holds_sent_total");
}

void WorkerFleet::CountRenewal(Micros now) {
  if (now - renewals_since_ >= kSecond) {
    renewals_a_second_ = renewals_;
    renewals_ = 0;
    renewals_since_ = now;
  }
  ++renewals_;
}

Micros WorkerFleet::RenewalPause() const {
  const Micros pause =
      detail::kRenewalPause * renewals_a_second_ / detail::kRenewalsAtShortestPause;
  return std::clamp(pause, detail::kRenewalPause, detail::kMaxRenewalPause);
}

void WorkerFleet::Stop(const TaskId& task, Micros now, Outbox& out) {
  const Task* known = state_.FindTask(task);
  if (known == nullptr || known->phase != TaskPhase::kAssigned) return;
  WorkerView* view = FindView(known->worker);
  if (view == nullptr) return;
  view->runs_due = 0;
  const auto run = view->runs.find(task);
  if (run == view->runs.end() || run->second.stop_wanted) return;
  run->second.stop_wanted = true;
  SendStop(known->worker, *view, task, run->second, now, out);
}

}  // namespace godwitpaddle::jobs

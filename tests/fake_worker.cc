#include "tests/fake_worker.h"

#include <algorithm>
#include <variant>

namespace godwitpaddle::testing {
namespace {

constexpr std::int64_t kLongestLeaseMs = 10'000;

}  // namespace

void FakeWorker::Restart(std::int64_t born_ms, Micros now) {
  const jobs::WorkerRecord record = record_;
  std::set<jobs::TaskId>* const done = done_tasks;
  *this = FakeWorker(record, now);
  done_tasks = done;
  record_.phase = jobs::WorkerPhase::kReady;
  record_.incarnation_ms = born_ms;
}

void FakeWorker::End(const jobs::TaskId& task, jobs::EndKind how, Micros time) {
  const auto run = running_.find(task);
  end_times_[next_number_] = time;
  if (how == jobs::EndKind::kDone && done_tasks != nullptr) done_tasks->insert(task);
  ended_.push_back({.number = next_number_++, .task = task, .run = run->second.run, .kind = how});
  closed_[task] = std::max(closed_[task], run->second.run);
  running_.erase(run);
}

void FakeWorker::Advance(Micros now) {
  std::vector<jobs::TaskId> due;
  for (const auto& [task, run] : running_) {
    if (run.ends <= now) due.push_back(task);
  }
  std::ranges::sort(due, {}, [this](const jobs::TaskId& task) { return running_[task].ends; });
  const bool lapsed = Clock(now) > lease_end_ms_;
  for (const jobs::TaskId& task : due) {
    const Run& run = running_[task];
    if (lapsed && Clock(run.ends) > lease_end_ms_) continue;
    const auto by_itself = run.fails || fails_all ? jobs::EndKind::kFailed : jobs::EndKind::kDone;
    End(task, run.stopping ? jobs::EndKind::kStopped : by_itself, run.ends);
  }
  if (!lapsed) return;
  for (const jobs::EndedRun& end : ended_) lapsed_ends_.insert(end.number);
  while (!running_.empty()) End(running_.begin()->first, jobs::EndKind::kLeaseExpired, now);
}

jobs::OrderReply FakeWorker::Refuse(jobs::RefusalReason reason, Micros now) const {
  return {.outcome = jobs::OrderOutcome::kRefused, .reason = reason, .clock_ms = Clock(now)};
}

void FakeWorker::ExtendLease(std::int64_t until_ms, Micros now) {
  lease_end_ms_ = std::max(lease_end_ms_, std::min(until_ms, Clock(now) + kLongestLeaseMs));
}

jobs::OrderReply FakeWorker::Carry(const jobs::Order& order, std::uint64_t token,
                                   jobs::Resources size, Micros duration, Micros now) {
  Advance(now);
  started = false;
  if (token < token_) return Refuse(jobs::RefusalReason::kStaleToken, now);
  token_ = token;
  if (const auto* start = std::get_if<jobs::StartOrder>(&order)) {
    return Start(*start, size, duration, now);
  }
  if (const auto* hold = std::get_if<jobs::RenewLeaseOrder>(&order)) return Hold(*hold, now);
  if (const auto* stop = std::get_if<jobs::StopOrder>(&order)) {
    const auto run = running_.find(stop->task);
    if (run != running_.end() && run->second.run <= stop->run) {
      Stop(stop->task, now);
    }
    closed_[stop->task] = std::max(closed_[stop->task], stop->run);
  }
  return {.outcome = jobs::OrderOutcome::kDone, .clock_ms = Clock(now)};
}

void FakeWorker::Stop(const jobs::TaskId& task, Micros now) {
  if (stop_time == 0) return End(task, jobs::EndKind::kStopped, now);
  Run& run = running_[task];
  if (run.ends <= now + stop_time) return;  // it ends by itself before
  run.ends = now + stop_time;
  run.stopping = true;
}

jobs::OrderReply FakeWorker::Start(const jobs::StartOrder& order, jobs::Resources size,
                                   Micros duration, Micros now) {
  const auto run = running_.find(order.task);
  jobs::OrderReply good{.outcome = jobs::OrderOutcome::kDone, .clock_ms = Clock(now)};
  if (run != running_.end() && run->second.run == order.run) return good;
  const auto closed = closed_.find(order.task);
  if (closed != closed_.end() && order.run <= closed->second) {
    return Refuse(jobs::RefusalReason::kStaleRun, now);
  }
  if (order.lease_until_ms <= Clock(now)) return Refuse(jobs::RefusalReason::kLeaseExpired, now);
  ExtendLease(order.lease_until_ms, now);
  jobs::Resources used = size;
  for (const auto& [task, one] : running_) used += one.size;
  if (!used.FitsInto(record_.capacity)) return Refuse(jobs::RefusalReason::kNoCapacity, now);
  running_[order.task] = {.run = order.run, .ends = now + duration, .size = size};
  started = true;
  return good;
}

jobs::OrderReply FakeWorker::Hold(const jobs::RenewLeaseOrder& order, Micros now) {
  if (order.lease_until_ms) ExtendLease(*order.lease_until_ms, now);
  std::erase_if(ended_, [&](const auto& end) { return end.number <= order.acknowledged_ends; });
  acknowledged_ = std::max(acknowledged_, order.acknowledged_ends);
  jobs::OrderReply reply{.outcome = jobs::OrderOutcome::kDone,
                         .clock_ms = Clock(now),
                         .incarnation_ms = record_.incarnation_ms,
                         .ended = ended_};
  for (const auto& [task, run] : running_) {
    reply.running.push_back({.task = task, .run = run.run, .speed_percent = 100});
  }
  return reply;
}

}  // namespace godwitpaddle::testing

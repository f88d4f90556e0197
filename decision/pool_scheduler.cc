#include "decision/pool_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/admission.h"
#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

constexpr double kInitialRetryTokens = 64;
// Time constant in seconds of the smoothed rate of arrivals.
constexpr double kArrivalTimeConstantS = 5;
// FindViolation recounts everything once in this many calls, since a recount visits all requests.
constexpr int kRecountIntervalCalls = 64;

double DecayedRate(const ArrivalRate& rate, Micros now) {
  const double seconds = static_cast<double>(std::max<Micros>(0, now - rate.updated)) / kSecond;
  return rate.per_second * std::exp(-seconds / kArrivalTimeConstantS);
}

// Returns the number of slots that a task of this size is worth: the larger of its fractions of the
// cores and the memory of the pool's first server, which stands for all, times that server's slots.
// At least 1 and at most all slots of that server.
double EquivalentSlots(const SchedulerState& state, const TaskSize& size) {
  if (state.servers.servers.empty()) return 1;
  const Announcement& shape = state.servers.servers.front().announcement;
  double slots = 1;
  if (shape.cores > 0) slots = std::max(slots, size.cores * shape.slots / shape.cores);
  if (shape.memory_mb > 0) {
    slots = std::max(slots, static_cast<double>(size.memory_mb) * shape.slots /
                                static_cast<double>(shape.memory_mb));
  }
  return std::min(slots, static_cast<double>(std::max(1, shape.slots)));
}

Refusal ExpiryRefusal(const SchedulerState& state, const RequestState& request) {
  const bool passed = request.request.deadline <= state.now;
  return {.id = request.request.id,
          .reason = passed ? RefusalReason::kDeadlinePassed : RefusalReason::kTooLate,
          .message = passed ? "the deadline passed while the request was queued"
                            : "the deadline cannot be met",
          .may_have_run = request.may_have_run};
}

}  // namespace

struct PoolScheduler::Impl {
  SchedulerState state;
};

PoolScheduler::PoolScheduler(SchedulerOptions options) : impl_(std::make_unique<Impl>()) {
  impl_->state.retry_tokens = kInitialRetryTokens;
  Reconfigure(std::move(options));
}

PoolScheduler::~PoolScheduler() = default;
PoolScheduler::PoolScheduler(PoolScheduler&&) noexcept = default;
PoolScheduler& PoolScheduler::operator=(PoolScheduler&&) noexcept = default;

void PoolScheduler::Reconfigure(SchedulerOptions options) {
  SchedulerState& state = impl_->state;
  state.options = std::move(options);
  for (const auto& [name, config] : state.options.teams) {
    TeamState& team = state.teams[TeamIndex(state, name)];
    team.share.weight = config.share;
    team.limit = config.limit;
  }
  for (TeamState& team : state.teams) {
    if (!state.options.teams.contains(team.name)) team.limit = 0;
    team.cap = std::min(team.cap, team.limit);
  }
  for (const auto& [name, config] : state.options.queues) {
    state.queues[QueueIndex(state, name)].config = config;
  }
  DivideQueuePlaces(state);
}

void PoolScheduler::Announce(const Announcement& announcement, Micros now) {
  SchedulerState& state = impl_->state;
  AdvanceTime(state, now);
  const AnnouncementEffect effect =
      RecordAnnouncement(state.servers, announcement, state.own_tasks, now);
  for (const ObservedTask& task : effect.observed) RecordUsage(state, effect.server, task);
}

void PoolScheduler::SetBlockedVms(std::set<VmId> vms) {
  BlockVms(impl_->state.servers, std::move(vms), impl_->state.now);
}

std::optional<Refusal> PoolScheduler::Admit(const QueuedRequest& request, Micros now) {
  SchedulerState& state = impl_->state;
  AdvanceTime(state, now);
  state.arrivals = {DecayedRate(state.arrivals, now) + 1 / kArrivalTimeConstantS, now};
  RequestState entry{.request = request,
                     .team = TeamIndex(state, request.team),
                     .queue = QueueIndex(state, request.queue),
                     .key = MakeOrderKey(request)};
  entry.size = CorrectedSize(state.queues[entry.queue].usage, request.size);
  entry.slots = EquivalentSlots(state, entry.size);
  if (state.requests.contains(request.id)) return std::nullopt;  // repeated call
  if (auto refusal = CheckAdmission(state, entry)) return refusal;
  if (!HasQueuePlace(OccupancyFor(state, entry)) && !DisplaceOne(state)) {
    return Refusal{.id = request.id,
                   .reason = RefusalReason::kQueueFull,
                   .message = "the queue is full",
                   .retry_after = kSecond};
  }
  const auto it = state.requests.emplace(request.id, std::move(entry)).first;
  Enqueue(state, it->second,
          request.idempotent ? RequestState::Stage::kReady : RequestState::Stage::kUnclaimed);
  return std::nullopt;
}

std::vector<RequestId> PoolScheduler::TakeClaimCandidates(Micros now) {
  AdvanceTime(impl_->state, now);
  return SelectClaimCandidates(impl_->state);
}

void PoolScheduler::ConfirmClaim(RequestId id, Micros now) {
  SchedulerState& state = impl_->state;
  AdvanceTime(state, now);
  const auto it = state.requests.find(id);
  if (it == state.requests.end()) return;
  RequestState& request = it->second;
  if (request.stage == RequestState::Stage::kReady ||
      request.stage == RequestState::Stage::kRunning) {
    return;
  }
  Dequeue(state, request);
  request.claimed = true;
  Enqueue(state, request, RequestState::Stage::kReady);
}

std::vector<Placement> PoolScheduler::Dispatch(const std::function<int(const TeamId&)>& cap,
                                               Micros now) {
  AdvanceTime(impl_->state, now);
  return StartRequests(impl_->state, cap);
}

std::vector<Refusal> PoolScheduler::Expire(Micros now) {
  SchedulerState& state = impl_->state;
  AdvanceTime(state, now);
  std::vector<Refusal> refusals = std::exchange(state.displaced, {});
  for (QueueState& queue : state.queues) {
    if (queue.deadlines.empty()) continue;
    const Micros bound = now + ShortRunTime(queue.usage);
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= bound) {
      const auto it = state.requests.find(queue.deadlines.begin()->second);
      refusals.push_back(ExpiryRefusal(state, it->second));
      Dequeue(state, it->second);
      state.requests.erase(it);
    }
  }
  return refusals;
}

std::vector<TaskOrder> PoolScheduler::TakeOrders(Micros now) {
  AdvanceTime(impl_->state, now);
  return MakeOrders(impl_->state);
}

FinishResult PoolScheduler::Finish(RequestId id, TaskEnd end, Micros now) {
  AdvanceTime(impl_->state, now);
  return EndRequest(impl_->state, id, end);
}

bool PoolScheduler::Cancel(RequestId id) {
  SchedulerState& state = impl_->state;
  const auto it = state.requests.find(id);
  if (it == state.requests.end() || it->second.stage == RequestState::Stage::kRunning) return false;
  Dequeue(state, it->second);
  state.requests.erase(it);
  return true;
}

std::vector<RequestId> PoolScheduler::ReleaseQueued() {
  SchedulerState& state = impl_->state;
  std::vector<RequestId> ids;
  for (auto& [id, request] : state.requests) {
    if (request.stage == RequestState::Stage::kRunning) continue;
    ids.push_back(id);
    Dequeue(state, request);
  }
  for (const RequestId id : ids) state.requests.erase(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

int PoolScheduler::RunningOf(const TeamId& team) const {
  const auto it = impl_->state.team_ids.find(team);
  return it == impl_->state.team_ids.end() ? 0 : impl_->state.teams[it->second].running;
}

int PoolScheduler::QueuedOf(const TeamId& team) const {
  const auto it = impl_->state.team_ids.find(team);
  return it == impl_->state.team_ids.end() ? 0 : impl_->state.teams[it->second].queued;
}

int PoolScheduler::running() const { return impl_->state.running; }
int PoolScheduler::queued() const { return impl_->state.queued; }
int PoolScheduler::ready_slots() const { return impl_->state.servers.ready_slots; }
double PoolScheduler::mean_run_seconds() const { return impl_->state.mean_run_s; }

double PoolScheduler::arrivals_per_second(Micros now) const {
  return DecayedRate(impl_->state.arrivals, now);
}

std::vector<PoolScheduler::VmStatus> PoolScheduler::Vms(Micros now) const {
  std::vector<VmStatus> vms;
  for (const auto& [vm, index] : impl_->state.servers.by_vm) {
    const Server& server = impl_->state.servers.servers[index];
    if (vms.empty() || vms.back().vm != vm) vms.push_back({.vm = vm});
    VmStatus& status = vms.back();
    const bool silent = server.announced_at + kServerSilence <= now;
    status.ready = status.ready || (!silent && server.announcement.state == ServerState::kReady);
    status.running +=
        static_cast<int>(server.own.size() + server.possibly_running.size()) + server.foreign_tasks;
    status.server_incarnation = server.announcement.incarnation;
  }
  return vms;
}

std::optional<std::string> PoolScheduler::FindViolation() const {
  const SchedulerState& state = impl_->state;
  if (state.running < 0 || state.queued < 0 || state.claiming < 0) {
    return "a counter of the pool is negative";
  }
  if (state.violation_checks++ % kRecountIntervalCalls != 0) return std::nullopt;
  return Recount(state);
}

}  // namespace godwitpaddle

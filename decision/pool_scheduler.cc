#include "decision/pool_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/admission.h"
#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

constexpr double kInitialRetryTokens = 64;
// Time constant of the smoothed rate of arrivals.
constexpr double kArrivalHorizonS = 5;
// FindViolation recounts everything once in this many calls.
constexpr int kRecountEvery = 64;

double Decayed(const ArrivalRate& rate, Micros now) {
  const double seconds = static_cast<double>(std::max<Micros>(0, now - rate.updated)) / kSecond;
  return rate.per_second * std::exp(-seconds / kArrivalHorizonS);
}

// Slots of an average server that a task of this size stands for.
double UnitsOf(const SchedulerState& state, const TaskSize& size) {
  if (state.servers.servers.empty()) return 1;
  const Announcement& shape = state.servers.servers.front().last;
  double units = 1;
  if (shape.cores > 0) units = std::max(units, size.cores * shape.slots / shape.cores);
  if (shape.memory_mb > 0) {
    units = std::max(units, static_cast<double>(size.memory_mb) * shape.slots /
                                static_cast<double>(shape.memory_mb));
  }
  return std::min(units, static_cast<double>(std::max(1, shape.slots)));
}

Refusal Expired(const SchedulerState& state, const RequestState& request) {
  const bool passed = request.request.deadline <= state.now;
  return {.id = request.request.id,
          .reason = passed ? RefusalReason::kDeadlinePassed : RefusalReason::kTooLate,
          .message = passed ? "the deadline passed in the queue" : "the deadline cannot be met",
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
    TeamLine& team = state.teams[TeamIndex(state, name)];
    team.weight = config.share;
    team.limit = config.limit;
  }
  for (TeamLine& team : state.teams) {
    if (!state.options.teams.contains(team.name)) team.limit = 0;
    team.cap = std::min(team.cap, team.limit);
  }
  for (const auto& [name, config] : state.options.queues) {
    state.queues[QueueIndex(state, name)].config = config;
  }
  DividePlaces(state);
}

void PoolScheduler::Announce(const Announcement& announcement, Micros now) {
  SchedulerState& state = impl_->state;
  Advance(state, now);
  const AnnouncementEffect effect =
      RecordAnnouncement(state.servers, announcement, state.own_tasks, now);
  for (const ObservedTask& task : effect.observed) ObserveUse(state, effect.server, task);
}

void PoolScheduler::SetBlockedVms(std::set<VmId> vms) {
  BlockVms(impl_->state.servers, std::move(vms), impl_->state.now);
}

std::optional<Refusal> PoolScheduler::Admit(const QueuedRequest& request, Micros now) {
  SchedulerState& state = impl_->state;
  Advance(state, now);
  state.arrivals = {Decayed(state.arrivals, now) + 1 / kArrivalHorizonS, now};
  RequestState entry{.request = request,
                     .team = TeamIndex(state, request.team),
                     .queue = QueueIndex(state, request.queue),
                     .key = MakeOrderKey(request)};
  entry.size = CorrectedSize(state.queues[entry.queue].usage, request.size);
  entry.units = UnitsOf(state, entry.size);
  if (state.requests.contains(request.id)) return std::nullopt;  // a repeat
  if (auto refusal = CheckAdmission(state, entry)) return refusal;
  if (!HasQueuePlace(OccupancyFor(state, entry)) && !DisplaceOne(state)) {
    return Refusal{.id = request.id,
                   .reason = RefusalReason::kQueueFull,
                   .message = "the queue is full",
                   .retry_after = kSecond};
  }
  const auto it = state.requests.emplace(request.id, std::move(entry)).first;
  Enqueue(state, it->second,
          request.idempotent ? RequestState::Stage::kReady : RequestState::Stage::kHeld);
  return std::nullopt;
}

std::vector<RequestId> PoolScheduler::TakeHeld(Micros now) {
  Advance(impl_->state, now);
  return OfferHeld(impl_->state);
}

void PoolScheduler::Unhold(RequestId id, Micros now) {
  SchedulerState& state = impl_->state;
  Advance(state, now);
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
  Advance(impl_->state, now);
  return StartRequests(impl_->state, cap);
}

std::vector<Refusal> PoolScheduler::Expire(Micros now) {
  SchedulerState& state = impl_->state;
  Advance(state, now);
  std::vector<Refusal> refusals = std::exchange(state.displaced, {});
  for (QueueLine& queue : state.queues) {
    if (queue.deadlines.empty()) continue;
    const Micros bound = now + ShortRun(queue.usage);
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= bound) {
      const auto it = state.requests.find(queue.deadlines.begin()->second);
      refusals.push_back(Expired(state, it->second));
      Dequeue(state, it->second);
      state.requests.erase(it);
    }
  }
  return refusals;
}

std::vector<TaskOrder> PoolScheduler::TakeOrders(Micros now) {
  Advance(impl_->state, now);
  return MakeOrders(impl_->state);
}

AfterEnd PoolScheduler::Finish(RequestId id, TaskEnd end, Micros now) {
  Advance(impl_->state, now);
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
  return Decayed(impl_->state.arrivals, now);
}

std::vector<PoolScheduler::VmStatus> PoolScheduler::Vms(Micros now) const {
  std::vector<VmStatus> vms;
  for (const auto& [vm, index] : impl_->state.servers.by_vm) {
    const Server& server = impl_->state.servers.servers[index];
    if (vms.empty() || vms.back().vm != vm) vms.push_back({.vm = vm});
    VmStatus& status = vms.back();
    const bool silent = server.announced + kServerSilence <= now;
    status.ready = status.ready || (!silent && server.last.state == ServerState::kReady);
    status.running += static_cast<int>(server.own.size() + server.broken.size()) + server.foreign;
    status.server_incarnation = server.last.incarnation;
  }
  return vms;
}

std::optional<std::string> PoolScheduler::FindViolation() const {
  const SchedulerState& state = impl_->state;
  if (state.running < 0 || state.queued < 0 || state.offered < 0) {
    return "negative counter of the pool";
  }
  if (state.violation_checks++ % kRecountEvery != 0) return std::nullopt;
  return Recount(state);
}

}  // namespace godwitpaddle

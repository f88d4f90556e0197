#include "decision/admission.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace godwitpaddle {
namespace {

// The retry advice stays within these bounds.
constexpr Micros kShortestRetry = kSecond;
constexpr Micros kLongestRetry = 30 * kSecond;

Refusal Refuse(const RequestState& request, RefusalReason reason, std::string message,
               Micros retry_after = 0) {
  if (retry_after > 0) retry_after = std::clamp(retry_after, kShortestRetry, kLongestRetry);
  return {.id = request.request.id,
          .reason = reason,
          .message = std::move(message),
          .retry_after = retry_after};
}

bool CanEverFit(const SchedulerState& state, const TaskSize& size) {
  const auto& shapes = state.options.shapes;
  if (shapes.empty() && state.servers.servers.empty()) return true;
  return AnyShapeHolds(state.servers, size) ||
         std::any_of(shapes.begin(), shapes.end(), [&size](const VmConfig& vm) {
           return ShapeHolds(vm.cores, vm.memory_mb, vm.accelerators, size);
         });
}

std::string Describe(const TaskSize& size) {
  std::ostringstream out;
  out << "no server of the pool is large enough for " << size.cores << " cores, " << size.memory_mb
      << " MB and " << size.accelerators << " accelerators";
  return out.str();
}

}  // namespace

bool HasQueueRoom(const QueueRoom& room) {
  if (room.bound <= 0) return false;
  if (room.team_queued < room.guaranteed) return true;
  const int lendable = room.bound / 2;
  return room.lent < lendable && room.lent_to_team < (lendable + 1) / 2;
}

Micros EstimatedWait(const SchedulerState& state, const TeamLine& team, const OrderKey& key) {
  const int free = state.servers.index.free_slots;
  const double work = WorkAhead(team, key);
  double weights = team.weight;
  double used = 0;
  for (const TeamLine& other : state.teams) {
    used += other.units;
    if (&other != &team && (other.queued > 0 || other.units > 0)) weights += other.weight;
  }
  if (free > state.queued) return 0;
  const double part = weights > 0 ? (used + free) * team.weight / weights : 0;
  const double slots = std::max({part, team.entitled, 0.1});
  return static_cast<Micros>(work / slots * kSecond);
}

std::optional<Refusal> CheckAdmission(const SchedulerState& state, const RequestState& request) {
  const TeamLine& team = state.teams[request.team];
  if (team.limit <= 0) {
    return Refuse(request, RefusalReason::kOverLimit, "the team's limit is 0");
  }
  if (!CanEverFit(state, request.request.size)) {
    return Refuse(request, RefusalReason::kInfeasible, Describe(request.request.size));
  }
  if (request.request.deadline <= state.now) {
    return Refuse(request, RefusalReason::kDeadlinePassed, "the deadline has passed");
  }
  if (state.now - state.no_capacity_since > kServerSilence) {
    return Refuse(request, RefusalReason::kNoCapacity, "no server of the pool is ready",
                  kServerSilence);
  }
  const QueueRoom room{.bound = state.options.config.max_queue,
                       .guaranteed = team.guaranteed,
                       .team_queued = team.queued,
                       .lent = state.lent_places,
                       .lent_to_team = std::max(0, team.queued - team.guaranteed)};
  const Micros wait = EstimatedWait(state, team, request.key);
  if (!HasQueueRoom(room)) {
    return Refuse(request, RefusalReason::kQueueFull, "the team's part of the queue is full",
                  std::max<Micros>(wait, kShortestRetry));
  }
  const Micros shortest = ShortRun(state.queues[request.queue].usage);
  if (state.now + wait + shortest > request.request.deadline) {
    return Refuse(request, RefusalReason::kTooLate, "the expected wait exceeds the deadline",
                  std::max<Micros>(wait, kShortestRetry));
  }
  return std::nullopt;
}

}  // namespace godwitpaddle

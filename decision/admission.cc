#include "decision/admission.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace godwitpaddle {
namespace {

// Bounds of the delay after which a refused client is advised to retry.
constexpr Micros kMinRetryDelay = kSecond;
constexpr Micros kMaxRetryDelay = 30 * kSecond;

Refusal Refuse(const RequestState& request, RefusalReason reason, std::string message,
               Micros retry_after = 0) {
  if (retry_after > 0) retry_after = std::clamp(retry_after, kMinRetryDelay, kMaxRetryDelay);
  return {.id = request.request.id,
          .reason = reason,
          .message = std::move(message),
          .retry_after = retry_after};
}

bool CanEverFit(const SchedulerState& state, const TaskSize& size) {
  const auto& shapes = state.options.configured_vms;
  if (shapes.empty() && state.servers.servers.empty()) return true;
  return FitsAnyServer(state.servers, size) ||
         std::any_of(shapes.begin(), shapes.end(), [&size](const VmConfig& vm) {
           return FitsShape(vm.cores, vm.memory_mb, vm.accelerators, size);
         });
}

std::string TooLargeMessage(const TaskSize& size) {
  std::ostringstream out;
  out << "no server of the pool is large enough for " << size.cores << " cores, " << size.memory_mb
      << " MB and " << size.accelerators << " accelerators";
  return out.str();
}

}  // namespace

bool HasQueuePlace(const QueueOccupancy& occupancy) {
  if (occupancy.queued >= occupancy.max_queue) return false;
  if (occupancy.team_queued < occupancy.guaranteed) return true;
  const double borrowable = kBorrowableFraction * occupancy.max_queue;
  return occupancy.borrowed < borrowable &&
         occupancy.team_borrowed < kMaxTeamBorrowFraction * borrowable;
}

bool CanDisplace(const QueueOccupancy& occupancy) {
  return occupancy.is_urgent && occupancy.urgent_queued < occupancy.urgent_places;
}

QueueOccupancy OccupancyFor(const SchedulerState& state, const RequestState& request) {
  const TeamState& team = state.teams[request.team];
  return {.max_queue = state.options.config.max_queue,
          .queued = state.queued,
          .is_urgent = request.request.priority == Priority::kUrgent,
          .urgent_places = team.urgent_places,
          .urgent_queued = team.urgent_queued,
          .guaranteed = team.guaranteed_places,
          .team_queued = team.queued,
          .borrowed = state.borrowed_places,
          .team_borrowed = std::max(0, team.queued - team.guaranteed_places)};
}

bool DisplaceOne(SchedulerState& state) {
  const TeamState* largest_borrower = nullptr;
  for (const TeamState& team : state.teams) {
    if (team.queued <= team.guaranteed_places) continue;
    if (largest_borrower == nullptr ||
        team.queued - team.guaranteed_places >
            largest_borrower->queued - largest_borrower->guaranteed_places) {
      largest_borrower = &team;
    }
  }
  if (largest_borrower == nullptr) return false;
  constexpr auto kNormal = static_cast<std::size_t>(Priority::kNormal);
  for (const OrderedRequests* requests :
       {&largest_borrower->unclaimed[kNormal], &largest_borrower->ready[kNormal]}) {
    if (requests->empty()) continue;
    const auto victim = state.requests.find(requests->rbegin()->id);
    // A request is not displaced once its claim was confirmed (ConfirmClaim) or one of its attempts
    // was started.
    if (victim->second.starts > 0 || victim->second.claimed) continue;
    state.displaced.push_back(Refuse(victim->second, RefusalReason::kQueueFull,
                                     "an urgent request displaced this one from the full queue",
                                     kMinRetryDelay));
    Dequeue(state, victim->second);
    state.requests.erase(victim);
    return true;
  }
  return false;
}

Micros EstimatedWait(const SchedulerState& state, const RequestState& request) {
  const TeamState& team = state.teams[request.team];
  const int free = state.servers.index.free_slots;
  if (free > state.queued) return 0;
  double weights = team.share.weight;
  double used = 0;
  for (const TeamState& other : state.teams) {
    used += other.share.used;
    const bool competes = &other != &team && (other.queued > 0 || other.share.used > 0);
    if (competes) weights += other.share.weight;
  }
  // Urgent requests take the first slots that become free in the whole pool.
  const bool urgent = request.request.priority == Priority::kUrgent &&
                      UrgentQuota(team, LagHorizon(state.mean_run_s)) >= 1;
  const double fair_slots =
      urgent ? used + free : (weights > 0 ? (used + free) * team.share.weight / weights : 0);
  const double slots = std::max({fair_slots, team.share.entitled, 0.1});
  const double work = WorkAhead(team, request.request.priority, request.key);
  return static_cast<Micros>(work / slots * kSecond);
}

std::optional<Refusal> CheckAdmission(const SchedulerState& state, const RequestState& request) {
  const TeamState& team = state.teams[request.team];
  if (team.limit <= 0) {
    return Refuse(request, RefusalReason::kOverLimit, "the team's limit on running requests is 0");
  }
  if (!CanEverFit(state, request.request.size)) {
    return Refuse(request, RefusalReason::kInfeasible, TooLargeMessage(request.request.size));
  }
  if (request.request.deadline <= state.now) {
    return Refuse(request, RefusalReason::kDeadlinePassed, "the deadline has passed");
  }
  if (state.now - state.no_capacity_since > kServerSilence) {
    return Refuse(request, RefusalReason::kNoCapacity, "no server of the pool is ready",
                  kServerSilence);
  }
  const QueueOccupancy occupancy = OccupancyFor(state, request);
  const Micros wait = EstimatedWait(state, request);
  if (!HasQueuePlace(occupancy) && !CanDisplace(occupancy)) {
    return Refuse(request, RefusalReason::kQueueFull, "the team has no place left in the queue",
                  std::max<Micros>(wait, kMinRetryDelay));
  }
  const Micros shortest = ShortRunTime(state.queues[request.queue].usage);
  if (state.now + wait + shortest > request.request.deadline) {
    return Refuse(request, RefusalReason::kTooLate,
                  "the request cannot finish before its deadline after the expected wait",
                  std::max<Micros>(wait, kMinRetryDelay));
  }
  return std::nullopt;
}

}  // namespace godwitpaddle

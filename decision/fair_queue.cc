#include "decision/fair_queue.h"

#include <algorithm>

namespace godwitpaddle {
namespace {

// Bounds the lag to this many horizons of the team's entitled slots, so that a team whose requests
// could not run because no server fits them does not displace the others for long afterwards.
constexpr double kMaxLagHorizons = 4.0;
// Urgent requests may raise a team's usage to kUrgentShareFactor times its entitled slots plus
// kUrgentExtraSlots. A negative lag lowers this bound, so that the excess is temporary.
constexpr double kUrgentShareFactor = 1.25;
constexpr double kUrgentExtraSlots = 2;

double WantedSlots(const TeamState& team) {
  const int more = std::min(team.queued, std::max(0, team.cap - team.running));
  return team.slots_used + more;
}

}  // namespace

OrderKey MakeOrderKey(const QueuedRequest& request) {
  return {std::min(request.deadline, request.arrived + kAgingBound), request.id};
}

void AddWork(TeamState& team, Priority priority, const OrderKey& key, double slot_seconds) {
  auto& by_second = team.queued_work[static_cast<std::size_t>(priority)];
  const std::int64_t second = key.due / kSecond;
  double& work = by_second[second];
  work += slot_seconds;
  // Drops the tiny remainders that rounding leaves.
  if (work < 1e-9) by_second.erase(second);
}

double WorkAhead(const TeamState& team, Priority priority, const OrderKey& key) {
  double sum = 0;
  const auto add = [&](Priority of, bool all) {
    for (const auto& [second, work] : team.queued_work[static_cast<std::size_t>(of)]) {
      if (!all && second > key.due / kSecond) break;
      sum += work;
    }
  };
  add(Priority::kUrgent, priority == Priority::kNormal);
  if (priority == Priority::kNormal) add(Priority::kNormal, false);
  return sum;
}

double UrgentQuota(const TeamState& team, double horizon_s) {
  // The team may always use half of its entitled slots, and at least one slot, for urgent requests:
  // these are too few to fill the pool.
  const double unconditional = std::max(1.0, team.entitled_slots / 2) - team.urgent_running;
  if (unconditional >= 1) return unconditional;
  const double overuse = std::min(0.0, team.lag / horizon_s);
  return kUrgentShareFactor * team.entitled_slots + kUrgentExtraSlots + overuse - team.slots_used;
}

void DivideCapacity(std::vector<TeamState>& teams, double capacity) {
  std::vector<TeamState*> unsatisfied;
  double weights = 0;
  for (TeamState& team : teams) {
    team.entitled_slots = 0;
    if (team.queued == 0 && team.slots_used <= 0) continue;
    unsatisfied.push_back(&team);
    weights += team.weight;
  }
  while (!unsatisfied.empty() && weights > 0) {
    const double per_weight = std::max(0.0, capacity) / weights;
    const auto satisfied = std::stable_partition(
        unsatisfied.begin(), unsatisfied.end(),
        [per_weight](TeamState* t) { return WantedSlots(*t) > per_weight * t->weight; });
    if (satisfied == unsatisfied.end()) {
      for (TeamState* team : unsatisfied) team->entitled_slots = per_weight * team->weight;
      return;
    }
    for (auto it = satisfied; it != unsatisfied.end(); ++it) {
      (*it)->entitled_slots = WantedSlots(**it);
      capacity -= (*it)->entitled_slots;
      weights -= (*it)->weight;
    }
    unsatisfied.erase(satisfied, unsatisfied.end());
  }
}

void AccrueLag(std::vector<TeamState>& teams, Micros elapsed, double horizon_s) {
  const double seconds = static_cast<double>(elapsed) / kSecond;
  for (TeamState& team : teams) {
    if (team.HasQueued()) {
      const double bound = kMaxLagHorizons * horizon_s * std::max(1.0, team.entitled_slots);
      team.lag =
          std::clamp(team.lag + (team.entitled_slots - team.slots_used) * seconds, -bound, bound);
    } else if (team.lag != 0) {
      team.lag *= std::max(0.0, 1 - seconds / horizon_s);
    }
  }
}

double LagHorizon(double mean_run_s) { return std::clamp(mean_run_s, 0.5, 30.0); }

double Shortfall(const TeamState& team, double horizon_s) {
  return team.entitled_slots - team.slots_used + team.lag / horizon_s;
}

}  // namespace godwitpaddle

#include "decision/fair_queue.h"

#include <algorithm>

namespace godwitpaddle {
namespace {

// Bound of the lag in horizons of the team's own entitled slots, so that a team that was kept from
// running (no server fits) does not push out the others for long.
constexpr double kMaxLagHorizons = 4.0;
// Urgent requests may take a team to this multiple of its entitled slots plus these slots. The
// lag lowers the bound, so that the excess does not last.
constexpr double kUrgentExcess = 1.25;
constexpr double kUrgentSlots = 2;

double WantedSlots(const TeamLine& team) {
  const int more = std::min(team.queued, std::max(0, team.cap - team.running));
  return team.units + more;
}

}  // namespace

OrderKey MakeOrderKey(const QueuedRequest& request) {
  return {std::min(request.deadline, request.arrived + kAgingBound), request.id};
}

void AddWork(TeamLine& team, Priority priority, const OrderKey& key, double slot_seconds) {
  auto& by_second = team.work[static_cast<std::size_t>(priority)];
  const std::int64_t second = key.due / kSecond;
  double& work = by_second[second];
  work += slot_seconds;
  // Rounding leaves tiny remainders.
  if (work < 1e-9) by_second.erase(second);
}

double WorkAhead(const TeamLine& team, Priority priority, const OrderKey& key) {
  double sum = 0;
  const auto add = [&](Priority of, bool all) {
    for (const auto& [second, work] : team.work[static_cast<std::size_t>(of)]) {
      if (!all && second > key.due / kSecond) break;
      sum += work;
    }
  };
  add(Priority::kUrgent, priority == Priority::kNormal);
  if (priority == Priority::kNormal) add(Priority::kNormal, false);
  return sum;
}

double UrgentRoom(const TeamLine& team, double horizon_s) {
  // A team with few urgent requests running cannot be flooding the pool with them.
  const double few = std::max(1.0, team.entitled / 2) - team.urgent_running;
  if (few >= 1) return few;
  const double owed = std::min(0.0, team.lag / horizon_s);
  return kUrgentExcess * team.entitled + kUrgentSlots + owed - team.units;
}

void DivideCapacity(std::vector<TeamLine>& teams, double capacity) {
  std::vector<TeamLine*> open;
  double weights = 0;
  for (TeamLine& team : teams) {
    team.entitled = 0;
    if (team.queued == 0 && team.units <= 0) continue;
    open.push_back(&team);
    weights += team.weight;
  }
  while (!open.empty() && weights > 0) {
    const double per_weight = std::max(0.0, capacity) / weights;
    const auto satisfied = std::stable_partition(
        open.begin(), open.end(),
        [per_weight](TeamLine* t) { return WantedSlots(*t) > per_weight * t->weight; });
    if (satisfied == open.end()) {
      for (TeamLine* team : open) team->entitled = per_weight * team->weight;
      return;
    }
    for (auto it = satisfied; it != open.end(); ++it) {
      (*it)->entitled = WantedSlots(**it);
      capacity -= (*it)->entitled;
      weights -= (*it)->weight;
    }
    open.erase(satisfied, open.end());
  }
}

void AccrueLag(std::vector<TeamLine>& teams, Micros elapsed, double horizon_s) {
  const double seconds = static_cast<double>(elapsed) / kSecond;
  for (TeamLine& team : teams) {
    if (team.Waiting()) {
      const double bound = kMaxLagHorizons * horizon_s * std::max(1.0, team.entitled);
      team.lag = std::clamp(team.lag + (team.entitled - team.units) * seconds, -bound, bound);
    } else if (team.lag != 0) {
      team.lag *= std::max(0.0, 1 - seconds / horizon_s);
    }
  }
}

double LagHorizon(double mean_run_s) { return std::clamp(mean_run_s, 0.5, 30.0); }

double Shortfall(const TeamLine& team, double horizon_s) {
  return team.entitled - team.units + team.lag / horizon_s;
}

}  // namespace godwitpaddle

#include "decision/fair_queue.h"

#include <algorithm>

namespace godwitpaddle {
namespace {

// Time within which a deviation is to be made good.
constexpr double kLagHorizonS = 1.0;
// Bound of the lag in seconds of the team's own entitled slots, so that a team that was kept from
// running (no server fits) does not push out the others for long.
constexpr double kMaxLagS = 2.0;

double WantedSlots(const TeamLine& team) {
  const int more = std::min(team.queued, std::max(0, team.cap - team.running));
  return team.units + more;
}

}  // namespace

OrderKey MakeOrderKey(const QueuedRequest& request) {
  return {std::min(request.deadline, request.arrived + kAgingBound), request.id};
}

void AddWork(TeamLine& team, const OrderKey& key, double slot_seconds) {
  const std::int64_t second = key.due / kSecond;
  double& work = team.work[second];
  work += slot_seconds;
  // Rounding leaves tiny remainders.
  if (work < 1e-9) team.work.erase(second);
}

double WorkAhead(const TeamLine& team, const OrderKey& key) {
  double sum = 0;
  for (const auto& [second, work] : team.work) {
    if (second > key.due / kSecond) break;
    sum += work;
  }
  return sum;
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

void AccrueLag(std::vector<TeamLine>& teams, Micros elapsed) {
  const double seconds = static_cast<double>(elapsed) / kSecond;
  for (TeamLine& team : teams) {
    if (team.Waiting()) {
      const double bound = kMaxLagS * std::max(1.0, team.entitled);
      team.lag = std::clamp(team.lag + (team.entitled - team.units) * seconds, -bound, bound);
    } else if (team.lag != 0) {
      team.lag *= std::max(0.0, 1 - seconds / kLagHorizonS);
    }
  }
}

double Shortfall(const TeamLine& team) {
  return team.entitled - team.units + team.lag / kLagHorizonS;
}

}  // namespace godwitpaddle

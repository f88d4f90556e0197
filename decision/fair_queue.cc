#include "decision/fair_queue.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle {
namespace {

// Urgent requests may raise a team's usage to kUrgentShareFactor times its entitled slots plus
// kUrgentExtraSlots. A negative lag lowers this bound, so that the excess is temporary.
constexpr double kUrgentShareFactor = 1.25;
constexpr double kUrgentExtraSlots = 2;

double WantedSlots(const TeamState& team) {
  const int more = std::min(team.queued, std::max(0, team.cap - team.running));
  return team.share.used + more;
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
  const double unconditional = std::max(1.0, team.share.entitled / 2) - team.urgent_running;
  if (unconditional >= 1) return unconditional;
  const double overuse = std::min(0.0, team.share.lag / horizon_s);
  return kUrgentShareFactor * team.share.entitled + kUrgentExtraSlots + overuse - team.share.used;
}

void DivideCapacity(std::vector<TeamState>& teams, double capacity) {
  std::vector<ShareAccount*> accounts;
  for (TeamState& team : teams) {
    team.share.entitled = 0;
    if (team.queued == 0 && team.share.used <= 0) continue;
    team.share.wanted = WantedSlots(team);
    accounts.push_back(&team.share);
  }
  DivideByWeight(std::move(accounts), capacity);
}

void UpdateLags(std::vector<TeamState>& teams, Micros elapsed, double horizon_s) {
  const double seconds = static_cast<double>(elapsed) / kSecond;
  for (TeamState& team : teams) {
    if (team.HasQueued()) {
      AccrueLag(team.share, seconds, horizon_s);
    } else {
      DecayLag(team.share, seconds, horizon_s);
    }
  }
}

}  // namespace godwitpaddle

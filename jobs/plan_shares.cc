#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jobs/plan_walk.h"
#include "jobs/team_shares.h"

// The part of a plan that starts steps by the shares of the teams.
namespace godwitpaddle::jobs::detail {
namespace {

/// The tasks of such loads take about a second.
constexpr double kMeanRunS = 1;
/// Steps of one team that may find no room before the team is passed over for this plan.
constexpr int kMaxMisses = 4;
/// Limit of the steps that one plan examines for the shares of one service.
constexpr int kMaxShareExaminations = 256;
/// Lags are dropped if there was room for all for this long.
constexpr Micros kKeepLags = kSecond;

/// Whether the step's job can be in time, so that a start now is worth most to its client.
bool CanBeInTime(const WaitingKey& key) { return !key.rank.late && !key.rank.expired; }

}  // namespace

std::vector<PlanWalk::TeamTurn> PlanWalk::DivideAmongTeams(const Cursor& of_service) {
  ServiceQueue& queue = *of_service.queue;
  const ServiceRoom& room = RoomOf(*of_service.service);
  const bool several = queue.by_team.size() > (queue.by_team.contains(0) ? 2U : 1U);
  if (!several || room.workers.empty()) return {};
  const Resources& vm = room.workers.front().worker->record.capacity;
  std::vector<TeamDemand> demands;
  Resources others = room.used;  // what jobs without a team use and wait for
  for (const auto& [number, load] : state_.LoadsOf(*of_service.service)) {
    const KnownTeam* team = state_.FindTeam(number);
    if (team == nullptr) {
      others += load.waiting;
      continue;
    }
    const Resources used = load.used + unapplied_.FootprintOf(number, *of_service.service);
    others -= used;
    const auto lag = queue.lags.find(number);
    demands.push_back({.team = number,
                       .weight = team->team.weight,
                       .used = used,
                       .wanted = load.used + load.waiting,
                       .lag = lag == queue.lags.end() ? 0 : lag->second});
  }
  const Micros elapsed = input_.now - queue.lags_at;
  if (elapsed > kKeepLags) queue.lags.clear();
  const double expected = input_.expected_vms ? input_.expected_vms(*of_service.service) : 0;
  const double room_vms = std::max(expected, RoomInVms(room.capacity - others, vm));
  std::vector<TeamShare> shares = DivideService(demands, room_vms, vm);
  if (shares.empty()) return {};
  const double seconds = static_cast<double>(elapsed) / kSecond;
  const double horizon_s = LagHorizon(kMeanRunS);
  std::vector<TeamTurn> turns;
  for (TeamShare& share : shares) {
    if (elapsed > kKeepLags) {
      share.account.lag = 0;
    } else if (queue.by_team.contains(share.team)) {
      AccrueLag(share.account, seconds, horizon_s);
    } else {
      DecayLag(share.account, seconds, horizon_s);
    }
    queue.lags[share.team] = share.account.lag;
    if (queue.by_team.contains(share.team)) turns.push_back({.share = share});
  }
  if (queue.by_team.contains(0)) turns.emplace_back();
  queue.lags_at = input_.now;
  queue.shares = std::move(shares);
  return turns;
}

PlanWalk::TeamTurn* PlanWalk::NextTurn(const ServiceQueue& queue, std::vector<TeamTurn>& turns,
                                       WaitingKey& key) {
  const double horizon_s = LagHorizon(kMeanRunS);
  TeamTurn* best = nullptr;
  for (TeamTurn& turn : turns) {
    const bool beyond = turn.share.crowds && Shortfall(turn.share.account, horizon_s) <= 0;
    if (beyond || turn.misses >= kMaxMisses) continue;
    const auto steps = queue.by_team.find(turn.share.team);
    if (steps == queue.by_team.end()) continue;
    const auto next = turn.last ? steps->second.upper_bound(*turn.last) : steps->second.begin();
    if (next == steps->second.end() || !CanBeInTime(*next)) continue;
    if (best != nullptr && key < *next) continue;
    best = &turn;
    key = *next;
  }
  return best;
}

Resources PlanWalk::ExamineForShare(const Cursor& of_service, const WaitingKey& key) {
  Cursor cursor = of_service;
  cursor.key = key;
  const Resources footprint = cursor.queue->waiting.at(key);
  const std::size_t before = starts_.size();
  Examine(cursor);
  Resources reserved;
  for (std::size_t i = before; i < starts_.size(); ++i) reserved += footprint;
  if (starts_.size() > before) started_.insert(key);
  share_starts_ += starts_.size() - before;
  return reserved;
}

void PlanWalk::StartWithinShares(const Cursor& of_service) {
  const ServiceQueue& queue = *of_service.queue;
  std::vector<TeamTurn> turns = DivideAmongTeams(of_service);
  if (turns.empty()) return;
  const Resources vm = RoomOf(*of_service.service).workers.front().worker->record.capacity;
  for (int i = 0; i < kMaxShareExaminations && starts_.size() < input_.max_starts; ++i) {
    WaitingKey key;
    TeamTurn* turn = NextTurn(queue, turns, key);
    if (turn == nullptr) return;
    turn->last = key;
    const Resources reserved = ExamineForShare(of_service, key);
    if (reserved == Resources()) ++turn->misses;
    turn->share.account.used += InVms(reserved, vm);
  }
}

}  // namespace godwitpaddle::jobs::detail

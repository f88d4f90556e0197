#include <algorithm>

#include "decision/apply_detail.h"

namespace godwitpaddle::detail {
namespace {

int LimitOf(const FleetState& state, const TeamId& team) {
  const auto it = state.config.teams.find(team);
  return it == state.config.teams.end() ? 0 : it->second.limit;
}

/// Returns whether the change may be applied. A reduction takes two changes: the first lowers only
/// `target`; a later one lowers `granted`, but not below the `target` already stored nor below its
/// own `target`. An increase of `granted` must keep the team's sum of `granted` within its limit.
/// Negative values are refused, and so is every change for an incarnation that is unknown or whose
/// lease has expired.
bool IsAllowed(const FleetState& state, const AllotmentChange& change, const Allotment& current) {
  if (change.granted < 0 || change.target < 0) return false;
  const auto node = state.nodes.find(change.incarnation);
  if (node == state.nodes.end() || node->second.lease_expired) return false;
  if (change.granted < current.granted) {
    return change.granted >= current.target && change.target <= change.granted;
  }
  const int raise = change.granted - current.granted;
  return raise == 0 || GrantedSum(state, change.team) + raise <= LimitOf(state, change.team);
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const SetAllotments& body) {
  int skipped = 0;
  for (const AllotmentChange& change : body.changes) {
    Allotment current;
    const auto team = state.allotments.find(change.team);
    if (team != state.allotments.end()) {
      const auto it = team->second.find(change.incarnation);
      if (it != team->second.end()) current = it->second;
    }
    if (!IsAllowed(state, change, current)) {
      ++skipped;
      continue;
    }
    auto& allotments = state.allotments[change.team];
    if (change.target < current.target) current.target_index = ctx.index;
    current.granted = change.granted;
    current.target = change.target;
    allotments[change.incarnation] = current;
    if (current.granted == 0 && current.target == 0) allotments.erase(change.incarnation);
    if (allotments.empty()) state.allotments.erase(change.team);
  }
  UpdateOverLimit(state);
  if (skipped > 0) return {.message = std::to_string(skipped) + " allotment changes were skipped"};
  return {};
}

void UpdateOverLimit(FleetState& state) {
  state.over_limit.clear();
  for (const auto& [team, allotments] : state.allotments) {
    const int sum = GrantedSum(state, team);
    if (sum > LimitOf(state, team)) state.over_limit[team] = sum;
  }
}

}  // namespace godwitpaddle::detail

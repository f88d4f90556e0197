#include <algorithm>

#include "decision/planners.h"

namespace godwitpaddle {
namespace {

/// Time since this leader last granted the node's lease, or since its election if it has not
/// granted one.
Micros TimeSinceGrant(const FleetView& view, const Incarnation& incarnation, Micros now) {
  const auto node = view.nodes.find(incarnation);
  const Micros granted = node == view.nodes.end() ? 0 : node->second.last_granted;
  return now - std::max(granted, view.leader_since);
}

}  // namespace

void PlanNodes(const FleetState& state, const FleetView& view, Micros now, Plan& plan) {
  constexpr Micros kGrantTimeout = kNodeLease + kLeaseMargin;
  for (const auto& [incarnation, node] : state.nodes) {
    const Micros since_grant = TimeSinceGrant(view, incarnation, now);
    if (!node.lease_expired && since_grant > kGrantTimeout) {
      plan.commands.emplace_back(NodeLeaseExpired{incarnation});
    } else if (node.lease_expired && since_grant > kGrantTimeout + kTaskLease) {
      plan.commands.emplace_back(NodeRemoved{incarnation});
    }
  }
}

}  // namespace godwitpaddle

#include <algorithm>
#include <cstddef>

#include "decision/apply_detail.h"

namespace godwitpaddle::detail {
namespace {

// Number of removed incarnations that are remembered. A suspended process may resume hours later
// and must be refused; in these hours daemons restart a few hundred times.
constexpr std::size_t kMaxRemoved = 1'024;

bool IsLive(const FleetState& state, const Incarnation& incarnation) {
  const auto node = state.nodes.find(incarnation);
  return node != state.nodes.end() && !node->second.lease_expired;
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext&, const NodeJoined& body) {
  const auto node = state.nodes.find(body.incarnation);
  const bool removed =
      std::find(state.removed_incarnations.begin(), state.removed_incarnations.end(),
                body.incarnation) != state.removed_incarnations.end();
  if (removed || (node != state.nodes.end() && node->second.lease_expired)) {
    return Refuse(ResultCode::kConflict, body.incarnation + ": its lease has expired");
  }
  NodeRecord& record = state.nodes[body.incarnation] = body.record;
  record.lease_expired = false;
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext&, const NodeLeaseExpired& body) {
  const auto node = state.nodes.find(body.incarnation);
  if (node == state.nodes.end()) return Refuse(ResultCode::kNotFound, "unknown incarnation");
  if (node->second.lease_expired) return {};
  node->second.lease_expired = true;
  MarkClaimsUnknown(state, body.incarnation);
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext&, const NodeRemoved& body) {
  const auto node = state.nodes.find(body.incarnation);
  if (node == state.nodes.end()) return Refuse(ResultCode::kNotFound, "unknown incarnation");
  if (!node->second.lease_expired) return Refuse(ResultCode::kConflict, "the lease is still valid");
  state.nodes.erase(node);
  for (auto it = state.allotments.begin(); it != state.allotments.end();) {
    it->second.erase(body.incarnation);
    it = it->second.empty() ? state.allotments.erase(it) : std::next(it);
  }
  state.removed_incarnations.push_back(body.incarnation);
  while (state.removed_incarnations.size() > kMaxRemoved) state.removed_incarnations.pop_front();
  UpdateOverLimit(state);
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ReleasePool& body) {
  const auto owner = state.owners.find(body.pool);
  if (owner == state.owners.end() || owner->second.epoch != body.epoch) {
    return Refuse(ResultCode::kConflict, "the epoch is not the current one");
  }
  if (owner->second.owner.empty()) return {};
  owner->second.released_by = owner->second.owner;
  owner->second.release_index = ctx.index;
  owner->second.owner.clear();
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const AssignPool& body) {
  if (state.config.pools.count(body.pool) == 0) {
    return Refuse(ResultCode::kNotFound, "there is no pool \"" + body.pool + "\"");
  }
  if (!IsLive(state, body.owner)) {
    return Refuse(ResultCode::kConflict, body.owner + " has no valid lease");
  }
  const auto it = state.owners.find(body.pool);
  const PoolOwner current = it == state.owners.end() ? PoolOwner{} : it->second;
  if (body.epoch != current.epoch + 1) {
    return Refuse(ResultCode::kConflict, "the epoch is not the current one plus one");
  }
  if (IsLive(state, current.owner)) {
    return Refuse(ResultCode::kConflict, current.owner + " owns the pool");
  }
  state.owners[body.pool] = {
      .owner = body.owner, .epoch = body.epoch, .assign_index = ctx.index, .assigned = ctx.now};
  return {};
}

void ReconcileOwners(FleetState& state, const ApplyContext& ctx) {
  // The record of a removed pool is kept, since its epoch must not start again at 1 if the pool is
  // added again.
  for (auto& [pool, owner] : state.owners) {
    if (state.config.pools.count(pool) != 0 || owner.owner.empty()) continue;
    owner.released_by = owner.owner;
    owner.release_index = ctx.index;
    owner.owner.clear();
  }
}

}  // namespace godwitpaddle::detail

#include <algorithm>
#include <cstddef>
#include <set>

#include "decision/apply_detail.h"

namespace godwitpaddle::detail {
namespace {

// The clock of a client, which request ids contain, may be this far ahead of the leader's.
constexpr WallMs kMaxClockSkewMs = 60'000;

WallMs RetentionMs(const FleetState& state) { return state.config.fleet.claim_retention_s * 1000; }

/// Removes claims of requests that are too old to be claimed from now on. A request may be created
/// up to kMaxClockSkewMs after its claim, by their clocks, so a claim is kept for that much longer.
void PurgeOldClaims(FleetState& state, WallMs now) {
  state.claims_purged_before = std::max(state.claims_purged_before, now - RetentionMs(state));
  while (!state.claim_order.empty() &&
         state.claim_order.front().first + kMaxClockSkewMs < state.claims_purged_before) {
    state.claims.erase(state.claim_order.front().second);
    state.claim_order.pop_front();
  }
}

std::optional<ApplyResult> CheckBatch(const FleetState& state, const ClaimBatch& body) {
  const auto owner = state.owners.find(body.pool);
  if (owner == state.owners.end() || owner->second.epoch != body.epoch ||
      owner->second.owner != body.owner || body.owner.empty()) {
    return Refuse(ResultCode::kConflict, body.owner + " does not own " + body.pool +
                                             " under epoch " + std::to_string(body.epoch));
  }
  const auto node = state.nodes.find(body.owner);
  if (node == state.nodes.end() || node->second.lease_expired) {
    return Refuse(ResultCode::kConflict, body.owner + ": its lease has expired");
  }
  std::set<std::string> new_keys;
  for (const ClaimRequest& claim : body.claims) {
    std::string key = ClaimKey(claim.queue, claim.request_id);
    if (state.claims.count(key) == 0) new_keys.insert(std::move(key));
  }
  if (state.claims.size() + new_keys.size() >
      static_cast<std::size_t>(state.config.fleet.max_claims)) {
    return Refuse(ResultCode::kFull, "the claim table is full");
  }
  return std::nullopt;
}

struct ClaimOutcome {
  ClaimState state = ClaimState::kNotRun;
  bool claimed = false;
};

ClaimOutcome ClaimOne(FleetState& state, const ApplyContext& ctx, const ClaimBatch& batch,
                      const ClaimRequest& request) {
  const auto queue = state.config.queues.find(request.queue);
  if (queue == state.config.queues.end() || queue->second.pool != batch.pool) return {};
  // A request this old may have run and its claim may have been purged, so whether it ran is
  // unknown.
  if (request.created < state.claims_purged_before) return {.state = ClaimState::kUnknown};
  if (request.created > ctx.now + kMaxClockSkewMs) return {};
  const std::string key = ClaimKey(request.queue, request.request_id);
  const auto [it, added] = state.claims.try_emplace(key);
  Claim& claim = it->second;
  if (!added && claim.state != ClaimState::kNotRun) {
    const bool same_attempt = claim.state == ClaimState::kRunning && claim.owner == batch.owner &&
                              claim.attempt == request.attempt;
    return {.state = claim.state, .claimed = same_attempt};
  }
  if (added) state.claim_order.emplace_back(ctx.now, key);
  claim = {.owner = batch.owner, .attempt = request.attempt, .created = request.created};
  return {.state = ClaimState::kRunning, .claimed = true};
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ClaimBatch& body) {
  PurgeOldClaims(state, ctx.now);
  ApplyResult result;
  if (auto refusal = CheckBatch(state, body)) {
    result = *refusal;
    result.claims.assign(body.claims.size(), ClaimState::kNotRun);
    result.claimed.assign(body.claims.size(), false);
    return result;
  }
  for (const ClaimRequest& request : body.claims) {
    const ClaimOutcome outcome = ClaimOne(state, ctx, body, request);
    result.claims.push_back(outcome.state);
    result.claimed.push_back(outcome.claimed);
  }
  return result;
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ClaimEnds& body) {
  PurgeOldClaims(state, ctx.now);
  for (const ClaimEnd& end : body.ends) {
    const auto it = state.claims.find(ClaimKey(end.queue, end.request_id));
    if (it == state.claims.end() || it->second.attempt != end.attempt) continue;
    if (end.end == ClaimState::kRunning) continue;
    // kUnknown, set when the owner's lease expired, may still be corrected to kDone. Other ends are
    // final.
    const ClaimState current = it->second.state;
    const bool resolves_unknown = current == ClaimState::kUnknown && end.end == ClaimState::kDone;
    if (current == ClaimState::kRunning || resolves_unknown) it->second.state = end.end;
  }
  return {};
}

void MarkClaimsUnknown(FleetState& state, const Incarnation& incarnation) {
  for (auto& [key, claim] : state.claims) {
    if (claim.state == ClaimState::kRunning && claim.owner == incarnation) {
      claim.state = ClaimState::kUnknown;
    }
  }
}

}  // namespace godwitpaddle::detail

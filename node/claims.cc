#include "node/claims.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle {
namespace {

// Allows for several round trips and disk syncs, but is shorter than the election of a new leader.
constexpr Micros kClaimRetry = 400 * kMillisecond;

}  // namespace

void ClaimWriter::Claim(const PoolId& pool, std::uint64_t epoch, ClaimRequest claim) {
  const std::string attempt = claim.attempt;
  claims_[attempt] = {.pool = pool, .epoch = epoch, .claim = std::move(claim)};
  flush_due_ = true;
}

void ClaimWriter::End(ClaimEnd end) {
  const std::string attempt = end.attempt;
  ends_[attempt] = {.end = std::move(end)};
  flush_due_ = true;
}

void ClaimWriter::Flush() {
  if (!flush_due_ && context_.now < next_retry_) return;
  flush_due_ = false;
  next_retry_ = context_.now + kClaimRetry;
  if (context_.leader_address.empty()) return;
  const auto due = [this](Micros proposed) {
    return proposed == 0 || context_.now - proposed >= kClaimRetry;
  };

  std::map<std::pair<PoolId, std::uint64_t>, ClaimBatch> batches;
  for (auto& [attempt, pending] : claims_) {
    if (!due(pending.proposed)) continue;
    pending.proposed = context_.now;
    ClaimBatch& batch = batches[{pending.pool, pending.epoch}];
    batch.pool = pending.pool;
    batch.epoch = pending.epoch;
    batch.owner = context_.incarnation;
    batch.claims.push_back(pending.claim);
  }
  for (auto& [key, batch] : batches) context_.SendToLeader(Propose{.body = std::move(batch)});

  ClaimEnds ends;
  for (auto& [attempt, pending] : ends_) {
    if (!due(pending.proposed)) continue;
    pending.proposed = context_.now;
    ends.ends.push_back(pending.end);
  }
  if (!ends.ends.empty()) context_.SendToLeader(Propose{.body = std::move(ends)});
}

void ClaimWriter::OnApplied(const ClaimBatch& batch) {
  for (const ClaimRequest& claim : batch.claims) claims_.erase(claim.attempt);
}

void ClaimWriter::OnApplied(const ClaimEnds& ends) {
  for (const ClaimEnd& end : ends.ends) ends_.erase(end.attempt);
}

}  // namespace godwitpaddle

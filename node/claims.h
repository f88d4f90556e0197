#ifndef GODWITPADDLE_NODE_CLAIMS_H_
#define GODWITPADDLE_NODE_CLAIMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "node/context.h"

namespace godwitpaddle {

/// Claims and their ends on the way to the log. What is not applied in time is proposed again;
/// Apply makes both idempotent.
class ClaimWriter {
 public:
  explicit ClaimWriter(NodeContext& context) : context_(context) {}

  /// Queues a claim for the next Flush.
  void Claim(const PoolId& pool, std::uint64_t epoch, ClaimRequest claim);
  /// Queues the end of a claim.
  void End(ClaimEnd end);
  /// Proposes what is queued, and again what was not applied within kClaimRetry.
  void Flush();
  /// Forgets what the applied command settles.
  void OnApplied(const ClaimBatch& batch);
  void OnApplied(const ClaimEnds& ends);
  /// True when the end of this attempt's claim is on its way.
  bool EndPending(const std::string& attempt) const { return ends_.contains(attempt); }
  /// Drops the claims that were not applied (change of incarnation). Ends are kept.
  void DropClaims() { claims_.clear(); }
  bool Idle() const { return ends_.empty(); }

 private:
  struct PendingClaim {
    PoolId pool;
    std::uint64_t epoch = 0;
    ClaimRequest claim;
    Micros proposed = 0;  // 0: not yet
  };
  struct PendingEnd {
    ClaimEnd end;
    Micros proposed = 0;
  };

  NodeContext& context_;
  std::map<std::string, PendingClaim> claims_;  // by attempt
  std::map<std::string, PendingEnd> ends_;      // by attempt
  bool flush_due_ = false;
  Micros next_retry_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_CLAIMS_H_

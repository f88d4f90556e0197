#ifndef GODWITPADDLE_NODE_CLAIMS_H_
#define GODWITPADDLE_NODE_CLAIMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "node/context.h"

namespace godwitpaddle {

/// Proposes claims of non-idempotent requests and the ends of these claims, and retries those that
/// are not applied in time. A retry is safe, since applying a claim or an end twice has the effect
/// of applying it once.
class ClaimWriter {
 public:
  explicit ClaimWriter(NodeContext& context) : context_(context) {}

  /// Queues a claim for the next Flush.
  void Claim(const PoolId& pool, std::uint64_t epoch, ClaimRequest claim);
  /// Queues the end of a claim for the next Flush.
  void End(ClaimEnd end);
  /// Proposes the queued claims and ends, and retries those that were not applied within
  /// kClaimRetry.
  void Flush();
  /// Removes the claims or ends that the command has applied.
  void OnApplied(const ClaimBatch& batch);
  void OnApplied(const ClaimEnds& ends);
  /// Returns whether the end of this attempt's claim is queued or proposed, but not yet applied.
  bool EndPending(const std::string& attempt) const { return ends_.contains(attempt); }
  /// Removes the claims that are not yet applied, for a change of incarnation. Ends are kept.
  void DropClaims() { claims_.clear(); }
  /// Returns whether no end of a claim is pending.
  bool Idle() const { return ends_.empty(); }

 private:
  struct PendingClaim {
    PoolId pool;
    std::uint64_t epoch = 0;
    ClaimRequest claim;
    Micros proposed = 0;  // time of the last proposal; 0: none yet
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

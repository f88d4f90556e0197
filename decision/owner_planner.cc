#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "decision/planners.h"

namespace godwitpaddle {
namespace {

// Forced handovers in flight at once. A handover takes a few hundred milliseconds, so this also
// bounds the releases per second.
constexpr int kMaxForcedHandovers = 8;
// A node gets no pools when its last lease grant is older than this. Nodes renew every 300 ms, so
// this allows for one missed renewal and excludes a node that missed two.
constexpr Micros kMaxGrantAge = 700 * kMillisecond;
// A new leader keeps the pools that it owns for this long, until the failure that caused the
// election is over: moving them at once would stop them while the leases of other nodes may still
// be expiring.
constexpr Micros kLeaderGracePeriod = 10 * kSecond;
constexpr int kMaxBalancingHandovers = 1;
// A pool is handed over for balance only when the loads of the two owners differ by at least this
// many times the pool's own load.
constexpr double kMinImbalance = 2.5;
// This many requests per second cost an owner about as much as one more idle pool.
constexpr double kRequestsPerLoadUnit = 50;

/// Live nodes that may own pools, with the load of their pools.
struct Candidates {
  std::map<Incarnation, double> load;  // see LoadOf
  std::map<Incarnation, std::string> region;
};

/// Load that a pool puts on its owner, in units of one idle pool.
double LoadOf(const FleetView& view, const PoolId& pool) {
  const auto use = view.pools.find(pool);
  if (use == view.pools.end()) return 1;
  return 1 + std::max(0.0, use->second.arrivals_per_s) / kRequestsPerLoadUnit;
}

bool IsLive(const FleetState& state, const Incarnation& incarnation) {
  const auto node = state.nodes.find(incarnation);
  return node != state.nodes.end() && !node->second.lease_expired;
}

Candidates FindCandidates(const FleetState& state, const FleetView& view, Micros now) {
  Candidates found;
  std::optional<Incarnation> leader;
  for (const auto& [incarnation, node] : state.nodes) {
    const auto seen = view.nodes.find(incarnation);
    if (node.lease_expired || seen == view.nodes.end() || seen->second.draining) continue;
    // Until a node's first renewal, last_granted holds the time of the leader's election.
    const bool renewed = seen->second.last_granted > view.leader_since;
    if (!renewed || now - seen->second.last_granted > kMaxGrantAge) continue;
    found.region[incarnation] = node.region;
    if (node.node == view.leader_node) {
      leader = incarnation;
    } else {
      found.load[incarnation] = 0;
    }
  }
  if (leader && found.load.size() < 2) found.load[*leader] = 0;
  return found;
}

/// Returns, for each pool, the region that has most of its VMs.
std::map<PoolId, std::string> MajorityRegions(const FleetState& state) {
  std::map<PoolId, std::map<std::string, int>> counts;
  for (const auto& [id, vm] : state.vms) ++counts[vm.pool][vm.region];
  std::map<PoolId, std::string> majority;
  for (const auto& [pool, regions] : counts) {
    majority[pool] =
        std::max_element(regions.begin(), regions.end(), [](const auto& a, const auto& b) {
          return a.second < b.second;
        })->first;
  }
  return majority;
}

/// Returns the least loaded candidate in the region, or of all candidates if the region has none.
std::optional<Incarnation> ChooseOwner(const Candidates& candidates, const std::string& region) {
  std::optional<Incarnation> best;
  bool best_local = false;
  for (const auto& [incarnation, load] : candidates.load) {
    const bool local = candidates.region.at(incarnation) == region;
    const bool better = !best || (local && !best_local) ||
                        (local == best_local && load < candidates.load.at(*best));
    if (better) {
      best = incarnation;
      best_local = local;
    }
  }
  return best;
}

/// Whether the node that released the pool has applied the release, and so returned its requests,
/// or can no longer act because its lease has expired.
bool IsReleaseApplied(const FleetState& state, const FleetView& view, const PoolOwner& owner) {
  if (!IsLive(state, owner.released_by)) return true;
  const auto node = view.nodes.find(owner.released_by);
  return node != view.nodes.end() && node->second.applied_index >= owner.release_index;
}

class OwnerPlan {
 public:
  OwnerPlan(const FleetState& state, const FleetView& view, Micros now, Plan& plan)
      : state_(state),
        view_(view),
        plan_(plan),
        now_(now),
        candidates_(FindCandidates(state, view, now)),
        regions_(MajorityRegions(state)) {}

  void Run() {
    if (candidates_.load.empty()) return;
    CountLoad();
    for (const auto& [pool, config] : state_.config.pools) AssignIfUnowned(pool);
    for (const auto& [pool, config] : state_.config.pools) ReleaseIfMisplaced(pool);
    if (in_flight_ < kMaxBalancingHandovers) Balance();
  }

 private:
  PoolOwner OwnerOf(const PoolId& pool) const {
    const auto it = state_.owners.find(pool);
    return it == state_.owners.end() ? PoolOwner{} : it->second;
  }

  void CountLoad() {
    for (const auto& [pool, config] : state_.config.pools) {
      const PoolOwner owner = OwnerOf(pool);
      const auto load = candidates_.load.find(owner.owner);
      if (load != candidates_.load.end()) load->second += LoadOf(view_, pool);
      if (owner.owner.empty()) ++in_flight_;
    }
  }

  void AssignIfUnowned(const PoolId& pool) {
    const PoolOwner owner = OwnerOf(pool);
    if (IsLive(state_, owner.owner)) return;
    if (owner.owner.empty() && !IsReleaseApplied(state_, view_, owner)) return;
    const auto region = regions_.find(pool);
    const auto chosen = ChooseOwner(candidates_, region == regions_.end() ? "" : region->second);
    candidates_.load[*chosen] += LoadOf(view_, pool);
    plan_.commands.emplace_back(
        AssignPool{.pool = pool, .owner = *chosen, .epoch = owner.epoch + 1});
  }

  void ReleaseIfMisplaced(const PoolId& pool) {
    const PoolOwner owner = OwnerOf(pool);
    if (!IsLive(state_, owner.owner) || candidates_.load.count(owner.owner) != 0) return;
    // An owner without an entry in the view has not renewed since the leader's election.
    const auto seen = view_.nodes.find(owner.owner);
    if (seen == view_.nodes.end() || in_flight_ >= kMaxForcedHandovers) return;
    // The lease of a silent owner expires in any case; a release would have to wait for that as
    // well.
    const bool leader = state_.nodes.at(owner.owner).node == view_.leader_node;
    const bool grace_period_over = now_ - view_.leader_since >= kLeaderGracePeriod;
    if (!seen->second.draining && !(leader && grace_period_over)) return;
    plan_.commands.emplace_back(ReleasePool{.pool = pool, .epoch = owner.epoch});
    ++in_flight_;
  }

  /// Releases one pool whose owner has clearly more load than another candidate of the pool's
  /// region, so that a later plan assigns it to that candidate.
  void Balance() {
    for (const auto& [pool, config] : state_.config.pools) {
      const PoolOwner owner = OwnerOf(pool);
      const auto load = candidates_.load.find(owner.owner);
      if (load == candidates_.load.end()) continue;
      const auto region = regions_.find(pool);
      const auto other = ChooseOwner(candidates_, region == regions_.end() ? "" : region->second);
      const double difference = load->second - candidates_.load.at(*other);
      if (*other == owner.owner || difference < kMinImbalance * LoadOf(view_, pool)) continue;
      plan_.commands.emplace_back(ReleasePool{.pool = pool, .epoch = owner.epoch});
      return;
    }
  }

  const FleetState& state_;
  const FleetView& view_;
  Plan& plan_;
  Micros now_;
  Candidates candidates_;
  std::map<PoolId, std::string> regions_;
  int in_flight_ = 0;
};

}  // namespace

void PlanOwners(const FleetState& state, const FleetView& view, Micros now, Plan& plan) {
  OwnerPlan(state, view, now, plan).Run();
}

}  // namespace godwitpaddle

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "decision/planners.h"

namespace godwitpaddle {
namespace {

// Headroom over a node's demand, so that a small rise needs no new command: one part in
// kHeadroomDivisor of the demand, and at least one request.
constexpr int kHeadroomDivisor = 4;
// While a team has unmet demand, a target is cut only when it exceeds the fair share by more than
// one part in kDeadbandDivisor of the target.
constexpr int kDeadbandDivisor = 8;

/// One incarnation's share of one team's limit.
struct NodeShare {
  const Incarnation* incarnation = nullptr;
  Allotment prior;            // from the replicated state
  bool reported = false;      // live, and has reported to this leader
  std::uint64_t applied = 0;  // applied index of the node's last report
  TeamUsage usage;
  int target = 0;
  int granted = 0;
};

/// Iterates over the teams that one incarnation reported, in order of their names.
struct ReportCursor {
  const Incarnation* incarnation = nullptr;
  bool reported = false;
  std::uint64_t applied = 0;
  std::map<TeamId, TeamUsage>::const_iterator at;
  std::map<TeamId, TeamUsage>::const_iterator end;
};

std::vector<ReportCursor> CursorsOf(const FleetState& state, const FleetView& view) {
  static const std::map<TeamId, TeamUsage> no_teams;
  std::vector<ReportCursor> cursors;
  for (const auto& [incarnation, node] : state.nodes) {
    const auto seen = view.nodes.find(incarnation);
    // A node with applied index 0 has not reported to this leader: its usage is unknown, not zero.
    const bool reported =
        !node.lease_expired && seen != view.nodes.end() && seen->second.applied_index > 0;
    const auto& teams = reported ? seen->second.teams : no_teams;
    cursors.push_back({.incarnation = &incarnation,
                       .reported = reported,
                       .applied = reported ? seen->second.applied_index : 0,
                       .at = teams.begin(),
                       .end = teams.end()});
  }
  return cursors;
}

/// Collects the shares of `team` in `shares`. The cursors only move forward, so the calls must pass
/// teams in order of their names.
void FindShares(const FleetState& state, const TeamId& team, std::vector<ReportCursor>& cursors,
                std::vector<NodeShare>& shares) {
  static const std::map<Incarnation, Allotment> no_allotments;
  const auto found = state.allotments.find(team);
  const auto& allotments = found == state.allotments.end() ? no_allotments : found->second;
  auto allotment = allotments.begin();
  shares.clear();
  for (ReportCursor& cursor : cursors) {
    NodeShare share{
        .incarnation = cursor.incarnation, .reported = cursor.reported, .applied = cursor.applied};
    while (allotment != allotments.end() && allotment->first < *cursor.incarnation) ++allotment;
    if (allotment != allotments.end() && allotment->first == *cursor.incarnation) {
      share.prior = allotment->second;
    }
    while (cursor.at != cursor.end && cursor.at->first < team) ++cursor.at;
    if (cursor.at != cursor.end && cursor.at->first == team) {
      share.usage = cursor.at->second;
      share.usage.wanted = std::max(share.usage.wanted, share.usage.running);
    }
    if (share.prior.granted == 0 && share.prior.target == 0 && share.usage.wanted == 0) continue;
    share.target = share.prior.target;
    share.granted = share.prior.granted;
    shares.push_back(share);
  }
}

/// Divides `amount` among the nodes that have reported, in proportion to their demand and at most
/// up to it. Returns the parts in the order of `shares`; other nodes get 0.
std::vector<int> Divide(const std::vector<NodeShare>& shares, int amount) {
  std::vector<int> parts(shares.size(), 0);
  std::int64_t wanted = 0;
  for (const NodeShare& share : shares) wanted += share.reported ? share.usage.wanted : 0;
  if (wanted <= 0 || amount <= 0) return parts;
  const std::int64_t total = std::min<std::int64_t>(amount, wanted);
  std::int64_t remaining = total;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (!shares[i].reported) continue;
    parts[i] = static_cast<int>(total * shares[i].usage.wanted / wanted);
    remaining -= parts[i];
  }
  // Rounding leaves a remainder: it goes one by one to the node whose demand is met least.
  for (; remaining > 0; --remaining) {
    std::size_t least_served = shares.size();
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (!shares[i].reported || parts[i] >= shares[i].usage.wanted) continue;
      const bool less_served = least_served == shares.size() ||
                               std::int64_t{parts[i]} * shares[least_served].usage.wanted <
                                   std::int64_t{parts[least_served]} * shares[i].usage.wanted;
      if (less_served) least_served = i;
    }
    if (least_served == shares.size()) break;
    ++parts[least_served];
  }
  return parts;
}

/// Plans the allotments of one team.
class TeamPlan {
 public:
  TeamPlan(std::vector<NodeShare>& shares, int limit) : shares_(shares), limit_(limit) {}

  void Run() {
    if (IsBalanced()) return;
    ConfirmCuts();
    CutToLimit();
    if (HasUnmetDemand()) CutToFairShares();
    Raise();
  }

  void AppendChanges(const TeamId& team, std::vector<AllotmentChange>& changes) const {
    // Reductions come first, since each change is checked against the sum of grants at that point.
    for (const bool reductions : {true, false}) {
      for (const NodeShare& share : shares_) {
        if (share.target == share.prior.target && share.granted == share.prior.granted) continue;
        if ((share.granted < share.prior.granted) != reductions) continue;
        changes.push_back({team, *share.incarnation, share.granted, share.target});
      }
    }
  }

 private:
  /// Whether every node's demand is met, no cut awaits confirmation and the limit is kept.
  bool IsBalanced() const {
    return Free() >= 0 && std::all_of(shares_.begin(), shares_.end(), [](const NodeShare& share) {
             return share.granted == share.target &&
                    (!share.reported || share.usage.wanted <= share.target);
           });
  }

  int Free() const {
    int sum = 0;
    for (const NodeShare& share : shares_) sum += share.granted;
    return limit_ - sum;
  }

  /// The part of the limit that can be divided among the nodes that have reported.
  int Divisible() const {
    int amount = limit_;
    for (const NodeShare& share : shares_) {
      if (!share.reported) amount -= share.granted;
    }
    return std::max(amount, 0);
  }

  bool HasUnmetDemand() const {
    int unmet = 0;
    for (const NodeShare& share : shares_) {
      const int usable = std::min(share.granted, share.target);
      if (share.reported) unmet += std::max(0, share.usage.wanted - usable);
    }
    return unmet > std::max(0, Free());
  }

  /// Lowers `granted` to the target of nodes that have applied the target and run no more requests
  /// than it allows.
  void ConfirmCuts() {
    for (NodeShare& share : shares_) {
      const bool applied = share.reported && share.applied >= share.prior.target_index;
      if (share.granted > share.target && applied && share.usage.running <= share.target) {
        share.granted = share.target;
      }
    }
  }

  /// Lowers targets at once when their sum exceeds the limit, whatever the demand: the configured
  /// limit was reduced.
  void CutToLimit() {
    int targets = 0;
    for (const NodeShare& share : shares_) targets += std::min(share.target, share.granted);
    if (targets <= limit_) return;
    const auto parts = Divide(shares_, Divisible());
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      if (shares_[i].reported) shares_[i].target = std::min(shares_[i].target, parts[i]);
    }
  }

  /// Lowers targets that exceed the fair share by more than the deadband. The deadband does not
  /// apply while some node has less than about half of its fair share.
  void CutToFairShares() {
    const std::vector<int> parts = Divide(shares_, Divisible());
    bool starving = false;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      starving |= shares_[i].reported && shares_[i].target < (parts[i] + 1) / 2;
    }
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      NodeShare& share = shares_[i];
      const int deadband = starving ? 0 : std::max(1, share.target / kDeadbandDivisor);
      if (share.reported && share.target - parts[i] > deadband) share.target = parts[i];
    }
  }

  void Raise() {
    const std::vector<int> parts = Divide(shares_, Divisible());
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      NodeShare& share = shares_[i];
      if (!share.reported || share.target < share.prior.target) continue;
      if (share.usage.wanted <= std::min(share.granted, share.target)) continue;
      int desired = share.usage.wanted + std::max(1, share.usage.wanted / kHeadroomDivisor);
      if (HasUnmetDemand()) desired = std::min(desired, parts[i]);
      // The target may rise up to `granted` in any case, and beyond it as far as the limit allows.
      const int target = std::min(desired, share.granted + std::max(0, Free()));
      if (target <= share.target) continue;
      share.target = target;
      share.granted = std::max(share.granted, target);
    }
  }

  std::vector<NodeShare>& shares_;
  int limit_;
};

}  // namespace

void PlanAllotments(const FleetState& state, const FleetView& view, Micros, Plan& plan) {
  std::vector<AllotmentChange> changes;
  std::vector<ReportCursor> cursors = CursorsOf(state, view);
  std::vector<NodeShare> shares;
  const auto add = [&](const TeamId& team, int limit) {
    FindShares(state, team, cursors, shares);
    TeamPlan team_plan(shares, limit);
    team_plan.Run();
    team_plan.AppendChanges(team, changes);
  };
  for (const auto& [team, config] : state.config.teams) add(team, config.limit);
  // Teams that were removed from the configuration return their whole allotment.
  cursors = CursorsOf(state, view);
  for (const auto& [team, held] : state.allotments) {
    if (state.config.teams.count(team) == 0) add(team, 0);
  }
  if (!changes.empty()) plan.commands.emplace_back(SetAllotments{std::move(changes)});
}

}  // namespace godwitpaddle

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "decision/planners.h"

namespace godwitpaddle {
namespace {

// Head room over what a node wants, so that a small rise needs no new command: a quarter more, and
// at least one.
constexpr int kHeadRoomDivisor = 4;
// While a team is short, a target is rewritten only when it is off by more than this part.
constexpr int kDeadBandDivisor = 8;

/// One incarnation's part of one team's limit.
struct Share {
  Incarnation incarnation;
  Allotment held;
  bool known = false;  // live, and has reported to this leader
  std::uint64_t applied = 0;
  TeamUse use;
  int target = 0;
  int granted = 0;
};

std::vector<Share> SharesOf(const FleetState& state, const FleetView& view, const TeamId& team) {
  const auto held = state.allotments.find(team);
  std::vector<Share> shares;
  for (const auto& [incarnation, node] : state.nodes) {
    Share share{.incarnation = incarnation};
    if (held != state.allotments.end()) {
      const auto it = held->second.find(incarnation);
      if (it != held->second.end()) share.held = it->second;
    }
    const auto seen = view.nodes.find(incarnation);
    // A node that applied nothing has not reported: its use is not zero but unknown.
    share.known = !node.lapsed && seen != view.nodes.end() && seen->second.applied_index > 0;
    if (share.known) {
      share.applied = seen->second.applied_index;
      const auto use = seen->second.teams.find(team);
      if (use != seen->second.teams.end()) share.use = use->second;
      share.use.wanted = std::max(share.use.wanted, share.use.running);
    }
    if (share.held.granted == 0 && share.held.target == 0 && share.use.wanted == 0) continue;
    share.target = share.held.target;
    share.granted = share.held.granted;
    shares.push_back(std::move(share));
  }
  return shares;
}

/// Divides `amount` in proportion to what the known nodes want; each that wants something gets at
/// least one while it lasts.
std::map<Incarnation, int> Divide(const std::vector<Share>& shares, int amount) {
  std::int64_t wanted = 0;
  std::map<Incarnation, int> parts;
  for (const Share& share : shares) {
    if (!share.known) continue;
    wanted += share.use.wanted;
    parts[share.incarnation] = 0;
  }
  if (wanted <= 0 || amount <= 0) return parts;
  int left = amount;
  for (const Share& share : shares) {
    if (!share.known) continue;
    const auto part =
        static_cast<int>(std::min<std::int64_t>(amount, wanted) * share.use.wanted / wanted);
    parts[share.incarnation] = part;
    left -= part;
  }
  // The rest goes one by one to those with the least part of what they want.
  while (left > 0) {
    const Share* neediest = nullptr;
    for (const Share& share : shares) {
      if (!share.known || parts[share.incarnation] >= share.use.wanted) continue;
      if (neediest == nullptr ||
          static_cast<std::int64_t>(parts[share.incarnation]) * neediest->use.wanted <
              static_cast<std::int64_t>(parts[neediest->incarnation]) * share.use.wanted) {
        neediest = &share;
      }
    }
    if (neediest == nullptr) break;
    ++parts[neediest->incarnation];
    --left;
  }
  return parts;
}

class TeamPlan {
 public:
  TeamPlan(std::vector<Share> shares, int limit) : shares_(std::move(shares)), limit_(limit) {}

  void Run() {
    ConfirmCuts();
    CutToLimit();
    if (IsShort()) CutForOthers();
    Raise();
  }

  void Emit(const TeamId& team, std::vector<AllotmentChange>& changes) const {
    // Falling sums first: each change is checked against the sum that it finds.
    for (const bool falling : {true, false}) {
      for (const Share& share : shares_) {
        if (share.target == share.held.target && share.granted == share.held.granted) continue;
        if ((share.granted < share.held.granted) != falling) continue;
        changes.push_back({team, share.incarnation, share.granted, share.target});
      }
    }
  }

 private:
  int Free() const {
    int sum = 0;
    for (const Share& share : shares_) sum += share.granted;
    return limit_ - sum;
  }

  /// What can be divided among the nodes that are known.
  int Divisible() const {
    int amount = limit_;
    for (const Share& share : shares_) {
      if (!share.known) amount -= share.granted;
    }
    return std::max(amount, 0);
  }

  bool IsShort() const {
    int lacking = 0;
    for (const Share& share : shares_) {
      if (share.known)
        lacking += std::max(0, share.use.wanted - std::min(share.granted, share.target));
    }
    return lacking > std::max(0, Free());
  }

  void ConfirmCuts() {
    for (Share& share : shares_) {
      const bool applied = share.known && share.applied >= share.held.target_index;
      if (share.granted > share.target && applied && share.use.running <= share.target) {
        share.granted = share.target;
      }
    }
  }

  /// After the configured limit fell: lower targets at once, whatever the nodes want.
  void CutToLimit() {
    int targets = 0;
    for (const Share& share : shares_) targets += std::min(share.target, share.granted);
    if (targets <= limit_) return;
    const auto parts = Divide(shares_, Divisible());
    for (Share& share : shares_) {
      if (share.known) share.target = std::min(share.target, parts.at(share.incarnation));
    }
  }

  void CutForOthers() {
    const auto parts = Divide(shares_, Divisible());
    const bool starving = std::any_of(shares_.begin(), shares_.end(), [&](const Share& share) {
      return share.known && share.target < (parts.at(share.incarnation) + 1) / 2;
    });
    for (Share& share : shares_) {
      if (!share.known) continue;
      const int part = parts.at(share.incarnation);
      const int band = starving ? 0 : std::max(1, share.target / kDeadBandDivisor);
      if (share.target - part > band) share.target = part;
    }
  }

  void Raise() {
    const auto parts = Divide(shares_, Divisible());
    for (Share& share : shares_) {
      if (!share.known || share.target < share.held.target) continue;
      if (share.use.wanted <= std::min(share.granted, share.target)) continue;
      const int head_room = std::max(1, share.use.wanted / kHeadRoomDivisor);
      int wish = share.use.wanted + head_room;
      if (IsShort()) wish = std::min(wish, parts.at(share.incarnation));
      // Up to `granted` the target may rise freely; beyond that, as far as the limit allows.
      const int value = std::min(wish, share.granted + std::max(0, Free()));
      if (value <= share.target) continue;
      share.target = value;
      share.granted = std::max(share.granted, value);
    }
  }

  std::vector<Share> shares_;
  int limit_;
};

}  // namespace

void PlanAllotments(const FleetState& state, const FleetView& view, Micros, Plan& plan) {
  std::vector<AllotmentChange> changes;
  const auto add = [&](const TeamId& team, int limit) {
    TeamPlan team_plan(SharesOf(state, view, team), limit);
    team_plan.Run();
    team_plan.Emit(team, changes);
  };
  for (const auto& [team, config] : state.config.teams) add(team, config.limit);
  for (const auto& [team, held] : state.allotments) {
    if (state.config.teams.count(team) == 0) add(team, 0);
  }
  if (!changes.empty()) plan.commands.emplace_back(SetAllotments{std::move(changes)});
}

}  // namespace godwitpaddle

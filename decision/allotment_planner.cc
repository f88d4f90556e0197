#include <algorithm>
#include <cstddef>
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
  const Incarnation* incarnation = nullptr;
  Allotment held;
  bool known = false;  // live, and has reported to this leader
  std::uint64_t applied = 0;
  TeamUse use;
  int target = 0;
  int granted = 0;
};

/// One incarnation with its reported teams, which are visited in order of their names.
struct Cursor {
  const Incarnation* incarnation = nullptr;
  bool known = false;
  std::uint64_t applied = 0;
  std::map<TeamId, TeamUse>::const_iterator at;
  std::map<TeamId, TeamUse>::const_iterator end;
};

std::vector<Cursor> CursorsOf(const FleetState& state, const FleetView& view) {
  static const std::map<TeamId, TeamUse> no_teams;
  std::vector<Cursor> cursors;
  for (const auto& [incarnation, node] : state.nodes) {
    const auto seen = view.nodes.find(incarnation);
    // A node that applied nothing has not reported: its use is not zero but unknown.
    const bool known =
        !node.lease_expired && seen != view.nodes.end() && seen->second.applied_index > 0;
    const auto& teams = known ? seen->second.teams : no_teams;
    cursors.push_back({.incarnation = &incarnation,
                       .known = known,
                       .applied = known ? seen->second.applied_index : 0,
                       .at = teams.begin(),
                       .end = teams.end()});
  }
  return cursors;
}

/// Shares of the team; teams must be asked for in order of their names.
void FindShares(const FleetState& state, const TeamId& team, std::vector<Cursor>& cursors,
                std::vector<Share>& shares) {
  static const std::map<Incarnation, Allotment> none;
  const auto found = state.allotments.find(team);
  const auto& held = found == state.allotments.end() ? none : found->second;
  auto allotment = held.begin();
  shares.clear();
  for (Cursor& cursor : cursors) {
    Share share{
        .incarnation = cursor.incarnation, .known = cursor.known, .applied = cursor.applied};
    while (allotment != held.end() && allotment->first < *cursor.incarnation) ++allotment;
    if (allotment != held.end() && allotment->first == *cursor.incarnation) {
      share.held = allotment->second;
    }
    while (cursor.at != cursor.end && cursor.at->first < team) ++cursor.at;
    if (cursor.at != cursor.end && cursor.at->first == team) {
      share.use = cursor.at->second;
      share.use.wanted = std::max(share.use.wanted, share.use.running);
    }
    if (share.held.granted == 0 && share.held.target == 0 && share.use.wanted == 0) continue;
    share.target = share.held.target;
    share.granted = share.held.granted;
    shares.push_back(share);
  }
}

/// Divides `amount` in proportion to what the known nodes want; the parts are in the order of the
/// shares.
std::vector<int> Divide(const std::vector<Share>& shares, int amount) {
  std::vector<int> parts(shares.size(), 0);
  std::int64_t wanted = 0;
  for (const Share& share : shares) wanted += share.known ? share.use.wanted : 0;
  if (wanted <= 0 || amount <= 0) return parts;
  const std::int64_t given = std::min<std::int64_t>(amount, wanted);
  std::int64_t left = given;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (!shares[i].known) continue;
    parts[i] = static_cast<int>(given * shares[i].use.wanted / wanted);
    left -= parts[i];
  }
  // The rest goes one by one to those with the least part of what they want.
  for (; left > 0; --left) {
    std::size_t neediest = shares.size();
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (!shares[i].known || parts[i] >= shares[i].use.wanted) continue;
      const bool more =
          neediest == shares.size() || std::int64_t{parts[i]} * shares[neediest].use.wanted <
                                           std::int64_t{parts[neediest]} * shares[i].use.wanted;
      if (more) neediest = i;
    }
    if (neediest == shares.size()) break;
    ++parts[neediest];
  }
  return parts;
}

class TeamPlan {
 public:
  TeamPlan(std::vector<Share>& shares, int limit) : shares_(shares), limit_(limit) {}

  void Run() {
    if (IsSettled()) return;
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
        changes.push_back({team, *share.incarnation, share.granted, share.target});
      }
    }
  }

 private:
  /// Whether every node has what it wants, no cut is under way and the limit is kept.
  bool IsSettled() const {
    return Free() >= 0 && std::all_of(shares_.begin(), shares_.end(), [](const Share& share) {
             return share.granted == share.target &&
                    (!share.known || share.use.wanted <= share.target);
           });
  }

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
      const int most = std::min(share.granted, share.target);
      if (share.known) lacking += std::max(0, share.use.wanted - most);
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
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      if (shares_[i].known) shares_[i].target = std::min(shares_[i].target, parts[i]);
    }
  }

  void CutForOthers() {
    const std::vector<int> parts = Divide(shares_, Divisible());
    bool starving = false;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      starving |= shares_[i].known && shares_[i].target < (parts[i] + 1) / 2;
    }
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      Share& share = shares_[i];
      const int band = starving ? 0 : std::max(1, share.target / kDeadBandDivisor);
      if (share.known && share.target - parts[i] > band) share.target = parts[i];
    }
  }

  void Raise() {
    const std::vector<int> parts = Divide(shares_, Divisible());
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      Share& share = shares_[i];
      if (!share.known || share.target < share.held.target) continue;
      if (share.use.wanted <= std::min(share.granted, share.target)) continue;
      int wish = share.use.wanted + std::max(1, share.use.wanted / kHeadRoomDivisor);
      if (IsShort()) wish = std::min(wish, parts[i]);
      // Up to `granted` the target may rise freely; beyond that, as far as the limit allows.
      const int value = std::min(wish, share.granted + std::max(0, Free()));
      if (value <= share.target) continue;
      share.target = value;
      share.granted = std::max(share.granted, value);
    }
  }

  std::vector<Share>& shares_;
  int limit_;
};

}  // namespace

void PlanAllotments(const FleetState& state, const FleetView& view, Micros, Plan& plan) {
  std::vector<AllotmentChange> changes;
  std::vector<Cursor> cursors = CursorsOf(state, view);
  std::vector<Share> shares;
  const auto add = [&](const TeamId& team, int limit) {
    FindShares(state, team, cursors, shares);
    TeamPlan team_plan(shares, limit);
    team_plan.Run();
    team_plan.Emit(team, changes);
  };
  for (const auto& [team, config] : state.config.teams) add(team, config.limit);
  // Teams that are gone give everything back.
  cursors = CursorsOf(state, view);
  for (const auto& [team, held] : state.allotments) {
    if (state.config.teams.count(team) == 0) add(team, 0);
  }
  if (!changes.empty()) plan.commands.emplace_back(SetAllotments{std::move(changes)});
}

}  // namespace godwitpaddle

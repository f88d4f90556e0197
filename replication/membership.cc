#include "replication/membership.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace godwitpaddle::replication {
namespace {

std::size_t CountActiveVoters(const Membership& members, const MemberHealth& health) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const auto& entry) {
        return entry.second.role == Role::kVoter && health.active(entry.first);
      }));
}

}  // namespace

std::size_t CountVoters(const Membership& members) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const auto& entry) { return entry.second.role == Role::kVoter; }));
}

std::size_t Quorum(const Membership& members) { return CountVoters(members) / 2 + 1; }

bool IsVoter(const Membership& members, const ReplicaId& id) {
  const auto it = members.find(id);
  return it != members.end() && it->second.role == Role::kVoter;
}

bool HasActiveQuorum(const Membership& members, const MemberHealth& health) {
  return CountActiveVoters(members, health) >= Quorum(members);
}

std::optional<ReplicaId> ChoosePromotion(const Membership& members, const MemberHealth& health) {
  std::map<std::string, int> voters_in_zone;
  for (const auto& [id, member] : members) {
    if (member.role == Role::kVoter) ++voters_in_zone[member.zone];
  }
  std::optional<ReplicaId> best;
  int best_voters = 0;
  for (const auto& [id, member] : members) {
    if (member.role == Role::kVoter || !member.has_disk) continue;
    if (!health.active(id) || !health.caught_up(id)) continue;
    const int voters = voters_in_zone[member.zone];
    if (best && voters >= best_voters) continue;
    best = id;
    best_voters = voters;
  }
  return best;
}

std::optional<Membership> NextMembership(const Membership& members, std::size_t voter_target,
                                         const MemberHealth& health) {
  if (CountVoters(members) < voter_target) {
    const auto id = ChoosePromotion(members, health);
    if (id) {
      Membership next = members;
      next[*id].role = Role::kVoter;
      const bool survives_its_loss = CountActiveVoters(members, health) >= Quorum(next);
      if (survives_its_loss || CountVoters(members) == 1) return next;
    }
  }
  for (const auto& [id, member] : members) {
    if (member.role != Role::kVoter || !health.silent(id)) continue;
    Membership next = members;
    next.erase(id);
    if (ChoosePromotion(next, health) && HasActiveQuorum(next, health)) return next;
  }
  return std::nullopt;
}

Membership WithLearner(const Membership& members, const ReplicaId& id, Member member) {
  Membership next = members;
  std::erase_if(next, [&](const auto& entry) {
    return entry.second.node == member.node && entry.first != id;
  });
  member.role = IsVoter(members, id) ? Role::kVoter : Role::kLearner;
  next[id] = std::move(member);
  return next;
}

}  // namespace godwitpaddle::replication

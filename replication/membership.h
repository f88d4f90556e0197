#ifndef GODWITPADDLE_REPLICATION_MEMBERSHIP_H_
#define GODWITPADDLE_REPLICATION_MEMBERSHIP_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "replication/messages.h"

namespace godwitpaddle::replication {

std::size_t CountVoters(const Membership& members);
/// Returns the number of votes that a majority of the voters needs.
std::size_t Quorum(const Membership& members);
bool IsVoter(const Membership& members, const ReplicaId& id);

/// What the leader knows about the reachability and progress of the members.
struct MemberHealth {
  /// Whether the member acknowledged a recent message.
  std::function<bool(const ReplicaId&)> active;
  /// Whether the member has sent no reply for so long that it is to be replaced.
  std::function<bool(const ReplicaId&)> silent;
  /// Whether the member has nearly all committed entries.
  std::function<bool(const ReplicaId&)> caught_up;
};

/// Returns whether the active voters are a quorum of `members`.
bool HasActiveQuorum(const Membership& members, const MemberHealth& health);

/// Returns the learner to promote: one that is active, caught up and has a disk, in the zone with
/// the fewest voters. Nothing if there is none.
std::optional<ReplicaId> ChoosePromotion(const Membership& members, const MemberHealth& health);

/// Returns the next step towards `voter_target` voters that are all reachable. It differs from
/// `members` by at most one voter, so that the quorums of both memberships overlap. Nothing if no
/// change is due.
///
/// A silent voter is removed before its replacement is promoted. With one of three voters down, the
/// other two are needed before, during and after the removal; after the promotion any two of three
/// suffice. Promoting first would give four voters, of which three are needed, so that the loss of
/// the replacement would stop the group. For the same reason a learner is promoted only if the
/// group keeps a quorum when it loses that learner at once. The second voter is the exception: with
/// two voters, both are needed.
std::optional<Membership> NextMembership(const Membership& members, std::size_t voter_target,
                                         const MemberHealth& health);

/// `members` with the replica `id` added or updated, and without other replicas of its node. The
/// replica is a learner unless `members` has it as a voter.
Membership WithLearner(const Membership& members, const ReplicaId& id, Member member);

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_MEMBERSHIP_H_

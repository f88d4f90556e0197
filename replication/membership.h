#ifndef GODWITPADDLE_REPLICATION_MEMBERSHIP_H_
#define GODWITPADDLE_REPLICATION_MEMBERSHIP_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "replication/messages.h"

namespace godwitpaddle::replication {

std::size_t CountVoters(const Membership& members);
/// Votes needed: more than half of the voters.
std::size_t Quorum(const Membership& members);
bool IsVoter(const Membership& members, const ReplicaId& id);

/// What the leader knows about the members when it looks for a change.
struct MemberHealth {
  std::function<bool(const ReplicaId&)> active;     // heard from lately
  std::function<bool(const ReplicaId&)> silent;     // unheard so long that it is to be replaced
  std::function<bool(const ReplicaId&)> caught_up;  // has nearly all committed entries
};

/// Whether the voters that are active form a quorum of `members`.
bool HasActiveQuorum(const Membership& members, const MemberHealth& health);

/// The learner to promote: active, caught up and with a disk, in a zone with the fewest voters.
std::optional<ReplicaId> ChoosePromotion(const Membership& members, const MemberHealth& health);

/// The next membership on the way to `voter_target` voters that all answer, at most one voter away
/// from `members`; nothing when no change is due.
///
/// A silent voter is removed before its replacement is promoted. Of three voters with one dead, the
/// other two are needed before, during and after the removal, and from the promotion on any two of
/// three suffice. Promoting first makes four voters of which three are needed, so the loss of the
/// replacement itself would stop the group. For the same reason a learner is promoted only if the
/// group goes on when that learner is lost at once; the second voter is the exception.
std::optional<Membership> NextMembership(const Membership& members, std::size_t voter_target,
                                         const MemberHealth& health);

/// `members` with `id` as a learner in place of any other replica of the same node.
Membership WithLearner(const Membership& members, const ReplicaId& id, Member member);

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_MEMBERSHIP_H_

#include <utility>

#include "replication/replica_impl.h"

namespace godwitpaddle::replication {

bool Replica::Impl::CanChangeMembership() const {
  return state == State::kLeader && log.membership_index() <= commit && commit >= term_start;
}

void Replica::Impl::ChangeMembership(const Membership& next) {
  Append(EntryKind::kMembership, Encode(next));
  RefreshProgress();
  for (auto& [id, peer] : progress) {
    if (peer.mode == SendMode::kProbe) SendAppend(id, peer, peer.next - 1);
  }
  SendEntriesToAll();
}

void Replica::Impl::MaintainVoters() {
  if (!CanChangeMembership()) return;
  const auto next =
      NextMembership(log.membership(), static_cast<std::size_t>(options.voter_target), Health());
  if (next) ChangeMembership(*next);
}

MemberHealth Replica::Impl::Health() const {
  const auto peer = [this](const ReplicaId& id) {
    const auto it = progress.find(id);
    return it == progress.end() ? nullptr : &it->second;
  };
  return {.active =
              [this, peer](const ReplicaId& id) {
                const Progress* p = peer(id);
                return IsSelf(id) ||
                       (p != nullptr && now - p->acked_send_time <= 2 * options.heartbeat);
              },
          .silent =
              [this, peer](const ReplicaId& id) {
                const Progress* p = peer(id);
                return p != nullptr && now - p->last_contact >= options.replace_silent_voter_after;
              },
          .caught_up =
              [this, peer](const ReplicaId& id) {
                const Progress* p = peer(id);
                return p != nullptr && p->match > 0 && p->match + kCaughtUpEntries >= commit;
              }};
}

bool Replica::Impl::AddLearner(const ReplicaId& id, const Member& member) {
  if (state != State::kLeader || IsSelf(id)) return false;
  const Membership& members = log.membership();
  const Membership next = WithLearner(members, id, member);
  const auto same = [](const Member& a, const Member& b) {
    return a.node == b.node && a.zone == b.zone && a.address == b.address &&
           a.has_disk == b.has_disk;
  };
  const auto known = members.find(id);
  if (known != members.end() && members.size() == next.size() && same(known->second, member)) {
    return true;
  }
  // Refuses a replica that would replace this leader as the replica of its node: without the leader
  // the change could not be completed.
  if (!next.contains(options.id) && members.contains(options.id)) return false;
  if (!CanChangeMembership()) return false;
  if (CountVoters(next) < CountVoters(members) && !HasActiveQuorum(next, Health())) return false;
  ChangeMembership(next);
  return true;
}

bool Replica::Impl::Remove(const ReplicaId& id) {
  if (state != State::kLeader) return false;
  Membership next = log.membership();
  if (next.erase(id) == 0) return true;
  if (CountVoters(next) == 0 || !CanChangeMembership()) return false;
  if (IsVoter(log.membership(), id) && !HasActiveQuorum(next, Health())) return false;
  ChangeMembership(next);
  return true;
}

}  // namespace godwitpaddle::replication

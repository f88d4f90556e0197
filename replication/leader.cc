#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <functional>

#include "replication/replica_impl.h"

namespace godwitpaddle::replication {
namespace {

/// Members of a group up to which a list of their values needs no memory of its own.
constexpr std::size_t kUsualMembers = 9;

}  // namespace

void Replica::Impl::TickLeader() {
  // Without a quorum the leader steps down (check-quorum). This timeout is longer than the lease,
  // so that the lease has already expired when the leader steps down.
  const Micros acked = std::max(QuorumAckedSendTime(now), elected_at);
  if (now - acked >= options.election_max) return BecomeFollower(term, std::nullopt);
  if (now < heartbeat_at) return;
  heartbeat_at = now + options.heartbeat;
  for (auto& [id, peer] : progress) Heartbeat(id, peer);
  MaintainVoters();
}

void Replica::Impl::Heartbeat(const ReplicaId& id, Progress& peer) {
  if (peer.mode == SendMode::kSnapshot) {
    Send(id, peer.address,
         AppendRequest{.term = term,
                       .sent = now,
                       .address = peer.match == 0 ? options.self.address : std::string()});
    // Resends the chunks after the last acknowledged one if the transfer made no progress for a
    // heartbeat interval.
    const bool stuck = now - peer.snapshot_updated_at >= options.heartbeat;
    if (stuck && now - peer.last_contact < options.election_max) {
      peer.snapshot_updated_at = now;
      peer.snapshot_sent = peer.snapshot_acked;
      SendChunks(id, peer);
    }
    return;
  }
  // The heartbeat refers to the last entry sent, so that its reply shows whether that entry and
  // those before it arrived.
  SendAppend(id, peer, peer.next - 1);
}

void Replica::Impl::SendAppend(const ReplicaId& id, Progress& peer, Index last) {
  const Index previous = peer.next - 1;
  const auto previous_term = log.TermAt(previous);
  if (!previous_term) return StartSnapshot(id, peer);
  AppendRequest request{.term = term,
                        .previous_index = previous,
                        .previous_term = *previous_term,
                        .commit = commit,
                        .sent = now,
                        .entries = log.Slice(peer.next, last, kMaxAppendBytes)};
  if (peer.match == 0) request.address = options.self.address;
  if (!request.entries.empty()) {
    peer.next = request.entries.back().index + 1;
    peer.in_flight.push_back(peer.next - 1);
  }
  peer.commit_sent = commit;
  Send(id, peer.address, std::move(request));
}

void Replica::Impl::SendEntries(const ReplicaId& id, Progress& peer) {
  while (peer.mode == SendMode::kReplicate && peer.next <= log.last_index() &&
         peer.in_flight.size() < kMaxInFlight) {
    SendAppend(id, peer, log.last_index());
  }
  // Members apply entries once they receive the commit index, so it is sent at once.
  const bool announce = options.announce_commits && peer.commit_sent < commit;
  if (peer.mode == SendMode::kReplicate && announce) {
    SendAppend(id, peer, peer.next - 1);
  }
}

void Replica::Impl::SendEntriesToAll() {
  for (auto& [id, peer] : progress) SendEntries(id, peer);
}

Progress* Replica::Impl::RecordReply(const ReplicaId& from, Term reply_term, Micros sent) {
  if (state != State::kLeader) return nullptr;
  const auto it = progress.find(from);
  if (it == progress.end()) return nullptr;
  if (reply_term > term) {
    BecomeFollower(reply_term, std::nullopt);
    return nullptr;
  }
  if (reply_term < term || sent > now) return nullptr;
  Progress& peer = it->second;
  peer.acked_send_time = std::max(peer.acked_send_time, sent);
  peer.last_contact = now;
  return &peer;
}

void Replica::Impl::OnAppendReply(const ReplicaId& from, const AppendReply& reply) {
  Progress* peer = RecordReply(from, reply.term, reply.sent);
  if (peer == nullptr) return;
  if (!reply.success) return OnRejected(from, *peer, reply);
  if (reply.match > log.last_index()) return;
  const bool advanced = reply.match > peer->match;
  if (peer->mode != SendMode::kSnapshot) {
    peer->Acknowledge(reply.match);
    if (peer->mode == SendMode::kProbe && reply.sent >= peer->probe_sent) {
      peer->mode = SendMode::kReplicate;
    }
  }
  if (advanced) {
    UpdateCommit();
    // UpdateCommit may have changed the membership or ended the leadership.
    const auto it = progress.find(from);
    if (it == progress.end()) return;
    peer = &it->second;
  }
  SendEntries(from, *peer);
}

void Replica::Impl::OnRejected(const ReplicaId& from, Progress& peer, const AppendReply& reply) {
  // The hint skips a whole term. It is below `match` if the first entries of that term agree.
  const Index next = std::max(reply.match, peer.match) + 1;
  // Ignores late rejections: a probe that was sent later gets a reply of its own.
  if (peer.mode == SendMode::kSnapshot || reply.sent < peer.probe_sent || next >= peer.next) return;
  peer.Probe(next);
  peer.probe_sent = now;
  SendAppend(from, peer, peer.next - 1);
}

void Replica::Impl::UpdateCommit() {
  std::vector<Index> matches;
  for (const auto& [id, member] : log.membership()) {
    if (member.role != Role::kVoter) continue;
    const auto it = progress.find(id);
    if (IsSelf(id)) matches.push_back(disk.durable());
    if (it != progress.end()) matches.push_back(it->second.match);
  }
  const std::size_t quorum = Quorum(log.membership());
  if (matches.size() < quorum) return;
  std::nth_element(matches.begin(), matches.begin() + static_cast<std::ptrdiff_t>(quorum - 1),
                   matches.end(), std::greater<>());
  const Index agreed = matches[quorum - 1];
  // Entries of earlier terms are committed only together with an entry of this term.
  if (agreed <= commit || agreed < term_start) return;
  const bool membership_committed =
      log.membership_index() > commit && log.membership_index() <= agreed;
  AdvanceCommit(agreed);
  SendEntriesToAll();
  if (!IsVoter(log.membership(), options.id) && log.membership_index() <= commit) {
    return BecomeFollower(term, std::nullopt);
  }
  if (membership_committed) MaintainVoters();
}

Micros Replica::Impl::QuorumAckedSendTime(Micros time) const {
  boost::container::small_vector<Micros, kUsualMembers> acked;
  for (const auto& [id, member] : log.membership()) {
    if (member.role != Role::kVoter) continue;
    const auto it = progress.find(id);
    if (IsSelf(id)) acked.push_back(time);
    if (it != progress.end()) acked.push_back(it->second.acked_send_time);
  }
  const std::size_t quorum = Quorum(log.membership());
  if (acked.size() < quorum) return kNever;
  std::nth_element(acked.begin(), acked.begin() + static_cast<std::ptrdiff_t>(quorum - 1),
                   acked.end(), std::greater<>());
  return acked[quorum - 1];
}

void Replica::Impl::RefreshProgress() {
  const Membership& members = log.membership();
  std::erase_if(progress, [&](const auto& peer) { return !members.contains(peer.first); });
  for (const auto& [id, member] : members) {
    if (IsSelf(id)) continue;
    const auto [it, added] = progress.try_emplace(id);
    it->second.address = member.address;
    if (!added) continue;
    it->second.next = log.last_index() + 1;
    it->second.last_contact = now;
  }
}

}  // namespace godwitpaddle::replication

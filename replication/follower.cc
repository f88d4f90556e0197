#include <algorithm>
#include <stdexcept>
#include <string>

#include "replication/replica_impl.h"

namespace godwitpaddle::replication {

bool Replica::Impl::AcceptLeader(const ReplicaId& from, Term message_term) {
  if (message_term < term) {
    // The reply only reports the newer term. A send time of kNever acknowledges no message, so it
    // extends no lease.
    Send(from, LeaderAddress(from), AppendReply{.term = term, .sent = kNever});
    return false;
  }
  if (message_term == term && state == State::kLeader) {
    throw std::logic_error("two leaders in term " + std::to_string(term) + ": " + from + " and " +
                           options.id);
  }
  if (message_term > term || state != State::kFollower || leader != from) {
    BecomeFollower(message_term, from);
  }
  leader_contact = now;
  EndElections();
  ResetElectionTimer();
  return true;
}

void Replica::Impl::OnAppend(const ReplicaId& from, const AppendRequest& request) {
  for (std::size_t i = 0; i < request.entries.size(); ++i) {
    if (request.entries[i].index != request.previous_index + 1 + i) return;  // malformed
  }
  if (!AcceptLeader(from, request.term)) return;
  if (!request.address.empty()) leader_address = request.address;
  Index hint = 0;
  if (!LogMatches(request, hint)) {
    return Send(from, LeaderAddress(from),
                AppendReply{.term = term, .match = hint, .sent = request.sent});
  }
  StoreEntries(request);
  verified_match = std::max(verified_match, request.previous_index + request.entries.size());
  AdvanceCommit(std::min(request.commit, verified_match));
  pending_reply.sent = std::max(pending_reply.sent, request.sent);
  pending_reply.unsent = true;
  // A heartbeat is answered at once, since the leader's lease depends on the reply.
  if (request.entries.empty() || disk.durable() >= verified_match) SendAppendReply();
}

bool Replica::Impl::LogMatches(const AppendRequest& request, Index& hint) const {
  const Index previous = request.previous_index;
  if (previous <= commit) return true;  // committed entries are the same in all logs
  if (previous > log.last_index()) {
    hint = log.last_index();
    return false;
  }
  if (log.TermAt(previous) == request.previous_term) return true;
  // The hint makes the leader skip all entries of the conflicting term.
  hint = std::max(commit, log.FirstOfTermAt(previous) - 1);
  return false;
}

void Replica::Impl::StoreEntries(const AppendRequest& request) {
  for (const Entry& entry : request.entries) {
    if (entry.index <= commit) continue;
    if (entry.index <= log.last_index()) {
      if (log.At(entry.index).term == entry.term) continue;
      log.TruncateFrom(entry.index);
      disk.QueueTruncate(entry.index);
    }
    log.Append(entry);
  }
}

void Replica::Impl::SendAppendReply() {
  if (!leader) return;
  pending_reply.reported_match = std::min(verified_match, disk.durable());
  pending_reply.unsent = false;
  Send(*leader, LeaderAddress(*leader),
       AppendReply{.term = term,
                   .success = true,
                   .match = pending_reply.reported_match,
                   .sent = pending_reply.sent});
}

void Replica::Impl::ReplyOnceSynced() {
  const Index match = std::min(verified_match, disk.durable());
  if (match > pending_reply.reported_match || (pending_reply.unsent && match >= verified_match)) {
    SendAppendReply();
  }
}

}  // namespace godwitpaddle::replication

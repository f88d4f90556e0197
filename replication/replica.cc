#include "replication/replica.h"

#include <algorithm>
#include <stdexcept>

#include "replication/replica_impl.h"

namespace godwitpaddle::replication {

Replica::Impl::Impl(ReplicaOptions opts, StoredState stored, Micros time)
    : options(std::move(opts)), rng(options.seed), now(time), leader_contact(time) {
  term = stored.term;
  voted_for = stored.voted_for;
  if (stored.snapshot) {
    snapshot = std::make_shared<const Snapshot>(std::move(*stored.snapshot));
    log.Reset(snapshot->index, snapshot->term, snapshot->membership);
    commit = snapshot->index;
    stored_snapshot_pending = true;
  }
  for (Entry& entry : stored.log) log.Append(std::move(entry));
  disk = DiskQueue(log.last_index());
  // If a crash interrupted the write of a batch, the disk may hold an entry of a newer term than
  // the stored hard state.
  if (log.last_term() > term) {
    term = log.last_term();
    voted_for.clear();
    disk.QueueHardState();
  }
  next_snapshot_at = commit + SnapshotInterval();
  ResetElectionTimer();
}

void Replica::Impl::BeginStep(Micros time, Effects& effects) {
  now = std::max(now, time);
  out = &effects;
  if (stored_snapshot_pending) {
    stored_snapshot_pending = false;
    effects.install = *snapshot;
  }
}

void Replica::Impl::EndStep() {
  if (auto batch = disk.TakeBatch(log, term, voted_for)) out->persist = std::move(batch);
  out = nullptr;
}

void Replica::Impl::Dispatch(const ReplicaId& from, const Message& message) {
  if (IsSelf(from)) return;
  if (const auto* vote = std::get_if<VoteRequest>(&message)) return OnVoteRequest(from, *vote);
  if (const auto* vote = std::get_if<VoteReply>(&message)) return OnVoteReply(from, *vote);
  if (const auto* append = std::get_if<AppendRequest>(&message)) return OnAppend(from, *append);
  if (const auto* reply = std::get_if<AppendReply>(&message)) return OnAppendReply(from, *reply);
  if (const auto* chunk = std::get_if<SnapshotChunk>(&message)) {
    return OnSnapshotChunk(from, *chunk);
  }
  if (const auto* request = std::get_if<TimeoutNow>(&message)) return OnTimeoutNow(from, *request);
  OnSnapshotReply(from, std::get<SnapshotReply>(message));
}

void Replica::Impl::Synced(std::uint64_t token) {
  const bool vote_was_pending = IsVotePending();
  if (!disk.Synced(token)) return;
  if (vote_was_pending && !IsVotePending()) OnVoteDurable();
  const auto ready = std::stable_partition(deferred.begin(), deferred.end(), [&](const auto& item) {
    return item.first > disk.synced_token();
  });
  for (auto it = ready; it != deferred.end(); ++it) out->send.push_back(std::move(it->second));
  deferred.erase(ready, deferred.end());
  if (state == State::kLeader) UpdateCommit();
  if (state == State::kCandidate) CountOwnVoteOnceDurable();
  if (state == State::kFollower) ReplyOnceSynced();
}

void Replica::Impl::BecomeFollower(Term new_term, std::optional<ReplicaId> new_leader) {
  const std::optional<ReplicaId> old_leader = leader;
  if (state == State::kLeader) {
    progress.clear();
    leader.reset();
    ResetElectionTimer();
  }
  if (new_term > term) {
    term = new_term;
    voted_for.clear();
    disk.QueueHardState();
    // The deferred messages depend on state that may be overwritten before it is durable.
    deferred.clear();
    pending_reply = {};
    incoming.reset();
    verified_match = 0;
    leader.reset();
  }
  state = State::kFollower;
  votes.clear();
  if (new_leader) leader = std::move(new_leader);
  if (leader != old_leader) out->leadership_changed = true;
}

std::string Replica::Impl::LeaderAddress(const ReplicaId& from) const {
  const auto member = log.membership().find(from);
  if (member != log.membership().end()) return member->second.address;
  return from == leader ? leader_address : std::string();
}

void Replica::Impl::Send(const ReplicaId& to, std::string address, Message message) {
  out->send.push_back({to, std::move(address), std::move(message)});
}

void Replica::Impl::SendOnceDurable(const ReplicaId& to, std::string address, Message message) {
  const std::uint64_t token = disk.CoveringToken(log.last_index());
  if (token == 0) return Send(to, std::move(address), std::move(message));
  deferred.emplace_back(token, Envelope{to, std::move(address), std::move(message)});
}

void Replica::Impl::AdvanceCommit(Index index) {
  for (; commit < index; ++commit) {
    out->committed.push_back(log.At(commit + 1));
    bytes_since_snapshot += SizeOf(out->committed.back());
  }
  if (commit >= next_snapshot_at || bytes_since_snapshot >= MaxLogBytes()) {
    out->wants_snapshot = true;
    next_snapshot_at = commit + SnapshotInterval();
    bytes_since_snapshot = 0;
  }
}

void Replica::Impl::Append(EntryKind kind, std::string payload) {
  log.Append({term, log.last_index() + 1, kind, std::move(payload)});
}

Replica::Replica(ReplicaOptions options, StoredState stored, Micros now)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(stored), now)) {}

Replica::~Replica() = default;

void Replica::Bootstrap(Micros now, Effects& effects) {
  Impl& impl = *impl_;
  if (impl.term != 0 || impl.log.last_index() != 0 || !impl.options.self.has_disk) {
    throw std::logic_error("bootstrap requires an empty replica with a disk");
  }
  impl.BeginStep(now, effects);
  impl.term = 1;
  impl.voted_for = impl.options.id;
  impl.disk.QueueHardState();
  Member self = impl.options.self;
  self.role = Role::kVoter;
  impl.Append(EntryKind::kMembership, Encode(Membership{{impl.options.id, self}}));
  impl.BecomeLeader();
  impl.EndStep();
}

void Replica::Tick(Micros now, Effects& effects) {
  impl_->BeginStep(now, effects);
  if (impl_->state == State::kLeader) {
    impl_->TickLeader();
  } else {
    impl_->TickElection();
  }
  impl_->EndStep();
}

void Replica::Receive(const ReplicaId& from, const Message& message, Micros now, Effects& effects) {
  impl_->BeginStep(now, effects);
  impl_->Dispatch(from, message);
  impl_->EndStep();
}

void Replica::Synced(std::uint64_t token, Micros now, Effects& effects) {
  impl_->BeginStep(now, effects);
  impl_->Synced(token);
  impl_->EndStep();
}

std::optional<Index> Replica::Propose(std::vector<std::string> payloads, Micros now,
                                      Effects& effects) {
  if (!is_leader() || impl_->transfer_requested) return std::nullopt;
  impl_->BeginStep(now, effects);
  const Index first = impl_->log.last_index() + 1;
  for (std::string& payload : payloads) {
    impl_->Append(EntryKind::kCommand, std::move(payload));
  }
  impl_->SendEntriesToAll();
  impl_->EndStep();
  return first;
}

bool Replica::AddLearner(const ReplicaId& id, const Member& member, Micros now, Effects& effects) {
  impl_->BeginStep(now, effects);
  const bool done = impl_->AddLearner(id, member);
  impl_->EndStep();
  return done;
}

bool Replica::Remove(const ReplicaId& id, Micros now, Effects& effects) {
  impl_->BeginStep(now, effects);
  const bool done = impl_->Remove(id);
  impl_->EndStep();
  return done;
}

void Replica::Compact(Index index, std::string state, Effects& effects) {
  impl_->BeginStep(impl_->now, effects);
  impl_->Compact(index, std::move(state));
  impl_->EndStep();
}

bool Replica::is_leader() const { return impl_->state == State::kLeader; }

bool Replica::TransferLeadership(Micros now, Effects& effects) {
  impl_->BeginStep(now, effects);
  const bool done = impl_->TransferLeadership();
  impl_->EndStep();
  return done;
}

bool Replica::HoldsLease(Micros now) const {
  return is_leader() && !impl_->transfer_requested &&
         now - impl_->QuorumAckedSendTime(now) < impl_->options.leader_lease;
}

bool Replica::HasCommittedInTerm() const {
  return is_leader() && impl_->commit >= impl_->term_start;
}

Term Replica::term() const { return impl_->term; }

std::optional<ReplicaId> Replica::leader() const { return impl_->leader; }

Index Replica::commit_index() const { return impl_->commit; }

Index Replica::last_index() const { return impl_->log.last_index(); }

const Membership& Replica::membership() const { return impl_->log.membership(); }

ElectionStatus Replica::election_status(Micros now) const {
  return {.state = impl_->state,
          .vote_pending = impl_->IsVotePending() ? now - impl_->vote_queued_at : 0,
          .slowest_vote = impl_->slowest_vote,
          .failed_elections = impl_->failed_elections};
}

bool Replica::is_member() const { return membership().contains(impl_->options.id); }

}  // namespace godwitpaddle::replication

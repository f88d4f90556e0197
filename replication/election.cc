#include <algorithm>
#include <cmath>
#include <tuple>

#include "replication/replica_impl.h"

namespace godwitpaddle::replication {

namespace {

/// An election takes the candidate's and then a voter's time to make a vote durable. Until the
/// request of a candidate with a disk like its own arrives, a voter waits for this many such times.
constexpr double kVoteTimes = 1.5;
/// Longest election timeouts, as multiples of the usual one: for the time of a vote, which may have
/// waited for a full disk that has room again, and for failed elections.
constexpr double kMaxScaleForDisk = 3;
constexpr double kMaxScaleForFailures = 8;
/// Votes may split once or twice by chance; further failures mean that the timeout is too short.
constexpr int kChanceFailures = 2;

}  // namespace

double Replica::Impl::ElectionTimeoutScale() const {
  const double for_disk =
      kVoteTimes * static_cast<double>(slowest_vote) / static_cast<double>(options.election_min);
  const double for_failures = std::exp2(std::max(0, failed_elections - kChanceFailures));
  return std::max(std::clamp(for_disk, 1.0, kMaxScaleForDisk),
                  std::min(for_failures, kMaxScaleForFailures));
}

void Replica::Impl::ResetElectionTimer() {
  const auto spread = static_cast<std::uint64_t>(options.election_max - options.election_min + 1);
  const Micros timeout = options.election_min + static_cast<Micros>(UniformBelow(rng, spread));
  election_at = now + static_cast<Micros>(static_cast<double>(timeout) * ElectionTimeoutScale());
}

void Replica::Impl::TickElection() {
  if (now < election_at) return;
  if (leader) {
    leader.reset();
    out->leadership_changed = true;
  }
  // Before its vote is durable, a candidate cannot ask for others, and a voter cannot answer.
  if (IsVotePending()) return;
  if (state == State::kCandidate) ++failed_elections;
  ResetElectionTimer();
  // A voter whose removal is not committed yet takes part too: it may be the only one with the
  // longest log.
  if (options.self.has_disk && log.IsVoterSince(commit, options.id)) StartPreVote();
}

void Replica::Impl::StartPreVote() {
  state = State::kPreCandidate;
  votes = {options.id};
  RequestVotes({.term = term + 1, .pre_vote = true});
  CountVotes();
}

void Replica::Impl::StartElection(bool leadership_transfer) {
  BecomeFollower(term + 1, std::nullopt);
  state = State::kCandidate;
  voted_for = options.id;
  QueueVote();
  ResetElectionTimer();
  RequestVotes({.term = term, .pre_vote = false, .leadership_transfer = leadership_transfer});
}

bool Replica::Impl::TransferLeadership() {
  if (state != State::kLeader) return false;
  const ReplicaId* best = nullptr;
  for (const auto& [id, peer] : progress) {
    const bool active = now - peer.acked_send_time <= 2 * options.heartbeat;
    if (!active || !IsVoter(log.membership(), id)) continue;
    if (best == nullptr || peer.match > progress.at(*best).match) best = &id;
  }
  if (best == nullptr) return false;
  transfer_requested = true;
  Send(*best, progress.at(*best).address, TimeoutNow{.term = term});
  return true;
}

void Replica::Impl::OnTimeoutNow(const ReplicaId& from, const TimeoutNow& request) {
  if (request.term != term || leader != from || state != State::kFollower) return;
  if (!options.self.has_disk || !IsVoter(log.membership(), options.id)) return;
  StartElection(true);
}

void Replica::Impl::RequestVotes(const VoteRequest& request) {
  VoteRequest full = request;
  full.last_index = log.last_index();
  full.last_term = log.last_term();
  full.address = options.self.address;
  for (const auto& [id, member] : log.membership()) {
    if (IsSelf(id) || member.role != Role::kVoter) continue;
    // A vote request states the end of the log, so the log has to be durable up to there before it
    // is sent. A pre-vote request has no lasting effect.
    if (request.pre_vote) {
      Send(id, member.address, full);
    } else {
      SendOnceDurable(id, member.address, full);
    }
  }
}

bool Replica::Impl::HasRecentLeaderContact() const {
  return state == State::kLeader || now - leader_contact < options.election_min;
}

bool Replica::Impl::LogIsUpToDate(const VoteRequest& request) const {
  return std::tuple(request.last_term, request.last_index) >=
         std::tuple(log.last_term(), log.last_index());
}

void Replica::Impl::OnVoteRequest(const ReplicaId& from, const VoteRequest& request) {
  // A learner with a disk votes, since an entry that it has not received yet may have promoted it.
  // A replica without a disk would forget its vote in a restart.
  if (!options.self.has_disk) return;
  const bool leader_active = HasRecentLeaderContact();
  if (request.pre_vote) {
    const bool granted = !leader_active && request.term > term && LogIsUpToDate(request);
    // The request for the vote follows once the candidate's vote for itself is durable.
    if (granted && ElectionTimeoutScale() > 1) ResetElectionTimer();
    return Send(from, request.address,
                VoteReply{granted ? request.term : term, true, granted, from});
  }
  if (leader_active && !request.leadership_transfer) return;
  if (request.term > term) BecomeFollower(request.term, std::nullopt);
  const bool granted =
      request.term == term && (voted_for.empty() || voted_for == from) && LogIsUpToDate(request);
  if (granted && voted_for.empty()) {
    voted_for = from;
    QueueVote();
  }
  if (granted) ResetElectionTimer();
  SendOnceDurable(from, request.address, VoteReply{term, false, granted, from});
}

void Replica::Impl::OnVoteReply(const ReplicaId& from, const VoteReply& reply) {
  if (!IsVoter(log.membership(), from) || !IsSelf(reply.candidate)) return;
  if (!reply.granted) {
    if (reply.term > term) BecomeFollower(reply.term, std::nullopt);
    return;
  }
  const bool pre_vote = state == State::kPreCandidate && reply.pre_vote && reply.term == term + 1;
  const bool vote = state == State::kCandidate && !reply.pre_vote && reply.term == term;
  if (!pre_vote && !vote) return;
  votes.insert(from);
  CountVotes();
}

void Replica::Impl::CountVotes() {
  const auto count = static_cast<std::size_t>(std::count_if(
      votes.begin(), votes.end(), [&](const auto& id) { return IsVoter(log.membership(), id); }));
  if (count < Quorum(log.membership())) return;
  if (state == State::kPreCandidate) {
    StartElection();
  } else if (state == State::kCandidate) {
    BecomeLeader();
  }
}

void Replica::Impl::CountOwnVoteOnceDurable() {
  if (IsVotePending()) return;
  votes.insert(options.id);
  CountVotes();
}

void Replica::Impl::QueueVote() {
  disk.QueueHardState();
  vote_token = disk.CoveringToken(log.last_index());
  vote_queued_at = now;
}

void Replica::Impl::OnVoteDurable() {
  slowest_vote = std::max(slowest_vote, now - vote_queued_at);
  if (state != State::kLeader && !leader) ResetElectionTimer();
}

void Replica::Impl::EndElections() {
  slowest_vote = 0;
  failed_elections = 0;
}

void Replica::Impl::BecomeLeader() {
  state = State::kLeader;
  transfer_requested = false;
  leader = options.id;
  out->leadership_changed = true;
  votes.clear();
  EndElections();
  incoming.reset();
  progress.clear();
  elected_at = now;
  term_start = log.last_index() + 1;
  RefreshProgress();
  Append(EntryKind::kNoop, {});
  heartbeat_at = now;
  TickLeader();
}

}  // namespace godwitpaddle::replication

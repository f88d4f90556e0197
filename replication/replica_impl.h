#ifndef GODWITPADDLE_REPLICATION_REPLICA_IMPL_H_
#define GODWITPADDLE_REPLICATION_REPLICA_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "replication/disk_queue.h"
#include "replication/log.h"
#include "replication/membership.h"
#include "replication/progress.h"
#include "replication/replica.h"

namespace godwitpaddle::replication {

/// Limits in bytes for the entries of one append message and the data of one snapshot chunk.
inline constexpr std::size_t kMaxAppendBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kSnapshotChunkBytes = std::size_t{64} * 1024;
/// Limit of unacknowledged append messages per member.
inline constexpr std::size_t kMaxInFlight = 16;
/// Limit of unacknowledged snapshot data per member; covers a round trip between regions.
inline constexpr std::size_t kSnapshotWindowBytes = 4 * kSnapshotChunkBytes;
/// A learner that lacks at most this many committed entries counts as caught up. Under load, more
/// entries arrive within a round trip.
inline constexpr Index kCaughtUpEntries = 256;

/// A snapshot follows once the committed entries since the last one have this many bytes, or as
/// many as the last one. Bounds the log in memory and on the disk, also when the entries are large.
inline constexpr std::size_t kMaxLogBytes = std::size_t{16} * 1024 * 1024;

using State = ReplicaState;

/// Returns the bytes that an entry takes in memory, roughly.
inline std::size_t SizeOf(const Entry& entry) { return entry.payload.size() + sizeof(Entry); }

/// Reply to an append message that waits for the disk. Only the newest one is kept, since it covers
/// the earlier ones.
struct PendingAppendReply {
  Micros sent = 0;           // send time in the newest message of the leader
  Index reported_match = 0;  // `match` in the last reply
  bool unsent = false;       // a message of the leader has not been answered yet
};

/// A snapshot of which not all chunks have arrived.
struct IncomingSnapshot {
  ReplicaId from;
  Snapshot snapshot;  // its state consists of the chunks received
};

struct Replica::Impl {
  Impl(ReplicaOptions options, StoredState stored, Micros now);

  // replica.cc: start and end of a step, and functions for all states.
  void BeginStep(Micros time, Effects& effects);
  void EndStep();
  void Dispatch(const ReplicaId& from, const Message& message);
  void Synced(std::uint64_t token);
  void BecomeFollower(Term new_term, std::optional<ReplicaId> new_leader);
  void Send(const ReplicaId& to, std::string address, Message message);
  /// Sends the message once all changes made until now are durable.
  void SendOnceDurable(const ReplicaId& to, std::string address, Message message);
  /// Commits the entries up to `index` and passes them to the driver.
  void AdvanceCommit(Index index);
  void Append(EntryKind kind, std::string payload);
  std::string LeaderAddress(const ReplicaId& from) const;
  bool IsSelf(const ReplicaId& id) const { return id == options.id; }

  // election.cc
  /// Starts the election timeout again. It grows with the time that the disk takes for a vote, and
  /// with the elections of this replica that have failed, until a leader is known.
  void ResetElectionTimer();
  double ElectionTimeoutScale() const;
  void TickElection();
  void StartPreVote();
  void StartElection(bool leadership_transfer = false);
  bool TransferLeadership();
  void OnTimeoutNow(const ReplicaId& from, const TimeoutNow& request);
  void RequestVotes(const VoteRequest& request);
  /// Returns whether a leader may hold a lease that this replica has acknowledged.
  bool HasRecentLeaderContact() const;
  bool LogIsUpToDate(const VoteRequest& request) const;
  void OnVoteRequest(const ReplicaId& from, const VoteRequest& request);
  void OnVoteReply(const ReplicaId& from, const VoteReply& reply);
  void CountVotes();
  void CountOwnVoteOnceDurable();
  /// The vote of this replica, for itself or another, has to become durable.
  void QueueVote();
  bool IsVotePending() const { return disk.synced_token() < vote_token; }
  void OnVoteDurable();
  /// A leader is known: the next election has the usual timeouts.
  void EndElections();
  void BecomeLeader();

  // leader.cc
  void TickLeader();
  void Heartbeat(const ReplicaId& id, Progress& peer);
  void SendAppend(const ReplicaId& id, Progress& peer, Index last);
  void SendEntries(const ReplicaId& id, Progress& peer);
  void SendEntriesToAll();
  void OnAppendReply(const ReplicaId& from, const AppendReply& reply);
  void OnRejected(const ReplicaId& from, Progress& peer, const AppendReply& reply);
  /// Records a reply to a message sent at `sent`. Returns the progress of the member; null if the
  /// reply is stale, or its sender is not a member or has a newer term.
  Progress* RecordReply(const ReplicaId& from, Term reply_term, Micros sent);
  void UpdateCommit();
  /// The latest time such that a quorum has acknowledged messages sent then or later, where this
  /// replica acknowledges at `time`. kNever if no quorum has acknowledged any message.
  Micros QuorumAckedSendTime(Micros time) const;
  /// Adapts `progress` to the members of the current membership.
  void RefreshProgress();

  // follower.cc
  /// Handles the term of a message of a leader; false if the term is older than that of this
  /// replica.
  bool AcceptLeader(const ReplicaId& from, Term message_term);
  void OnAppend(const ReplicaId& from, const AppendRequest& request);
  /// Returns whether this log has the entry that precedes those of the request. If not, `hint` is
  /// the index after which the leader is to retry.
  bool LogMatches(const AppendRequest& request, Index& hint) const;
  void StoreEntries(const AppendRequest& request);
  void SendAppendReply();
  void ReplyOnceSynced();

  // snapshot.cc
  void Compact(Index index, std::string state);
  void StartSnapshot(const ReplicaId& id, Progress& peer);
  void SendChunks(const ReplicaId& id, Progress& peer);
  void OnSnapshotChunk(const ReplicaId& from, const SnapshotChunk& chunk);
  void OnSnapshotReply(const ReplicaId& from, const SnapshotReply& reply);
  void Install(Snapshot received);
  /// Returns the number of entries between the latest snapshot and the next one.
  Index SnapshotInterval() const;
  /// Returns the bytes of committed entries after which the next snapshot is due in any case.
  std::size_t MaxLogBytes() const;
  /// Returns the base of the log after a snapshot at this index: entries after it are kept for
  /// members that are behind.
  Index TailStart(Index snapshot_index) const;
  /// Returns the least base of the log after a snapshot at this index: no more than MaxLogBytes of
  /// entries before it are kept, whoever needs them.
  Index FirstKept(Index snapshot_index) const;

  // membership_change.cc: membership changes by the leader.
  bool CanChangeMembership() const;
  void ChangeMembership(const Membership& next);
  void MaintainVoters();
  MemberHealth Health() const;
  bool AddLearner(const ReplicaId& id, const Member& member);
  bool Remove(const ReplicaId& id);

  ReplicaOptions options;
  Rng rng;
  Micros now = 0;
  Effects* out = nullptr;  // of the current step; null between steps

  State state = State::kFollower;
  Term term = 0;
  ReplicaId voted_for;
  std::optional<ReplicaId> leader;
  Index commit = 0;
  Log log;
  std::shared_ptr<const Snapshot> snapshot;
  Index next_snapshot_at = 0;
  std::size_t bytes_since_snapshot = 0;  // of committed entries
  bool stored_snapshot_pending = false;  // the next step passes the stored snapshot to the driver
  DiskQueue disk;
  /// Messages that wait until the batch with this token is durable.
  std::vector<std::pair<std::uint64_t, Envelope>> deferred;

  // Elections.
  /// Time of the newest message of the leader. Initially the time of the start, since the replica
  /// may have acknowledged a message just before it restarted.
  Micros leader_contact = 0;
  Micros election_at = 0;        // when the election timeout ends
  std::set<ReplicaId> votes;     // granted in the current election or pre-vote
  std::uint64_t vote_token = 0;  // batch that makes the latest vote durable
  Micros vote_queued_at = 0;
  Micros slowest_vote = 0;   // longest time until a vote was durable since a leader was known
  int failed_elections = 0;  // of this replica, in a row, since a leader was known

  // Follower.
  Index verified_match = 0;    // the log is known to match the leader's up to here
  std::string leader_address;  // of a leader that is not in the membership of this log
  PendingAppendReply pending_reply;
  std::optional<IncomingSnapshot> incoming;

  // Leader.
  std::map<ReplicaId, Progress> progress;
  Index term_start = 0;  // index of the first entry of its term
  Micros elected_at = 0;
  Micros heartbeat_at = 0;          // when the next heartbeat is due
  bool transfer_requested = false;  // this leader has asked another voter to take over
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_REPLICA_IMPL_H_

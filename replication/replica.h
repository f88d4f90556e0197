#ifndef GODWITPADDLE_REPLICATION_REPLICA_H_
#define GODWITPADDLE_REPLICATION_REPLICA_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"
#include "replication/messages.h"

namespace godwitpaddle::replication {

struct ReplicaOptions {
  ReplicaId id;
  Member self;  // the role is ignored
  std::uint64_t seed = 1;
  int voter_target = 3;           // 3 or 5
  Index snapshot_every = 10'000;  // entries between snapshots, at least
  /// A snapshot is followed by one entry or more for each of these bytes of it, so that the work
  /// for snapshots grows with the log and not with the size of the state; 0: no such limit.
  std::size_t snapshot_bytes_per_entry = 0;
  Micros heartbeat = 200 * kMillisecond;  // interval between heartbeats
  /// Election timeout: random between these bounds. A replica that received a message of the leader
  /// within `election_min` grants no vote, so the leader's lease has to be shorter.
  Micros election_min = 600 * kMillisecond;
  Micros election_max = 1'000 * kMillisecond;
  Micros leader_lease = 500 * kMillisecond;
  Micros replace_silent_voter_after = 10 * kSecond;
  /// True: the leader sends a new commit index at once; false: with the next entries or heartbeat.
  bool announce_commits = true;
};

/// What the disk holds when the process starts. Empty for a new replica and for one without a disk.
struct StoredState {
  Term term = 0;
  ReplicaId voted_for;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> log;  // without gaps, from the index after the snapshot
};

/// One batch of changes for the disk, to be written in the order of the fields. The driver calls
/// Synced with `token` once all of them are durable; for a replica without a disk, at once.
struct PersistBatch {
  std::uint64_t token = 0;
  std::optional<std::pair<Term, ReplicaId>> hard_state;  // term and vote
  std::optional<Snapshot> snapshot;                      // replaces the log up to its index
  std::optional<Index> truncate_from;                    // removes the entries from this index on
  std::vector<Entry> append;
  bool empty() const { return !hard_state && !snapshot && !truncate_from && append.empty(); }
};

struct Envelope {
  ReplicaId to;
  std::string address;  // empty if unknown: the driver drops the message
  Message message;
};

/// Output of one step. The driver carries it out in this order: persist, send, apply.
struct Effects {
  std::optional<PersistBatch> persist;
  /// A message that requires durable state is included only once that state is durable.
  std::vector<Envelope> send;
  /// Replaces the applied state. At the first step, this is the stored snapshot.
  std::optional<Snapshot> install;
  /// To be applied in order. The kCommand entries are commands; the others are for information.
  std::vector<Entry> committed;
  bool leadership_changed = false;
  bool wants_snapshot = false;  // asks the driver to call Compact with the applied state
};

enum class ReplicaState : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
inline constexpr EnumNames<4> kReplicaStateNames = {"follower", "pre_candidate", "candidate",
                                                    "leader"};

/// What a replica does while it knows no leader, for log lines.
struct ElectionStatus {
  ReplicaState state = ReplicaState::kFollower;
  Micros vote_pending = 0;   // for how long its latest vote has not been durable; 0: it is
  Micros slowest_vote = 0;   // longest time until a vote was durable since a leader was known
  int failed_elections = 0;  // of this replica, in a row, since a leader was known
};

/// One member of a group that replicates a log with Raft. It is deterministic: all input, also the
/// time, comes from its driver through the calls. The driver carries out the Effects of each call.
class Replica {
 public:
  Replica(ReplicaOptions options, StoredState stored, Micros now);
  ~Replica();

  /// Forms a group with this replica as the only voter. Throws std::logic_error unless the replica
  /// is empty and has a disk.
  void Bootstrap(Micros now, Effects& effects);

  /// Handles timeouts: elections, heartbeats and the replacement of silent voters.
  void Tick(Micros now, Effects& effects);
  /// Handles a message. Messages that were meant for an earlier replica at this address are
  /// harmless. Throws std::logic_error if the message shows that an invariant of the log is broken.
  void Receive(const ReplicaId& from, const Message& message, Micros now, Effects& effects);
  /// The driver reports that the batch with this token and all earlier ones are durable.
  void Synced(std::uint64_t token, Micros now, Effects& effects);

  /// Leader: appends commands and returns the index of the first. Returns nothing if the replica is
  /// not the leader or has requested a leadership transfer. Entries proposed during one disk write
  /// are synced together by the next one.
  std::optional<Index> Propose(std::vector<std::string> payloads, Micros now, Effects& effects);

  /// Leader: adds a member as learner, in place of any other replica of the same node. Returns true
  /// if the change was appended or is not needed. Returns false if the replica is not the leader,
  /// another change is in progress, or the change would remove the leader or leave no active
  /// quorum; the caller has to retry.
  bool AddLearner(const ReplicaId& id, const Member& member, Micros now, Effects& effects);
  /// Leader: removes a member. Returns true if the change was appended or is not needed. Returns
  /// false if the replica is not the leader, another change is in progress, the member is the last
  /// voter or the remaining voters are no active quorum.
  bool Remove(const ReplicaId& id, Micros now, Effects& effects);

  /// Leader, before its process ends: asks the active voter with the longest log to take over.
  /// From then on the leader holds no lease and accepts no proposals. Returns false if the replica
  /// is not the leader or no other voter is active.
  bool TransferLeadership(Micros now, Effects& effects);

  /// The driver passes the state that it has applied up to `index`, which becomes the snapshot; the
  /// log before it may be dropped. An index that is not committed, or not newer than the last
  /// snapshot, is ignored.
  void Compact(Index index, std::string state, Effects& effects);

  bool is_leader() const;
  /// Returns true if a quorum has acknowledged a message that the leader sent less than
  /// `leader_lease` ago. Only then is it certain that no newer leader exists, so that this one may
  /// answer from its state.
  bool HoldsLease(Micros now) const;
  /// Leader: true once an entry of its own term is committed. From then on `commit_index` covers
  /// all entries committed in earlier terms.
  bool HasCommittedInTerm() const;
  Term term() const;
  std::optional<ReplicaId> leader() const;
  Index commit_index() const;
  Index last_index() const;
  const Membership& membership() const;
  bool is_member() const;
  ElectionStatus election_status(Micros now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_REPLICA_H_

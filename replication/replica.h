#ifndef GODWITPADDLE_REPLICATION_REPLICA_H_
#define GODWITPADDLE_REPLICATION_REPLICA_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "replication/messages.h"

namespace godwitpaddle::replication {

struct ReplicaOptions {
  ReplicaId id;
  Member self;  // node, zone, address, has_disk
  std::uint64_t seed = 1;
  int voter_target = 3;           // 3 or 5
  Index snapshot_every = 10'000;  // entries between snapshots
  Micros heartbeat = 200 * kMillisecond;
  Micros election_min = 600 * kMillisecond;
  Micros election_max = 1'000 * kMillisecond;
  Micros leader_lease = 500 * kMillisecond;
  Micros replace_silent_voter_after = 10 * kSecond;
  /// Whether members learn a new commit index at once, or with the next entries or heartbeat.
  bool announce_commits = true;
};

/// What a disk holds when the process starts. Empty for a new or diskless replica.
struct StoredState {
  Term term = 0;
  ReplicaId voted_for;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> log;  // contiguous, after the snapshot
};

/// One batch for the disk, in this order. `token` comes back through Synced once all of it is
/// durable. A diskless replica's driver calls Synced at once.
struct PersistBatch {
  std::uint64_t token = 0;
  std::optional<std::pair<Term, ReplicaId>> hard_state;  // term and vote
  std::optional<Snapshot> snapshot;                      // replaces all up to its index
  std::optional<Index> truncate_from;                    // drops entries at this index and after
  std::vector<Entry> append;
  bool empty() const { return !hard_state && !snapshot && !truncate_from && append.empty(); }
};

struct Envelope {
  ReplicaId to;
  std::string address;  // empty when unknown: the message can only be dropped
  Message message;
};

/// Output of one step, to be carried out in this order: persist, then send, then apply.
struct Effects {
  std::optional<PersistBatch> persist;
  std::vector<Envelope> send;       // already held back until what they promise is durable
  std::optional<Snapshot> install;  // replace the applied state; the stored one at the first step
  std::vector<Entry> committed;     // apply in order (kCommand; the others are informative)
  bool leadership_changed = false;
  bool wants_snapshot = false;  // the driver calls Compact with the applied state
};

/// One member of a replicated log, as a deterministic machine: all input comes through the calls,
/// time included.
class Replica {
 public:
  Replica(ReplicaOptions options, StoredState stored, Micros now);
  ~Replica();

  /// Forms a single-voter group of this replica. Throws std::logic_error unless the replica is
  /// empty and has a disk.
  void Bootstrap(Micros now, Effects& effects);

  void Tick(Micros now, Effects& effects);
  /// Messages meant for an earlier replica of the same address do no harm. Throws std::logic_error
  /// when the message shows that an invariant of the log is broken.
  void Receive(const ReplicaId& from, const Message& message, Micros now, Effects& effects);
  /// The batch with this token, and all before it, are durable.
  void Synced(std::uint64_t token, Micros now, Effects& effects);

  /// Appends commands as leader and returns the index of the first; nothing when not the leader.
  /// Entries proposed within one disk write are synced together.
  std::optional<Index> Propose(std::vector<std::string> payloads, Micros now, Effects& effects);

  /// Leader: adds a member as learner, replacing another replica of the same node. False if a
  /// change is under way or this replica is not the leader; the caller repeats.
  bool AddLearner(const ReplicaId& id, const Member& member, Micros now, Effects& effects);
  /// Leader: removes a member. Refused (false) for the last voter.
  bool Remove(const ReplicaId& id, Micros now, Effects& effects);

  /// Leader: asks the voter with the longest log to take over, and vouches for nothing from then
  /// on. For a process that is about to end. False when there is no voter to ask.
  bool TransferLeadership(Micros now, Effects& effects);

  /// The driver hands in the state applied at `index`; the log before it may be dropped.
  /// Indexes that are not committed or older than the last snapshot are ignored.
  void Compact(Index index, std::string state, Effects& effects);

  bool is_leader() const;
  /// True while a quorum acknowledged a message sent within the lease; only then may the leader
  /// vouch for its state.
  bool HoldsLease(Micros now) const;
  /// Leader only: true once an entry of its own term is committed, so that `commit_index` covers
  /// all earlier terms.
  bool HasCommittedInTerm() const;
  Term term() const;
  std::optional<ReplicaId> leader() const;
  Index commit_index() const;
  Index last_index() const;
  const Membership& membership() const;
  bool is_member() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_REPLICA_H_

#ifndef GODWITPADDLE_REPLICATION_DISK_QUEUE_H_
#define GODWITPADDLE_REPLICATION_DISK_QUEUE_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "replication/log.h"
#include "replication/replica.h"

namespace godwitpaddle::replication {

/// Collects the changes for the disk into batches and tracks what is durable. One batch is in
/// flight at a time; changes made meanwhile go into the next one (group commit).
class DiskQueue {
 public:
  DiskQueue() = default;
  /// `last`: last index of the log that the disk holds at the start.
  explicit DiskQueue(Index last) : submitted_(last), durable_(last) {}

  /// The term or the vote has changed.
  void QueueHardState() { hard_state_ = true; }
  /// The entries from `index` on were removed from the log.
  void QueueTruncate(Index index);
  /// The replica made a snapshot of its own state.
  void QueueSnapshot(std::shared_ptr<const Snapshot> snapshot);
  /// The replica installed a snapshot of the leader, which replaces the log. The entries up to
  /// `matching` agree with the snapshot.
  void QueueInstall(std::shared_ptr<const Snapshot> snapshot, Index matching);

  /// Returns the next batch; nothing if there are no changes or a batch is in flight.
  std::optional<PersistBatch> TakeBatch(const Log& log, Term term, const ReplicaId& voted_for);
  /// Records that the disk has written the batches up to `token`. Returns true if the batch in
  /// flight is among them.
  bool Synced(std::uint64_t token);

  /// Token of the batch that makes all changes until now durable, also the log up to `last_index`,
  /// its last entry; 0 if they already are.
  std::uint64_t CoveringToken(Index last_index) const;
  std::uint64_t synced_token() const { return synced_token_; }
  /// The entries of the current log up to this index are durable.
  Index durable() const { return durable_; }

 private:
  bool HasChanges(Index last_index) const;
  /// Entries above `index` no longer count as durable.
  void LimitDurable(Index index);

  std::uint64_t next_token_ = 1;
  std::uint64_t in_flight_ = 0;  // token of the batch in flight; 0: none
  std::uint64_t synced_token_ = 0;
  Index in_flight_last_ = 0;  // last log index that the batch in flight covers
  bool hard_state_ = false;   // the next batch contains the term and the vote
  std::shared_ptr<const Snapshot> snapshot_;
  std::optional<Index> truncate_from_;
  Index submitted_ = 0;  // last index passed to the disk
  Index durable_ = 0;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_DISK_QUEUE_H_

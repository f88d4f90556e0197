#ifndef GODWITPADDLE_REPLICATION_DISK_QUEUE_H_
#define GODWITPADDLE_REPLICATION_DISK_QUEUE_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "replication/log.h"
#include "replication/replica.h"

namespace godwitpaddle::replication {

/// Collects what the disk has to store and knows what is durable. One batch is under way at a time;
/// changes that arrive meanwhile go into the next one (group commit).
class DiskQueue {
 public:
  DiskQueue() = default;
  /// For a replica whose disk holds the log up to `last`.
  explicit DiskQueue(Index last) : submitted_(last), durable_(last) {}

  void QueueHardState() { hard_state_ = true; }
  /// The entries from `index` on are replaced.
  void QueueTruncate(Index index);
  /// A snapshot of this replica's own log.
  void QueueSnapshot(std::shared_ptr<const Snapshot> snapshot);
  /// A snapshot that replaces the log, of which entries up to `matching` agree with it.
  void QueueInstall(std::shared_ptr<const Snapshot> snapshot, Index matching);

  /// The next batch, unless nothing changed or one is under way.
  std::optional<PersistBatch> TakeBatch(const Log& log, Term term, const ReplicaId& voted_for);
  /// Returns whether the batch under way is done.
  bool Synced(std::uint64_t token);

  /// The batch after which everything noted so far is durable; 0 when it already is.
  std::uint64_t CoveringToken(Index last_index) const;
  std::uint64_t synced_token() const { return synced_token_; }
  /// Entries of the present log up to here are durable.
  Index durable() const { return durable_; }

 private:
  bool Dirty(Index last_index) const;
  void CapDurable(Index index);

  std::uint64_t next_token_ = 1;
  std::uint64_t in_flight_ = 0;  // token of the batch under way
  std::uint64_t synced_token_ = 0;
  Index in_flight_last_ = 0;
  bool hard_state_ = false;
  std::shared_ptr<const Snapshot> snapshot_;
  std::optional<Index> truncate_from_;
  Index submitted_ = 0;  // last index handed to the disk
  Index durable_ = 0;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_DISK_QUEUE_H_

#include "replication/disk_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace godwitpaddle::replication {

void DiskQueue::LimitDurable(Index index) {
  durable_ = std::min(durable_, index);
  in_flight_last_ = std::min(in_flight_last_, index);
}

void DiskQueue::QueueTruncate(Index index) {
  LimitDurable(index - 1);
  if (submitted_ < index) return;
  truncate_from_ = std::min(truncate_from_.value_or(index), index);
  submitted_ = index - 1;
}

void DiskQueue::QueueSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  submitted_ = std::max(submitted_, snapshot->index);
  snapshot_ = std::move(snapshot);
}

void DiskQueue::QueueInstall(std::shared_ptr<const Snapshot> snapshot, Index matching) {
  LimitDurable(matching);
  truncate_from_ = std::min(truncate_from_.value_or(matching + 1), matching + 1);
  submitted_ = snapshot->index;
  snapshot_ = std::move(snapshot);
}

bool DiskQueue::HasChanges(Index last_index) const {
  return hard_state_ || snapshot_ || truncate_from_ || last_index > submitted_;
}

std::optional<PersistBatch> DiskQueue::TakeBatch(const Log& log, Term term,
                                                 const ReplicaId& voted_for) {
  if (in_flight_ != 0 || !HasChanges(log.last_index())) return std::nullopt;
  PersistBatch batch{.token = next_token_++};
  if (hard_state_) batch.hard_state.emplace(term, voted_for);
  if (snapshot_) batch.snapshot = *snapshot_;
  batch.truncate_from = truncate_from_;
  if (log.last_index() > submitted_) {
    batch.append =
        log.Slice(submitted_ + 1, log.last_index(), std::numeric_limits<std::size_t>::max());
  }
  in_flight_ = batch.token;
  in_flight_last_ = log.last_index();
  submitted_ = log.last_index();
  hard_state_ = false;
  snapshot_.reset();
  truncate_from_.reset();
  return batch;
}

bool DiskQueue::Synced(std::uint64_t token) {
  if (in_flight_ == 0 || token < in_flight_) return false;
  synced_token_ = in_flight_;
  durable_ = std::max(durable_, in_flight_last_);
  in_flight_ = 0;
  return true;
}

std::uint64_t DiskQueue::CoveringToken(Index last_index) const {
  return HasChanges(last_index) ? next_token_ : in_flight_;
}

}  // namespace godwitpaddle::replication

#include "replication/disk_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace godwitpaddle::replication {

void DiskQueue::CapDurable(Index index) {
  durable_ = std::min(durable_, index);
  in_flight_last_ = std::min(in_flight_last_, index);
}

void DiskQueue::NoteTruncate(Index index) {
  CapDurable(index - 1);
  if (handed_out_ < index) return;
  truncate_from_ = std::min(truncate_from_.value_or(index), index);
  handed_out_ = index - 1;
}

void DiskQueue::NoteSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  handed_out_ = std::max(handed_out_, snapshot->index);
  snapshot_ = std::move(snapshot);
}

void DiskQueue::NoteInstall(std::shared_ptr<const Snapshot> snapshot, Index trusted) {
  CapDurable(trusted);
  truncate_from_ = std::min(truncate_from_.value_or(trusted + 1), trusted + 1);
  handed_out_ = snapshot->index;
  snapshot_ = std::move(snapshot);
}

bool DiskQueue::Dirty(Index last_index) const {
  return hard_state_ || snapshot_ || truncate_from_ || last_index > handed_out_;
}

std::optional<PersistBatch> DiskQueue::Take(const Log& log, Term term, const ReplicaId& voted_for) {
  if (in_flight_ != 0 || !Dirty(log.last_index())) return std::nullopt;
  PersistBatch batch{.token = next_token_++};
  if (hard_state_) batch.hard_state.emplace(term, voted_for);
  if (snapshot_) batch.snapshot = *snapshot_;
  batch.truncate_from = truncate_from_;
  if (log.last_index() > handed_out_) {
    batch.append =
        log.Slice(handed_out_ + 1, log.last_index(), std::numeric_limits<std::size_t>::max());
  }
  in_flight_ = batch.token;
  in_flight_last_ = log.last_index();
  handed_out_ = log.last_index();
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
  return Dirty(last_index) ? next_token_ : in_flight_;
}

}  // namespace godwitpaddle::replication

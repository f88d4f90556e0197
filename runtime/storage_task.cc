#include "runtime/storage_task.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

namespace godwitpaddle {
namespace {

// The node waits until a batch is durable, so there are never many batches in the mailbox.
constexpr std::size_t kMailboxCapacity = 1'024;

}  // namespace

bool MergeBatch(replication::PersistBatch& batch, replication::PersistBatch& next) {
  if (next.snapshot) return false;
  if (next.truncate_from) {
    const replication::Index first_removed = *next.truncate_from;
    if (batch.append.empty() || first_removed < batch.append.front().index) {
      // The truncation also removes entries on disk, unless a snapshot in the same batch already
      // replaces them.
      if (batch.truncate_from) {
        batch.truncate_from = std::min(*batch.truncate_from, first_removed);
      } else {
        batch.truncate_from = first_removed;
      }
      batch.append.clear();
    } else {
      std::erase_if(batch.append,
                    [first_removed](const auto& entry) { return entry.index >= first_removed; });
    }
    next.truncate_from.reset();
  } else if (!next.append.empty() && !batch.append.empty() &&
             next.append.front().index != batch.append.back().index + 1) {
    return false;
  }
  if (next.hard_state) batch.hard_state = std::move(next.hard_state);
  batch.append.insert(batch.append.end(), std::make_move_iterator(next.append.begin()),
                      std::make_move_iterator(next.append.end()));
  batch.token = next.token;
  return true;
}

StorageTask::StorageTask(Handlers handlers)
    : Task("storage", kMailboxCapacity), handlers_(std::move(handlers)) {}

StorageTask::~StorageTask() { Stop(); }

void StorageTask::Handle(replication::PersistBatch batch) {
  if (pending_ && MergeBatch(*pending_, batch)) return;
  WritePending();
  pending_ = std::move(batch);
}

void StorageTask::EndRound() { WritePending(); }

void StorageTask::WritePending() {
  if (!pending_ || failed_) return;
  try {
    handlers_.write(*pending_);
    const std::uint64_t token = pending_->token;
    pending_.reset();
    handlers_.synced(token);
  } catch (const std::exception& error) {
    failed_ = true;
    handlers_.failed(error.what());
  }
}

}  // namespace godwitpaddle

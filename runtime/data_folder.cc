#include "runtime/data_folder.h"

#include <algorithm>
#include <exception>
#include <thread>
#include <utility>

#include "runtime/log.h"

namespace godwitpaddle {
namespace {

/// Whether the folder is empty, or a first start wrote only the term of the initial state.
bool PrecedesInitial(const replication::StoredState& stored,
                     const replication::StoredState& initial) {
  return !stored.snapshot && stored.log.empty() && stored.voted_for == initial.voted_for &&
         stored.term <= initial.term;
}

}  // namespace

DataFolder::DataFolder(DataFolderOptions options)
    : options_(std::move(options)),
      storage_(std::make_unique<replication::FileStorage>(options_.folder, options_.initial_id)) {
  stored_ = storage_->TakeStored();
  if (!options_.initial.snapshot || !PrecedesInitial(stored_, options_.initial)) return;
  stored_ = options_.initial;
  storage_->Write(
      {.hard_state = {{stored_.term, stored_.voted_for}}, .snapshot = stored_.snapshot});
}

void DataFolder::Write(replication::PersistBatch batch) {
  bool failing = false;
  while (!closing_) {
    try {
      if (!storage_) Reopen(batch);
      storage_->Write(batch);
      if (failing) LogEvent(Severity::kInfo, "disk_regained", {{"folder", options_.folder}});
      return;
    } catch (const std::exception& error) {
      if (!failing) {
        LogEvent(Severity::kError, "disk_lost",
                 {{"folder", options_.folder}, {"reason", error.what()}});
      }
      failing = true;
      storage_.reset();
      std::this_thread::sleep_for(options_.retry_delay);
    }
  }
}

void DataFolder::Reopen(replication::PersistBatch& batch) {
  storage_ = std::make_unique<replication::FileStorage>(options_.folder);
  storage_->TakeStored();
  if (!batch.append.empty()) {
    const replication::Index first = batch.append.front().index;
    batch.truncate_from = std::min(batch.truncate_from.value_or(first), first);
  }
}

}  // namespace godwitpaddle

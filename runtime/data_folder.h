#ifndef GODWITPADDLE_RUNTIME_DATA_FOLDER_H_
#define GODWITPADDLE_RUNTIME_DATA_FOLDER_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "replication/replica.h"
#include "replication/storage.h"

namespace godwitpaddle {

struct DataFolderOptions {
  std::string folder;
  replication::ReplicaId initial_id;  // id of a new folder; empty: a random id
  /// Written to a folder that holds no state yet, or only a part of this one; no snapshot: nothing
  /// is written.
  replication::StoredState initial;
  std::chrono::milliseconds retry_delay{300};
};

/// The data folder of a core node. Retries a failed write until it succeeds; until then the replica
/// neither votes nor acknowledges entries.
class DataFolder {
 public:
  /// Throws replication::StorageError if the folder cannot be opened or the initial state cannot be
  /// written.
  explicit DataFolder(DataFolderOptions options);

  const replication::ReplicaId& replica_id() const { return storage_->replica_id(); }
  /// Returns the state at the start; empty from the second call on.
  replication::StoredState TakeStored() { return std::exchange(stored_, {}); }
  /// Writes and syncs the batch. Returns when it is durable, or after Close without it. One thread
  /// writes at a time.
  void Write(replication::PersistBatch batch);
  /// Ends the retries of Write. Called from any thread.
  void Close() { closing_ = true; }

 private:
  /// Reopens the storage after a failed write and extends `batch` so that it first truncates the
  /// entries that its failed attempt may have left in the log.
  void Reopen(replication::PersistBatch& batch);

  const DataFolderOptions options_;
  std::unique_ptr<replication::FileStorage> storage_;
  replication::StoredState stored_;
  std::atomic<bool> closing_{false};
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_DATA_FOLDER_H_

#ifndef GODWITPADDLE_REPLICATION_STORAGE_H_
#define GODWITPADDLE_REPLICATION_STORAGE_H_

#include <memory>
#include <stdexcept>
#include <string>

#include "replication/replica.h"

namespace godwitpaddle::replication {

/// The data folder cannot be used: another process has locked it, or it is damaged, full or not
/// writable.
class StorageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The files of one replica in its data folder: identity, hard state (term and vote), log segments
/// and snapshots. The folder is locked for the lifetime of the object. Not thread-safe.
class FileStorage {
 public:
  /// Opens or creates the folder. A new folder gets the id `new_id`, or a random id if that is
  /// empty. Cuts off a torn write at the end of the log. Throws StorageError on any other damage,
  /// or if the folder cannot be used.
  explicit FileStorage(const std::string& folder, ReplicaId new_id = {});
  ~FileStorage();

  /// The id that the folder got when it was created.
  const ReplicaId& replica_id() const;
  /// Returns what the folder held when it was opened; empty from the second call on.
  StoredState TakeStored();
  /// Writes and syncs the batch. If it throws StorageError, the object must not be used any more.
  void Write(const PersistBatch& batch);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_STORAGE_H_

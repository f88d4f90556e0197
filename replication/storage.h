#ifndef GODWITPADDLE_REPLICATION_STORAGE_H_
#define GODWITPADDLE_REPLICATION_STORAGE_H_

#include <memory>
#include <stdexcept>
#include <string>

#include "replication/replica.h"

namespace godwitpaddle::replication {

/// The data folder cannot be used: locked by another process, damaged, full or not writable.
class StorageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Files of one replica under one data folder: identity, hard state, log segments, snapshots. The
/// folder stays locked while the object lives. One thread at a time.
class FileStorage {
 public:
  /// Opens or creates the folder. A new folder gets `new_id`, or a random id when it is empty.
  /// Throws StorageError.
  explicit FileStorage(const std::string& folder, ReplicaId new_id = {});
  ~FileStorage();

  /// The id written when the folder was created.
  const ReplicaId& replica_id() const;
  /// What the folder held when it was opened. A torn tail has been cut; other damage throws at
  /// opening.
  StoredState TakeStored();
  /// Writes the batch and syncs it. Throws StorageError; after that the object must not be used.
  void Write(const PersistBatch& batch);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_STORAGE_H_

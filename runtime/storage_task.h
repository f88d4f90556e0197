#ifndef GODWITPADDLE_RUNTIME_STORAGE_TASK_H_
#define GODWITPADDLE_RUNTIME_STORAGE_TASK_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "replication/replica.h"
#include "runtime/task.h"

namespace godwitpaddle {

/// Merges `next` into `batch`, so that writing the result has the same effect as writing both in
/// order. Returns false, and changes neither, if that is not possible.
bool MergeBatch(replication::PersistBatch& batch, replication::PersistBatch& next);

/// Writes batches to the disk in its own thread. Batches that queue up during a sync are merged and
/// written with the next sync.
class StorageTask : public Task<replication::PersistBatch> {
 public:
  struct Handlers {
    /// Writes and syncs; throws replication::StorageError.
    std::function<void(const replication::PersistBatch&)> write;
    /// Called when the batch with this token and all earlier ones are durable.
    std::function<void(std::uint64_t token)> synced;
    /// Called once, with the reason, when a write fails. Nothing is written after a failure.
    std::function<void(const std::string& reason)> failed;
  };

  explicit StorageTask(Handlers handlers);
  ~StorageTask() override;

 private:
  void Handle(replication::PersistBatch batch) override;
  void EndRound() override;
  void WritePending();

  const Handlers handlers_;
  std::optional<replication::PersistBatch> pending_;
  bool failed_ = false;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_STORAGE_TASK_H_

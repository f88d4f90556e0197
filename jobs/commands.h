#ifndef GODWITPADDLE_JOBS_COMMANDS_H_
#define GODWITPADDLE_JOBS_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jobs/types.h"

/// Records of the replicated log. Each is applied in order on every core node.
namespace godwitpaddle::jobs {

/// Puts a configuration in force unless a higher or equal version is.
struct Configure {
  Configuration configuration;
  MSGPACK_DEFINE(configuration)
};

/// Accepts a job under the key that came with it.
struct Submit {
  JobId job = 0;
  std::string queue;
  std::string key;
  std::int64_t wall_ms = 0;  // leader's Unix time
  JobSpec spec;
  MSGPACK_DEFINE(job, queue, key, wall_ms, spec)
};

struct Cancel {
  JobId job = 0;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(job, wall_ms)
};

/// Gives a task to a worker. The run number is the one after the task's last.
struct Assign {
  TaskId task;
  std::uint32_t run = 0;
  WorkerId worker;
  MSGPACK_DEFINE(task, run, worker)
};

/// A run has ended. `number` is the worker's count of ends, 0 where the leader concluded the end
/// without the worker.
struct RecordEnd {
  WorkerId worker;
  std::int64_t incarnation_ms = 0;
  std::uint64_t number = 0;
  TaskId task;
  std::uint32_t run = 0;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(worker, incarnation_ms, number, task, run, kind, checkpoint, wall_ms)
};

/// A worker is new, has changed or has another incarnation.
struct RecordWorker {
  WorkerRecord record;
  MSGPACK_DEFINE(record)
};

/// A worker is gone for good and nothing runs on it.
struct RemoveWorker {
  WorkerId worker;
  std::int64_t incarnation_ms = 0;
  MSGPACK_DEFINE(worker, incarnation_ms)
};

/// Planned maintenance of these VMs, at most `max_down` at once.
struct StartWave {
  WaveId wave = 0;
  std::vector<VmId> vms;
  std::int64_t duration_ms = 0;
  std::uint32_t max_down = 1;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(wave, vms, duration_ms, max_down, wall_ms)
};

/// Maintenance of the VM has begun, or the VM has left the platform.
struct RecordMaintenance {
  WaveId wave = 0;
  VmId vm;
  MSGPACK_DEFINE(wave, vm)
};

/// The leader is about to give the platform an order for this VM. A later leader waits until the
/// order has certainly arrived or never will.
struct RecordVmOrder {
  VmId vm;
  std::uint64_t fencing_token = 0;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(vm, fencing_token, wall_ms)
};

using Command = std::variant<Configure, Submit, Cancel, Assign, RecordEnd, RecordWorker,
                             RemoveWorker, StartWave, RecordMaintenance, RecordVmOrder>;

/// What applying a command came to, for whoever asked for it.
enum class ApplyOutcome : std::uint8_t {
  kApplied,
  kNoQueue,  // no such queue
  kBadKey,   // the key belongs to no team
  kNoSuchJob,
  kJobTableFull,  // the job table is full
  kRejected,      // it contradicts the state; nothing was changed
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_COMMANDS_H_

#ifndef GODWITPADDLE_JOBS_COMMANDS_H_
#define GODWITPADDLE_JOBS_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jobs/types.h"

/// Commands of the replicated log. Every core node applies them in the order of the log.
namespace godwitpaddle::jobs {

/// An operator's order about an availability zone.
struct ZoneOrder {
  std::string zone;        // empty: no order
  bool evacuated = false;  // whether tasks are kept out of the zone from now on
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(zone, evacuated, wall_ms)
};

/// Puts a configuration in force, unless one of the same or a higher version is in force already.
/// With a `zone_order`, carries out that order instead; the configuration is then empty. Nodes of
/// earlier versions do not read the order, and ignore an empty configuration, whose version is 0.
struct Configure {
  Configuration configuration;
  ZoneOrder zone_order;
  MSGPACK_DEFINE(configuration, zone_order)

  bool is_zone_order() const { return !zone_order.zone.empty(); }
};

/// Accepts a job if the key that the client sent with it is valid. The leader proposes it against
/// the configuration that is in force when the command is applied, so that nodes which find the
/// queue by its name, as those of earlier versions do, apply the same.
struct Submit {
  JobId job = 0;
  std::string queue;  // name
  std::string key;
  std::int64_t wall_ms = 0;  // Unix time by the leader's clock
  JobSpec spec;
  // Of the queue; both empty if a leader of an earlier version proposed the command.
  std::string host;
  std::string prefix;
  MSGPACK_DEFINE(job, queue, key, wall_ms, spec, host, prefix)
};

/// Cancels the job that was accepted at the path, unless it has ended already. If there is none, no
/// job is accepted at the path for some time: its Submit may be on its way.
struct Cancel {
  JobId job = 0;
  std::int64_t wall_ms = 0;  // Unix time by the leader's clock
  // Of the path; both empty if a leader of an earlier version proposed the command.
  std::string host;
  std::string prefix;
  MSGPACK_DEFINE(job, wall_ms, host, prefix)

  JobPath path() const { return {.host = host, .prefix = prefix, .job = job}; }
  bool has_path() const { return !host.empty() || !prefix.empty(); }
};

/// Assigns a waiting task to a worker. The run number must exceed that of the task's latest run.
struct Assign {
  TaskId task;
  std::uint32_t run = 0;
  WorkerId worker;
  MSGPACK_DEFINE(task, run, worker)
};

/// Records that a run has ended. `number` is the sequence number that the worker gave to the end; 0
/// if the leader concluded the end without a report of the worker.
struct RecordEnd {
  WorkerId worker;
  std::int64_t incarnation_ms = 0;
  std::uint64_t number = 0;
  TaskId task;
  std::uint32_t run = 0;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
  std::int64_t wall_ms = 0;
  /// A long-running task had worked for a while in this run: if its worker crashed, the task is not
  /// the cause.
  bool had_worked = false;
  /// The leader knew that the worker had begun the run. Certain too if `number` is set.
  bool begun = false;
  /// This leader sent the start, and the worker has neither answered it nor listed the run:
  /// probably it has not begun the run.
  bool unanswered = false;
  /// The worker is known to have gone on for a while after it had begun the run: if it crashed, the
  /// start is not the cause.
  bool survived_start = false;
  MSGPACK_DEFINE(worker, incarnation_ms, number, task, run, kind, checkpoint, wall_ms, had_worked,
                 begun, unanswered, survived_start)
};

/// Adds a worker, or updates its record or incarnation.
struct RecordWorker {
  WorkerRecord record;
  /// The previous incarnation, or the previous worker on the VM, had left or was taken down by an
  /// order, so it did not crash.
  bool planned = false;
  std::uint64_t sequence = 0;  // of the heartbeat; 0: not from a heartbeat
  /// Unix time at which an order was answered by a later incarnation, of which no more is known
  /// yet; 0: the record describes the worker. The rest of the command is without effect then.
  std::int64_t restart_seen_ms = 0;
  MSGPACK_DEFINE(record, planned, sequence, restart_seen_ms)
};

/// Removes a worker that will not return and that has no assigned tasks.
struct RemoveWorker {
  WorkerId worker;
  std::int64_t incarnation_ms = 0;
  MSGPACK_DEFINE(worker, incarnation_ms)
};

/// Starts the planned maintenance of these VMs, at most `max_down` of them at the same time.
struct StartWave {
  WaveId wave = 0;
  std::vector<VmId> vms;
  std::int64_t duration_ms = 0;
  std::uint32_t max_down = 1;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(wave, vms, duration_ms, max_down, wall_ms)
};

/// Records that the maintenance of the VM has started, or that the VM has left the platform.
struct RecordMaintenance {
  WaveId wave = 0;
  VmId vm;
  MSGPACK_DEFINE(wave, vm)
};

/// Records that the leader is about to send the platform an order for this VM. A later leader waits
/// until this order has arrived or can no longer arrive.
struct RecordVmOrder {
  VmId vm;
  std::uint64_t fencing_token = 0;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(vm, fencing_token, wall_ms)
};

using Command = std::variant<Configure, Submit, Cancel, Assign, RecordEnd, RecordWorker,
                             RemoveWorker, StartWave, RecordMaintenance, RecordVmOrder>;

/// Result of applying a command, for the requester of the command.
enum class ApplyOutcome : std::uint8_t {
  kApplied,
  kNoQueue,  // the queue does not exist
  kBadKey,   // the key belongs to no team
  kNoSuchJob,
  kCancelledBefore,  // a Cancel of the job was applied before its Submit
  kJobTableFull,     // StateOptions::max_jobs or max_early_cancels is reached
  kRejected,         // the command contradicts the state, which is unchanged
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_COMMANDS_H_

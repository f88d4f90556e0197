#ifndef GODWITPADDLE_JOBS_TYPES_H_
#define GODWITPADDLE_JOBS_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/enum_names.h"
#include "base/time.h"

namespace godwitpaddle::jobs {

/// Identifies a job. Submitting the same id again refers to the same job.
using JobId = std::uint64_t;
using WorkerId = std::string;
using VmId = std::string;
using WaveId = std::uint64_t;

/// Resources that a task needs, that a worker offers or that a team may use.
struct Resources {
  std::int64_t cpu = 0;  // in thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  MSGPACK_DEFINE(cpu, memory_mb, accelerators)

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool operator==(const Resources&) const = default;
  /// Returns whether each of the three amounts is at most that of `room`.
  bool FitsInto(const Resources& room) const;
};

Resources operator+(Resources a, const Resources& b);
Resources operator-(Resources a, const Resources& b);

/// A group of identical tasks of one job.
struct Step {
  std::uint32_t count = 1;
  Resources size;
  std::int64_t estimate_ms = 0;           // run time of a task, roughly, declared by the client
  std::vector<std::uint32_t> depends_on;  // indexes of earlier steps that must be done first
  bool checkpoints = false;               // a run can resume from an earlier run's checkpoint
  bool gang = false;                      // the tasks run all at the same time or not at all
  bool same_rack = false;                 // the tasks are slower when spread over several racks
  bool speculative = false;               // several copies of a task may run in parallel
  bool long_running = false;              // runs until the job is cancelled
  bool best_effort_cpu = false;           // reserves no CPU; uses what other tasks leave idle
  std::string required_label;             // label that the worker must have; empty: any worker
  std::string data_rack;              // rack with the input data; tasks are slower on other racks
  std::string image;                  // program of the task; tasks with the same image behave alike
  std::uint32_t max_per_worker = 0;   // limit of the step's tasks on one worker; 0: no limit
  std::int64_t target_ms = 0;         // limit of a long-running task's tail response time; 0: none
  std::uint32_t max_unavailable = 0;  // tasks that planned operations may interrupt at once; 0: any
  MSGPACK_DEFINE(count, size, estimate_ms, depends_on, checkpoints, gang, same_rack, speculative,
                 long_running, best_effort_cpu, required_label, data_rack, image, max_per_worker,
                 target_ms, max_unavailable)

  /// Returns the resources that one task reserves on its worker.
  Resources footprint() const;
};

/// A job as the client submits it.
struct JobSpec {
  std::string payload;  // passed to the workers unchanged
  std::vector<Step> steps;
  std::uint32_t repeat_count = 0;  // number of occurrences; 0: runs once, immediately
  std::int64_t first_due_ms = 0;   // Unix time of the first occurrence
  std::int64_t interval_ms = 0;    // time between two occurrences
  MSGPACK_DEFINE(payload, steps, repeat_count, first_due_ms, interval_ms)

  std::uint32_t occurrences() const { return repeat_count == 0 ? 1 : repeat_count; }
};

/// One task of a job.
struct TaskId {
  JobId job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
  MSGPACK_DEFINE(job, occurrence, step, index)
};

/// Returns "JOB.OCCURRENCE.STEP.INDEX", with the job id as 16 hexadecimal digits.
std::string FormatTask(const TaskId& task);
std::optional<TaskId> ParseTask(const std::string& text);
/// Returns "JOB.OCCURRENCE.STEP" for the step of the task.
std::string FormatStep(const TaskId& task);
/// Formats the steps for a log line: "COUNTxCPUc/MEMORYm/ESTIMATEms" for each step, separated by
/// commas, followed by "<N" for each earlier step that it depends on and by "*" if it is
/// long-running. The CPU is in thousandths of a core, the memory in MiB.
std::string FormatSteps(const std::vector<Step>& steps);
/// Hexadecimal digits of a job's id.
inline constexpr std::size_t kJobDigits = 16;
std::string FormatJob(JobId job);
std::optional<JobId> ParseJob(const std::string& text);

/// Where a job is submitted. It names the job in every later call, whatever queues there are then.
struct JobPath {
  std::string host;
  std::string prefix;  // of the queue that accepts, or accepted, the job
  JobId job = 0;
  auto operator<=>(const JobPath&) const = default;
  MSGPACK_DEFINE(host, prefix, job)
};

/// Returns "PREFIX" + "JOB", the path of calls about the job.
std::string FormatPath(const JobPath& path);
/// Splits the path of a call before the job's id; nothing if it does not end with one.
std::optional<JobPath> ParseJobPath(const std::string& host, const std::string& path);

// ---- configuration ----

/// A URL prefix at which clients submit jobs, with the policy for these jobs. Host and prefix
/// identify it: calls name nothing else, and the next configuration may rename it.
struct Queue {
  std::string name;  // for log lines, and for nodes of earlier versions
  std::string host;
  std::string prefix;
  std::string service;                 // service whose workers run the tasks
  int priority = 0;                    // 0 is the highest
  std::uint32_t attempts = 1;          // failed runs of a task after which its job fails
  double stretch = 1.0;                // a job's objective is this times its critical path
  std::int64_t target_latency_ms = 0;  // plus this time; see `stretch`
  std::int64_t timeout_ms = 0;         // limit for one client call
  bool open = false;                   // clients need no key
  bool requires_ticket = false;        // a start needs a ticket of the queue's policy service
  MSGPACK_DEFINE(name, host, prefix, service, priority, attempts, stretch, target_latency_ms,
                 timeout_ms, open, requires_ticket)
};

struct Service {
  std::string name;
  bool enforces_capacity = false;  // its workers refuse tasks that exceed their capacity
  bool standby = false;            // its VMs are switched off and cost nothing
  MSGPACK_DEFINE(name, enforces_capacity, standby)
};

struct Team {
  std::string name;
  std::vector<std::string> keys;
  double weight = 1;  // relative share when demand exceeds the capacity
  Resources limit;    // for all its running tasks; an amount of 0: no limit
  MSGPACK_DEFINE(name, keys, weight, limit)
};

/// A complete configuration. The one with the highest version is in force.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Team> teams;
  std::string document;  // the text that the operator sent, unchanged
  MSGPACK_DEFINE(version, queues, services, teams, document)
};

/// Returns a message about the first error, or an empty string if the configuration is valid.
std::string CheckConfiguration(const Configuration& configuration);

/// Returns the queue of `host` whose prefix is the longest that `path` begins with; null if none.
const Queue* FindQueue(const Configuration& configuration, const std::string& host,
                       const std::string& path);
/// Returns the queue with exactly this host and prefix; null if there is none.
const Queue* FindQueueAt(const Configuration& configuration, const std::string& host,
                         const std::string& prefix);
/// Returns the first queue with the name; null if there is none. Names are not unique.
const Queue* FindQueueByName(const Configuration& configuration, const std::string& name);
const Service* FindService(const Configuration& configuration, const std::string& name);
const Team* FindTeamByKey(const Configuration& configuration, const std::string& key);

// ---- workers ----

enum class WorkerPhase : std::uint8_t { kReady, kDraining };

/// A worker's description of itself, sent with its heartbeats.
struct WorkerRecord {
  WorkerId id;
  std::int64_t incarnation_ms = 0;  // Unix time of its start; distinguishes incarnations of one id
  std::string address;
  std::string service;
  std::string zone;
  VmId vm;
  std::vector<std::string> labels;  // the kind of VM, then the rack
  Resources capacity;
  WorkerPhase phase = WorkerPhase::kReady;
  MSGPACK_DEFINE(id, incarnation_ms, address, service, zone, vm, labels, capacity, phase)

  std::string rack() const { return labels.size() < 2 ? std::string() : labels[1]; }
  bool operator==(const WorkerRecord& other) const;
};

/// How a run ended.
enum class EndKind : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,    // the worker stopped it because its lease expired
  kGangBroken,      // another task of its gang ended
  kGangIncomplete,  // the other tasks of its gang did not start
  kLost,            // certainly not running any more, though no worker reported its end
  kRefused,         // the worker refused to start it
};
inline constexpr EnumNames<8> kEndKindNames = {"done",   "failed", "stopped", "lapsed",
                                               "broken", "alone",  "lost",    "refused"};

enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,  // a task is assigned, or a worker has begun one
  kCompleted,
  kFailed,
  kCancelled,
};
inline constexpr EnumNames<5> kJobPhaseNames = {"queued", "running", "completed", "failed",
                                                "cancelled"};

}  // namespace godwitpaddle::jobs

MSGPACK_ADD_ENUM(godwitpaddle::jobs::WorkerPhase)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::EndKind)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::JobPhase)

#endif  // GODWITPADDLE_JOBS_TYPES_H_

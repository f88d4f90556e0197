#ifndef GODWITPADDLE_JOBS_TYPES_H_
#define GODWITPADDLE_JOBS_TYPES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/enum_names.h"
#include "base/time.h"

namespace godwitpaddle::jobs {

/// The client's id of a job; the same id always names the same job.
using JobId = std::uint64_t;
using WorkerId = std::string;
using VmId = std::string;
using WaveId = std::uint64_t;

/// What a task needs, or what a worker or a team may have in use.
struct Resources {
  std::int64_t cpu = 0;  // thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
  MSGPACK_DEFINE(cpu, memory_mb, accelerators)

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /// Whether every part is at most that of `room`.
  bool FitsInto(const Resources& room) const;
};

Resources operator+(Resources a, const Resources& b);
Resources operator-(Resources a, const Resources& b);

/// Tasks of one job that are alike.
struct Step {
  std::uint32_t count = 1;
  Resources size;
  std::int64_t estimate_ms = 0;           // declared by the client; rough
  std::vector<std::uint32_t> depends_on;  // earlier steps that must be done
  bool checkpoints = false;               // a later run may go on from a saved point
  bool gang = false;                      // the tasks run only together
  bool same_rack = false;                 // slower when spread over racks
  bool speculative = false;               // copies may run in parallel
  bool long_running = false;              // runs until the job is cancelled
  bool best_effort_cpu = false;           // its cpu takes what others leave unused
  std::string required_label;
  std::string data_rack;              // slower on other racks
  std::string image;                  // tasks of one image behave alike
  std::uint32_t max_per_worker = 0;   // 0: no limit
  std::int64_t target_ms = 0;         // bound of a lasting task's tail response time; 0: none
  std::uint32_t max_unavailable = 0;  // tasks that planned work may take away at once; 0: no bound
  MSGPACK_DEFINE(count, size, estimate_ms, depends_on, checkpoints, gang, same_rack, speculative,
                 long_running, best_effort_cpu, required_label, data_rack, image, max_per_worker,
                 target_ms, max_unavailable)

  /// What a task takes of its worker's room.
  Resources footprint() const;
};

/// What a client hands in.
struct JobSpec {
  std::string payload;  // handed to the workers unchanged
  std::vector<Step> steps;
  std::uint32_t repeat_count = 0;  // 0: runs once, at once
  std::int64_t first_due_ms = 0;   // Unix time of the first occurrence
  std::int64_t interval_ms = 0;    // between occurrences
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

/// "JOB.OCCURRENCE.STEP.INDEX", with the job in 16 hexadecimal digits.
std::string FormatTask(const TaskId& task);
std::optional<TaskId> ParseTask(const std::string& text);
/// "JOB.OCCURRENCE.STEP" of the task.
std::string FormatStep(const TaskId& task);
/// For a log line: "COUNTxCPUc/MEMORYm/ESTIMATEms" for each step, separated by commas, followed by
/// "<N" for each earlier step that it waits for and by "*" when it lasts. Cpu is in thousandths of
/// a core, memory in MiB.
std::string FormatSteps(const std::vector<Step>& steps);
std::string FormatJob(JobId job);
std::optional<JobId> ParseJob(const std::string& text);

// ---- configuration ----

/// Where jobs of one kind are handed in.
struct Queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;                 // its workers run the tasks
  int priority = 0;                    // 0 comes first
  std::uint32_t attempts = 1;          // failed runs after which a task has failed for good
  double stretch = 1.0;                // objective: this times the job's longest chain of work
  std::int64_t target_latency_ms = 0;  // plus this
  std::int64_t timeout_ms = 0;         // of one call
  bool open = false;                   // needs no key
  bool requires_ticket = false;        // starts need a ticket of the queue's own policy service
  MSGPACK_DEFINE(name, host, prefix, service, priority, attempts, stretch, target_latency_ms,
                 timeout_ms, open, requires_ticket)
};

struct Service {
  std::string name;
  bool enforces_capacity = false;  // its workers refuse what does not fit
  bool standby = false;            // its VMs are off and cost nothing
  MSGPACK_DEFINE(name, enforces_capacity, standby)
};

struct Team {
  std::string name;
  std::vector<std::string> keys;
  double weight = 1;  // share when all is full
  Resources limit;    // of all its running tasks; a part of 0 is unlimited
  MSGPACK_DEFINE(name, keys, weight, limit)
};

/// A complete configuration; the highest version is in force.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Team> teams;
  std::string document;  // as the operator sent it
  MSGPACK_DEFINE(version, queues, services, teams, document)
};

/// Says what is wrong with the configuration; empty when it is valid.
std::string CheckConfiguration(const Configuration& configuration);

/// The queue with the longest prefix that `path` begins with.
const Queue* FindQueue(const Configuration& configuration, const std::string& host,
                       const std::string& path);
const Queue* FindQueueByName(const Configuration& configuration, const std::string& name);
const Service* FindService(const Configuration& configuration, const std::string& name);
const Team* FindTeamByKey(const Configuration& configuration, const std::string& key);
const Team* FindTeam(const Configuration& configuration, const std::string& name);

// ---- workers ----

enum class WorkerPhase : std::uint8_t { kReady, kDraining };

/// What a worker says of itself.
struct WorkerRecord {
  WorkerId id;
  std::int64_t incarnation_ms = 0;  // Unix time of its start; tells incarnations with one id apart
  std::string address;
  std::string service;
  std::string zone;
  VmId vm;
  std::vector<std::string> labels;  // kind, then rack
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
  kLeaseExpired,    // its lease ran out
  kGangBroken,      // another member of its gang ended
  kGangIncomplete,  // its gang did not come together
  kLost,            // certain not to run any more, though no worker said so
  kRefused,         // the worker did not start it
};
inline constexpr EnumNames<8> kEndKindNames = {"done",   "failed", "stopped", "lapsed",
                                               "broken", "alone",  "lost",    "refused"};

enum class JobPhase : std::uint8_t { kQueued, kRunning, kCompleted, kFailed, kCancelled };
inline constexpr EnumNames<5> kJobPhaseNames = {"queued", "running", "completed", "failed",
                                                "cancelled"};

}  // namespace godwitpaddle::jobs

MSGPACK_ADD_ENUM(godwitpaddle::jobs::WorkerPhase)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::EndKind)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::JobPhase)

#endif  // GODWITPADDLE_JOBS_TYPES_H_

#ifndef GODWITPADDLE_JOBS_STATE_H_
#define GODWITPADDLE_JOBS_STATE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/commands.h"
#include "jobs/early_cancels.h"
#include "jobs/known_queues.h"
#include "jobs/known_teams.h"
#include "jobs/types.h"

namespace godwitpaddle::jobs {

enum class TaskPhase : std::uint8_t { kWaiting, kAssigned, kDone };
inline constexpr EnumNames<3> kTaskPhaseNames = {"waiting", "assigned", "done"};

/// Whether the worker of a task's current run crashed during that run.
enum class CrashMark : std::uint8_t {
  kNone,
  kBesideOthers,  // with other tasks on the worker, any of which may be the cause
  kAlone,
};

/// A task is given up once this many workers have crashed under it while it was alone on them. An
/// innocent one may have been on two workers that crashed for another reason.
inline constexpr std::size_t kMaxCrashesAlone = 3;
/// A task is given up once this many workers have crashed under it, alone or not.
inline constexpr std::size_t kMaxCrashes = 4;
/// A task that may have crashed this many workers is not started again for kCrashHoldMs, unless it
/// becomes known before whether they have crashed. At most two starts may follow three crashes.
inline constexpr std::size_t kMaxLossesWithoutHold = 4;
inline constexpr std::int64_t kCrashHoldMs = 12'000;
/// Crashes, known and possible, from which on a task is given up under which this many workers are
/// known to have crashed.
inline constexpr std::size_t kMaxPossibleCrashes = 5;
inline constexpr std::size_t kKnownAmongPossible = 2;
/// First pause of a long-running task after kMaxCrashesAlone crashes right after its starts, alone
/// or not. Its job never fails: the other tasks of the step are at work.
inline constexpr std::int64_t kCrashPauseMs = 12'000;
inline constexpr std::size_t kMaxPauseDoublings = 4;

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t run = 0;          // number of the latest run; 0: none yet
  std::uint32_t failed_runs = 0;  // number of runs recorded as failed
  WorkerId worker;                // set while the task is assigned
  std::string checkpoint;         // latest one recorded, for the next run; empty: none
  /// An abandoned run has ended as done; the task is done once the current run has ended.
  bool done_by_earlier_run = false;
  /// Numbers of the runs counted in `failed_runs`: a worker may list an end twice.
  std::set<std::uint32_t> counted_failures;
  CrashMark crash = CrashMark::kNone;  // of the current run
  /// Numbers of the runs during which the worker crashed, and of those among them that were alone
  /// on it.
  std::set<std::uint32_t> crashes;
  std::set<std::uint32_t> crashes_alone;
  /// Numbers of the runs that were lost with workers of which it is not known whether they crashed.
  std::set<std::uint32_t> unexplained_losses;
  std::int64_t lost_ms = 0;  // Unix time of the latest loss
  /// Numbers of the runs whose workers crashed and have probably not begun them.
  std::set<std::uint32_t> possible_crashes;
  /// Those among `crashes` that are not known to have survived their start.
  std::set<std::uint32_t> start_crashes;
  MSGPACK_DEFINE(phase, run, failed_runs, worker, checkpoint, done_by_earlier_run, counted_failures,
                 crash, crashes, crashes_alone, unexplained_losses, lost_ms, possible_crashes,
                 start_crashes)

  /// Whether the task may have crashed a worker: it is started where it can harm least.
  bool suspect() const { return !crashes.empty(); }
  /// Whether so many workers have crashed under the task that it is given up: its job fails, or, if
  /// it is long-running, it pauses.
  bool given_up() const {
    return crashes_alone.size() >= kMaxCrashesAlone || crashes.size() >= kMaxCrashes ||
           (crashes.size() >= kKnownAmongPossible &&
            crashes.size() + possible_crashes.size() >= kMaxPossibleCrashes);
  }
  /// Whether a long-running task pauses after its latest loss. The pause doubles with each crash. A
  /// task that is known to have survived its starts does not pause: it must run.
  bool paused(std::int64_t wall_ms) const {
    const std::size_t count = start_crashes.size();
    if (count < kMaxCrashesAlone) return false;
    const std::size_t doublings = std::min(count - kMaxCrashesAlone, kMaxPauseDoublings);
    return wall_ms < lost_ms + (kCrashPauseMs << doublings);
  }
  /// Whether the next start has to wait until more is known about the losses.
  bool held(std::int64_t wall_ms) const {
    return !given_up() && !unexplained_losses.empty() &&
           crashes.size() + unexplained_losses.size() >= kMaxLossesWithoutHold &&
           wall_ms < lost_ms + kCrashHoldMs;
  }
};

/// State of one step of one occurrence.
struct StepRun {
  std::vector<Task> tasks;
  std::uint32_t done = 0;      // number of tasks that are done
  std::uint32_t assigned = 0;  // number of tasks that are assigned to a worker
  MSGPACK_DEFINE(tasks, done, assigned)
};

struct Job {
  JobId id = 0;
  // The queue and the team have these names at acceptance. Later ones: State::QueueOf and TeamOf.
  std::string queue;
  std::string service;         // of the queue at acceptance
  std::string team;            // empty for open queues
  std::uint32_t attempts = 1;  // failed runs of a task after which the job fails
  JobSpec spec;
  std::int64_t critical_path_ms = 0;  // longest chain of dependent steps, by the client's estimates
  JobPhase phase = JobPhase::kQueued;
  std::int64_t accepted_ms = 0;  // Unix time
  std::int64_t ended_ms = 0;     // Unix time; 0 while the job is active
  std::vector<StepRun> steps;    // those of the first occurrence, then of the next
  std::uint32_t assigned = 0;    // number of tasks that may be running
  bool begun = false;            // the end of a run that a worker had begun was recorded
  /// 0: accepted by a node of an earlier version, which does not store where the queue is.
  QueueNumber queue_number = 0;
  TeamNumber team_number = 0;  // 0: the queue was open, or the team is unknown
  MSGPACK_DEFINE(id, queue, service, team, attempts, spec, critical_path_ms, phase, accepted_ms,
                 ended_ms, steps, assigned, begun, queue_number, team_number)

  // Derived, not stored.
  KnownQueue* known_queue = nullptr;  // set for each job of the state
  KnownTeam* known_team = nullptr;    // null: no team is known, so that no limit applies
  // What the totals of the queue count for this job.
  bool counted_as_queued = false;
  double counted_core_ms = 0;
  TeamLoad counted_load;

  bool active() const { return phase == JobPhase::kQueued || phase == JobPhase::kRunning; }
  StepRun& At(std::uint32_t occurrence, std::uint32_t step) {
    return steps.at(occurrence * spec.steps.size() + step);
  }
  const StepRun& At(std::uint32_t occurrence, std::uint32_t step) const {
    return steps.at(occurrence * spec.steps.size() + step);
  }
};

/// Returns the length of the longest chain of dependent steps, by the client's estimates.
std::int64_t CriticalPathMs(const JobSpec& spec);

/// Returns the Unix time in milliseconds from which the occurrence's objective counts. Those of a
/// repeated job do not start before it.
std::int64_t DueMs(const Job& job, std::uint32_t occurrence);

/// Whether the occurrence may start at this Unix time. One that runs once may, even if the time of
/// day was set back after its acceptance.
bool IsOccurrenceDue(const Job& job, std::uint32_t occurrence, std::int64_t wall_ms);

/// Whether a task of the step waits and the steps that it depends on are done.
bool HasStartableTask(const Job& job, std::uint32_t occurrence, std::uint32_t step);

struct Worker;

/// Whether the worker suits the task, and has room for it beside the tasks assigned to it and
/// beside what else is `planned` there.
bool HasRoom(const Job& job, const TaskId& id, const Worker& worker, const Resources& planned = {});

/// A run that was lost with a worker of which it is not known whether it crashed.
struct LostRun {
  std::uint32_t run = 0;
  std::int64_t wall_ms = 0;     // Unix time of the loss
  bool unanswered = false;      // see RecordEnd
  bool survived_start = false;  // see RecordEnd
  MSGPACK_DEFINE(run, wall_ms, unanswered, survived_start)
};

struct Worker {
  WorkerRecord record;
  std::uint64_t acknowledged_ends = 0;  // the worker may discard its ends up to this number
  std::set<TaskId> tasks;               // assigned to the worker
  Resources used;                       // reserved by these tasks
  bool restarted = false;               // an earlier incarnation had the same id
  std::map<TaskId, LostRun> lost_runs;  // of this incarnation
  std::uint64_t sequence = 0;           // of the heartbeat that changed the record last
  std::int64_t restart_seen_ms = 0;     // see RecordWorker; 0 once a later incarnation is recorded
  MSGPACK_DEFINE(record, acknowledged_ends, tasks, used, restarted, lost_runs, sequence,
                 restart_seen_ms)

  // Of the long-running ones among `tasks`. Derived, not stored.
  std::uint32_t long_running_tasks = 0;
  Resources long_running_used;
};

struct Wave {
  std::vector<VmId> vms;
  std::set<VmId> started_vms;  // maintained, in maintenance, or removed from the platform
  std::int64_t duration_ms = 0;
  std::uint32_t max_down = 1;
  std::int64_t started_ms = 0;  // Unix time
  MSGPACK_DEFINE(vms, started_vms, duration_ms, max_down, started_ms)

  bool completed() const { return started_vms.size() >= vms.size(); }
};

/// Thrown if the state violates an invariant; the process must not act on the state any more.
class StateError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

struct StateOptions {
  std::int64_t ended_retention_ms = 120'000;  // how long ended jobs can be queried
  std::size_t max_jobs = 60'000;
  std::size_t max_early_cancels = 10'000;  // cancellations of jobs that have not arrived
};

/// The replicated state: configuration, jobs, workers and maintenance waves. It depends only on the
/// sequence of applied commands, so that all core nodes have the same.
class State {
 public:
  explicit State(StateOptions options = {}) : options_(options) {}
  State(const State&) = delete;  // the indexes of a copy would point into the original
  State& operator=(const State&) = delete;
  State(State&&) = default;
  State& operator=(State&&) = default;

  /// Throws StateError if the state violates an invariant.
  ApplyOutcome Apply(const Command& command);

  std::string Encode() const;
  void Decode(const std::string& bytes);

  const Configuration& configuration() const { return configuration_; }
  const std::map<JobId, Job>& jobs() const { return jobs_; }
  const Job* FindJob(JobId id) const;
  const Task* FindTask(const TaskId& id) const;
  /// Jobs that are active or still have assigned tasks.
  const std::set<JobId>& open_jobs() const { return Scan(open_jobs_); }
  std::size_t open_job_count() const { return open_jobs_.size(); }
  /// Active jobs with a step for which HasStartableTask holds.
  const std::map<JobId, const Job*>& startable_jobs() const { return Scan(startable_jobs_); }
  std::size_t startable_job_count() const { return startable_jobs_.size(); }
  /// The startable job with the next higher id; null if there is none.
  const Job* NextStartableJob(JobId after) const;
  /// The startable jobs that have a long-running step.
  const std::map<JobId, const Job*>& startable_long_running_jobs() const {
    return Scan(startable_long_running_jobs_);
  }
  /// The job's queue as the newest configuration that has it describes it.
  static const Queue& QueueOf(const Job& job) { return job.known_queue->queue; }
  /// The job's team as the newest configuration that has it describes it, and what it uses; null
  /// if no team is known.
  static const KnownTeam* TeamOf(const Job& job) { return job.known_team; }
  /// Whether calls at the path, whose id is the job's, concern the job. If it is not known where
  /// the job was accepted, the calls at all paths do: no other job has its id.
  static bool IsJobAt(const Job& job, const JobPath& path);
  /// The job that was accepted at the path; null if there is none.
  const Job* FindJobAt(const JobPath& path) const;
  /// Whether a job at the path was cancelled before it arrived, and so is not accepted any more.
  bool IsCancelledBefore(const JobPath& path) const { return early_cancels_.Contains(path); }
  /// What is known of the jobs of the queue at this host and prefix; null if it has none.
  const KnownQueue* FindKnownQueue(const Queue& queue) const { return queues_.Find(queue); }
  /// Estimated work of open jobs by the present services of their queues, in core-milliseconds,
  /// without long-running, best-effort and repeated work. Running tasks count half.
  std::map<std::string, double> OpenCoreMs() const { return queues_.OpenCoreMs(); }
  /// What the jobs of each team use and ask for of the service; 0: jobs without a team.
  std::map<TeamNumber, TeamLoad> LoadsOf(const std::string& service) const {
    return queues_.LoadsOf(service);
  }
  /// The team with this number; null if it is not known any more.
  const KnownTeam* FindTeam(TeamNumber number) const { return teams_.FindByNumber(number); }
  /// The team of the configuration that has the key; null if there is none.
  const KnownTeam* FindTeamOfKey(const std::string& key) const { return teams_.FindByKey(key); }
  const std::map<WorkerId, Worker>& workers() const { return Scan(workers_); }
  std::size_t worker_count() const { return workers_.size(); }
  const Worker* FindWorker(const WorkerId& id) const;
  const std::set<WorkerId>& draining_workers() const { return Scan(draining_workers_); }
  /// The workers that reported from the VM, in the order of their ids.
  const std::set<WorkerId>& WorkersOnVm(const VmId& vm) const;
  const std::map<WaveId, Wave>& waves() const { return waves_; }
  /// The zones that tasks are kept out of, with the Unix time of the order.
  const std::map<std::string, std::int64_t>& evacuated_zones() const { return evacuated_zones_; }
  bool IsEvacuated(const std::string& zone) const { return evacuated_zones_.contains(zone); }
  /// The latest move or maintenance order of the VM; null if there is none. Orders older than a
  /// minute may be missing.
  const RecordVmOrder* FindVmOrder(const VmId& vm) const;
  /// Number of records in the collections that callers got to walk over, or that the state walked
  /// over itself, since its construction. A cost that does not depend on the machine: it must
  /// follow what changes and not what exists.
  std::uint64_t scanned() const { return scanned_; }
  /// Counts records that a caller walked over in an index of its own.
  void CountScanned(std::size_t records) const { scanned_ += records; }

 private:
  /// Counts the records of the collection as scanned.
  template <typename Collection>
  const Collection& Scan(const Collection& collection) const {
    scanned_ += collection.size();
    return collection;
  }

  ApplyOutcome ApplyOne(const Configure& command);
  void ApplyZoneOrder(const ZoneOrder& order);
  ApplyOutcome ApplyOne(const Submit& command);
  ApplyOutcome ApplyOne(const Cancel& command);
  /// Applies a cancellation of a job that is not known.
  ApplyOutcome ApplyEarlyCancel(const Cancel& command);
  ApplyOutcome ApplyOne(const Assign& command);
  ApplyOutcome ApplyOne(const RecordEnd& command);
  ApplyOutcome ApplyOne(const RecordWorker& command);
  ApplyOutcome ApplyOne(const RemoveWorker& command);
  ApplyOutcome ApplyOne(const StartWave& command);
  ApplyOutcome ApplyOne(const RecordMaintenance& command);
  ApplyOutcome ApplyOne(const RecordVmOrder& command);

  bool MayStart(const Job& job, const TaskId& id, const Worker& worker) const;
  Task* MutableTask(const TaskId& id);
  void Unassign(Job& job, const TaskId& id, Task& task);
  void ApplyCurrentEnd(Job& job, const TaskId& id, Task& task, const RecordEnd& end);
  /// Applies the end of an abandoned run that its worker has reported afterwards.
  void ApplyEarlierEnd(Job& job, const TaskId& id, Task& task, const RecordEnd& end);
  void CompleteTask(Job& job, const TaskId& id, Task& task, const RecordEnd& end);
  static void CountFailure(Task& task, const RecordEnd& end);
  /// Marks the runs on the worker, which has ended, as crashed with it, unless its end was planned.
  void MarkCrash(Worker& worker, bool planned, std::int64_t restarted_ms);
  void MarkEarlierWorkers(const RecordWorker& command);
  /// Records that the run is explained: it was lost because its worker crashed, or not.
  void ExplainLoss(const TaskId& id, const LostRun& lost, CrashMark crash);
  /// Counts the crash of a worker to which the run was assigned.
  static void CountCrash(Task& task, const LostRun& lost, CrashMark crash);
  /// Counts the end of a current run that its worker did not list.
  void CountLoss(Worker& worker, Task& task, const RecordEnd& end, CrashMark crash);
  /// Applies that a task of the gang is done in `run`: all tasks of the gang are done, those that
  /// are assigned in another run once that run has ended.
  void CompleteGang(Job& job, const TaskId& id, std::uint32_t run);
  void EndJob(Job& job, JobPhase phase, std::int64_t wall_ms);
  /// Drops the spec and the steps of an ended job that has no assigned tasks left.
  void DropDetails(Job& job);
  /// Updates the indexes and totals that depend on the job.
  void UpdateIndexes(Job& job);
  /// Updates what the job's queue counts for its team.
  void UpdateLoad(Job& job);
  void UpdateStartable(const Job& job);
  /// Updates the worker's totals for a task that is assigned to it (sign 1) or no longer (sign -1).
  static void CountLongRunning(Worker& worker, const Step& step, int sign);
  /// Adds the worker to the indexes that depend on its record, or removes it from them.
  void IndexWorker(const WorkerRecord& record);
  void RemoveFromIndexes(const WorkerRecord& record);
  void RemoveExpiredJobs(std::int64_t wall_ms);
  /// Returns the queue of the configuration that the command names; null if there is none.
  const Queue* FindQueueOf(const Submit& command) const;
  /// Sets the queue and the team of a job of a snapshot.
  void LinkJob(Job& job);
  void RebuildIndexes();

  StateOptions options_;
  Configuration configuration_;
  std::map<JobId, Job> jobs_;
  std::map<WorkerId, Worker> workers_;
  std::map<VmId, RecordVmOrder> vm_orders_;
  std::map<WaveId, Wave> waves_;
  std::map<std::string, std::int64_t> evacuated_zones_;
  EarlyCancels early_cancels_;
  std::int64_t newest_wall_ms_ = 0;  // latest Unix time of an applied Submit
  KnownQueues queues_;
  KnownTeams teams_;
  // Derived from the members above.
  std::set<JobId> open_jobs_;
  std::map<JobId, const Job*> startable_jobs_;
  std::map<JobId, const Job*> startable_long_running_jobs_;
  std::unordered_map<VmId, std::set<WorkerId>> workers_on_vm_;
  std::set<WorkerId> draining_workers_;
  std::set<std::pair<std::int64_t, VmId>> vm_orders_by_time_;  // Unix time of the order
  std::set<std::pair<std::int64_t, JobId>> ended_jobs_;        // by the Unix time of their ends
  mutable std::uint64_t scanned_ = 0;
};

}  // namespace godwitpaddle::jobs

MSGPACK_ADD_ENUM(godwitpaddle::jobs::TaskPhase)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::CrashMark)

#endif  // GODWITPADDLE_JOBS_STATE_H_

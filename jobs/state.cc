#include "jobs/state.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>

namespace godwitpaddle::jobs {
namespace {

/// Nodes of earlier versions write and read the first six, eight or nine elements only.
using Snapshot = std::tuple<Configuration, std::map<JobId, Job>, std::map<WorkerId, Worker>,
                            std::map<WaveId, Wave>, std::map<VmId, RecordVmOrder>, std::int64_t,
                            KnownQueues::Stored, KnownTeams::Stored,
                            std::map<std::string, std::int64_t>, EarlyCancels::Stored>;

/// Recorded VM orders older than this are dropped: they cannot affect the orders of a new leader.
constexpr std::int64_t kVmOrderRetentionMs = 60'000;

/// A worker that is back later than this after a loss may have ended for another reason than the
/// one for which the run was lost.
constexpr std::int64_t kMaxExplainedMs = 15'000;

bool FitsBesideTasks(const Job& job, const TaskId& id, const Worker& worker,
                     const Resources& planned = {}) {
  const Step& step = job.spec.steps[id.step];
  const Resources needed = worker.used + planned + step.footprint();
  if (!needed.FitsInto(worker.record.capacity)) return false;
  if (step.max_per_worker == 0) return true;
  const auto siblings = std::ranges::count_if(worker.tasks, [&](const TaskId& other) {
    return other.job == id.job && other.occurrence == id.occurrence && other.step == id.step;
  });
  return siblings < static_cast<std::ptrdiff_t>(step.max_per_worker);
}

/// Keeps the checkpoint for the next run of the task. One of a gang is valid for all its tasks, and
/// they run together only if all have the same one.
void KeepCheckpoint(Job& job, const TaskId& id, const std::string& checkpoint) {
  std::vector<Task>& tasks = job.At(id.occurrence, id.step).tasks;
  if (!job.spec.steps[id.step].gang) {
    tasks[id.index].checkpoint = checkpoint;
    return;
  }
  for (Task& task : tasks) task.checkpoint = checkpoint;
}

[[noreturn]] void ThrowStateError(const TaskId& task, const char* what) {
  throw StateError(FormatTask(task) + ": " + what);
}

}  // namespace

std::int64_t CriticalPathMs(const JobSpec& spec) {
  std::vector<std::int64_t> finish_ms(spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    std::int64_t start_ms = 0;
    for (const std::uint32_t dependency : spec.steps[i].depends_on) {
      if (dependency < i) start_ms = std::max(start_ms, finish_ms[dependency]);
    }
    finish_ms[i] = start_ms + spec.steps[i].estimate_ms;
    longest = std::max(longest, finish_ms[i]);
  }
  return longest;
}

std::int64_t DueMs(const Job& job, std::uint32_t occurrence) {
  if (job.spec.repeat_count == 0) return job.accepted_ms;
  return job.spec.first_due_ms + occurrence * job.spec.interval_ms;
}

bool IsOccurrenceDue(const Job& job, std::uint32_t occurrence, std::int64_t wall_ms) {
  return job.spec.repeat_count == 0 || DueMs(job, occurrence) <= wall_ms;
}

bool HasStartableTask(const Job& job, std::uint32_t occurrence, std::uint32_t step) {
  const StepRun& run = job.At(occurrence, step);
  if (run.done + run.assigned >= run.tasks.size()) return false;
  return std::ranges::all_of(job.spec.steps[step].depends_on, [&](std::uint32_t before) {
    const StepRun& earlier = job.At(occurrence, before);
    return earlier.done == earlier.tasks.size();
  });
}

bool HasRoom(const Job& job, const TaskId& id, const Worker& worker, const Resources& planned) {
  const std::string& label = job.spec.steps[id.step].required_label;
  const auto& labels = worker.record.labels;
  const bool suits = label.empty() || std::ranges::find(labels, label) != labels.end();
  return suits && FitsBesideTasks(job, id, worker, planned);
}

ApplyOutcome State::Apply(const Command& command) {
  return std::visit([this](const auto& one) { return ApplyOne(one); }, command);
}

std::string State::Encode() const {
  return godwitpaddle::Encode(Snapshot(configuration_, jobs_, workers_, waves_, vm_orders_,
                                       newest_wall_ms_, queues_.Store(), teams_.Store(),
                                       evacuated_zones_, early_cancels_.Store()));
}

void State::Decode(const std::string& bytes) {
  Snapshot image;
  if (!bytes.empty()) image = godwitpaddle::Decode<Snapshot>(bytes);
  KnownQueues::Stored queues;
  KnownTeams::Stored teams;
  EarlyCancels::Stored early_cancels;
  std::tie(configuration_, jobs_, workers_, waves_, vm_orders_, newest_wall_ms_, queues, teams,
           evacuated_zones_, early_cancels) = std::move(image);
  early_cancels_.Restore(std::move(early_cancels));
  queues_.Restore(std::move(queues));
  const bool has_teams = !teams.teams.empty();
  teams_.Restore(std::move(teams));
  // A snapshot of an earlier version has no teams beside those of the configuration.
  if (!has_teams) teams_.Configure(configuration_.teams);
  RebuildIndexes();
}

const Job* State::NextStartableJob(JobId after) const {
  const auto next = startable_jobs_.upper_bound(after);
  return next == startable_jobs_.end() ? nullptr : next->second;
}

const Job* State::FindJob(JobId id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Worker* State::FindWorker(const WorkerId& id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const std::set<WorkerId>& State::WorkersOnVm(const VmId& vm) const {
  static const std::set<WorkerId> none;
  const auto found = workers_on_vm_.find(vm);
  return found == workers_on_vm_.end() ? none : found->second;
}

const RecordVmOrder* State::FindVmOrder(const VmId& vm) const {
  const auto found = vm_orders_.find(vm);
  return found == vm_orders_.end() ? nullptr : &found->second;
}

const Task* State::FindTask(const TaskId& id) const {
  return const_cast<State*>(this)->MutableTask(id);
}

Task* State::MutableTask(const TaskId& id) {
  const auto found = jobs_.find(id.job);
  if (found == jobs_.end()) return nullptr;
  Job& job = found->second;
  if (id.step >= job.spec.steps.size() || id.occurrence >= job.spec.occurrences()) return nullptr;
  auto& tasks = job.At(id.occurrence, id.step).tasks;
  return id.index < tasks.size() ? &tasks[id.index] : nullptr;
}

ApplyOutcome State::ApplyOne(const Configure& command) {
  if (command.is_zone_order()) {
    ApplyZoneOrder(command.zone_order);
    return ApplyOutcome::kApplied;
  }
  if (command.configuration.version > configuration_.version) {
    configuration_ = command.configuration;
    queues_.Configure(configuration_);
    teams_.Configure(configuration_.teams);
  }
  return ApplyOutcome::kApplied;
}

void State::ApplyZoneOrder(const ZoneOrder& order) {
  if (order.evacuated) {
    evacuated_zones_.try_emplace(order.zone, order.wall_ms);
  } else {
    evacuated_zones_.erase(order.zone);
  }
}

const Queue* State::FindQueueOf(const Submit& command) const {
  const bool placed = !command.host.empty() || !command.prefix.empty();
  return placed ? FindQueueAt(configuration_, command.host, command.prefix)
                : FindQueueByName(configuration_, command.queue);
}

ApplyOutcome State::ApplyOne(const Submit& command) {
  RemoveExpiredJobs(command.wall_ms);
  early_cancels_.RemoveBefore(command.wall_ms - options_.ended_retention_ms);
  const Queue* queue = FindQueueOf(command);
  if (queue == nullptr) return ApplyOutcome::kNoQueue;
  const Team* team = FindTeamByKey(configuration_, command.key);
  if (team == nullptr && !queue->open) return ApplyOutcome::kBadKey;
  if (jobs_.contains(command.job)) return ApplyOutcome::kApplied;
  if (IsCancelledBefore({.host = queue->host, .prefix = queue->prefix, .job = command.job})) {
    return ApplyOutcome::kCancelledBefore;
  }
  if (jobs_.size() >= options_.max_jobs) return ApplyOutcome::kJobTableFull;
  Job& job = jobs_[command.job];
  job.id = command.job;
  job.queue = command.queue;
  job.service = queue->service;
  job.known_queue = &queues_.AddJob(*queue);
  job.queue_number = job.known_queue->number;
  if (team != nullptr && !queue->open) {
    job.team = team->name;
    job.known_team = teams_.FindByKey(command.key);
    job.team_number = job.known_team->number;
    ++job.known_team->jobs;
  }
  job.attempts = std::max(1U, queue->attempts);
  job.spec = command.spec;
  job.critical_path_ms = CriticalPathMs(job.spec);
  job.accepted_ms = command.wall_ms;
  for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
    for (const Step& step : job.spec.steps) {
      job.steps.emplace_back().tasks.resize(step.count);
    }
  }
  open_jobs_.insert(command.job);
  UpdateIndexes(job);
  return ApplyOutcome::kApplied;
}

ApplyOutcome State::ApplyOne(const Cancel& command) {
  const auto found = jobs_.find(command.job);
  const bool known =
      found != jobs_.end() && (!command.has_path() || IsJobAt(found->second, command.path()));
  if (!known) return ApplyEarlyCancel(command);
  if (found->second.active()) EndJob(found->second, JobPhase::kCancelled, command.wall_ms);
  UpdateIndexes(found->second);
  return ApplyOutcome::kApplied;
}

ApplyOutcome State::ApplyEarlyCancel(const Cancel& command) {
  if (!command.has_path()) return ApplyOutcome::kNoSuchJob;
  early_cancels_.RemoveBefore(command.wall_ms - options_.ended_retention_ms);
  if (!early_cancels_.Contains(command.path()) &&
      early_cancels_.size() >= options_.max_early_cancels) {
    return ApplyOutcome::kJobTableFull;
  }
  early_cancels_.Add(command.path(), command.wall_ms);
  return ApplyOutcome::kNoSuchJob;
}

/// Checks what must hold for a start, independently of the leader's plan.
bool State::MayStart(const Job& job, const TaskId& id, const Worker& worker) const {
  const Step& step = job.spec.steps[id.step];
  for (const std::uint32_t dependency : step.depends_on) {
    const StepRun& earlier = job.At(id.occurrence, dependency);
    if (earlier.done < earlier.tasks.size()) return false;
  }
  return FitsBesideTasks(job, id, worker);
}

ApplyOutcome State::ApplyOne(const Assign& command) {
  Task* task = MutableTask(command.task);
  const auto worker = workers_.find(command.worker);
  if (task == nullptr || worker == workers_.end()) return ApplyOutcome::kRejected;
  Job& job = jobs_.at(command.task.job);
  if (!job.active() || task->phase != TaskPhase::kWaiting || command.run <= task->run) {
    return ApplyOutcome::kRejected;
  }
  if (task->given_up() && !job.spec.steps[command.task.step].long_running) {
    EndJob(job, JobPhase::kFailed, task->lost_ms);
    UpdateIndexes(job);
    return ApplyOutcome::kRejected;
  }
  if (!MayStart(job, command.task, worker->second)) return ApplyOutcome::kRejected;
  task->crash = CrashMark::kNone;
  task->phase = TaskPhase::kAssigned;
  task->run = command.run;
  task->worker = command.worker;
  const Step& step = job.spec.steps[command.task.step];
  if (!worker->second.tasks.insert(command.task).second) {
    ThrowStateError(command.task, "is already among the tasks of the worker");
  }
  worker->second.used += step.footprint();
  CountLongRunning(worker->second, step, 1);
  if (job.known_team != nullptr) job.known_team->used += step.size;
  ++job.At(command.task.occurrence, command.task.step).assigned;
  ++job.assigned;
  job.phase = JobPhase::kRunning;
  UpdateIndexes(job);
  return ApplyOutcome::kApplied;
}

void State::Unassign(Job& job, const TaskId& id, Task& task) {
  const auto worker = workers_.find(task.worker);
  if (worker == workers_.end() || worker->second.tasks.erase(id) == 0) {
    ThrowStateError(id, "is not among the tasks of the worker that it is assigned to");
  }
  const Step& step = job.spec.steps[id.step];
  worker->second.used -= step.footprint();
  CountLongRunning(worker->second, step, -1);
  if (job.known_team != nullptr) job.known_team->used -= step.size;
  --job.At(id.occurrence, id.step).assigned;
  --job.assigned;
  task.worker.clear();
  task.phase = TaskPhase::kWaiting;
}

ApplyOutcome State::ApplyOne(const RecordEnd& command) {
  const auto worker = workers_.find(command.worker);
  if (worker == workers_.end()) return ApplyOutcome::kRejected;
  if (command.number != 0) {
    if (worker->second.record.incarnation_ms != command.incarnation_ms) {
      return ApplyOutcome::kRejected;
    }
    if (command.number <= worker->second.acknowledged_ends) return ApplyOutcome::kRejected;
    worker->second.acknowledged_ends = command.number;
  }
  Task* task = MutableTask(command.task);
  if (task == nullptr) return ApplyOutcome::kApplied;
  Job& job = jobs_.at(command.task.job);
  const bool current = task->phase == TaskPhase::kAssigned && task->run == command.run &&
                       task->worker == command.worker;
  if (command.number != 0 || command.begun) job.begun = true;
  if (command.number != 0) {
    // The worker lists the end, so it has not crashed during the run.
    const auto lost = worker->second.lost_runs.find(command.task);
    if (lost != worker->second.lost_runs.end() && lost->second.run == command.run) {
      ExplainLoss(command.task, lost->second, CrashMark::kNone);
      worker->second.lost_runs.erase(lost);
    }
  }
  if (current) {
    const CrashMark crash = std::exchange(task->crash, CrashMark::kNone);
    Unassign(job, command.task, *task);
    if (command.number == 0) CountLoss(worker->second, *task, command, crash);
    ApplyCurrentEnd(job, command.task, *task, command);
  } else if (command.number != 0) {
    ApplyEarlierEnd(job, command.task, *task, command);
  }
  if (job.active() && job.assigned == 0 && !job.begun) job.phase = JobPhase::kQueued;
  UpdateIndexes(job);
  if (!job.active() && job.assigned == 0) DropDetails(job);
  return ApplyOutcome::kApplied;
}

void State::DropDetails(Job& job) {
  open_jobs_.erase(job.id);
  job.spec = {};
  job.steps = {};
}

void State::ApplyCurrentEnd(Job& job, const TaskId& id, Task& task, const RecordEnd& end) {
  const Step& step = job.spec.steps[id.step];
  if (!end.checkpoint.empty() && step.checkpoints) KeepCheckpoint(job, id, end.checkpoint);
  if (!job.active()) return;
  const bool done = end.kind == EndKind::kDone || task.done_by_earlier_run;
  if (step.long_running) return;
  if (task.given_up() && !done) return EndJob(job, JobPhase::kFailed, end.wall_ms);
  CountFailure(task, end);
  if (end.kind == EndKind::kDone || task.done_by_earlier_run) {
    return CompleteTask(job, id, task, end);
  }
  if (task.failed_runs >= job.attempts) EndJob(job, JobPhase::kFailed, end.wall_ms);
}

void State::ApplyEarlierEnd(Job& job, const TaskId& id, Task& task, const RecordEnd& end) {
  const Step& step = job.spec.steps[id.step];
  if (!job.active() || step.long_running || task.phase == TaskPhase::kDone) return;
  if (end.run > task.run) return;
  CountFailure(task, end);
  if (end.kind == EndKind::kDone) task.done_by_earlier_run = true;
  if (task.phase != TaskPhase::kWaiting) return;
  if (task.done_by_earlier_run) return CompleteTask(job, id, task, end);
  if (task.failed_runs >= job.attempts) EndJob(job, JobPhase::kFailed, end.wall_ms);
}

void State::CountFailure(Task& task, const RecordEnd& end) {
  if (end.kind == EndKind::kFailed && task.counted_failures.insert(end.run).second) {
    ++task.failed_runs;
  }
}

void State::CountLoss(Worker& worker, Task& task, const RecordEnd& end, CrashMark crash) {
  if (end.kind != EndKind::kLost && end.kind != EndKind::kStopped) return;
  const LostRun lost = {.run = end.run,
                        .wall_ms = end.wall_ms,
                        .unanswered = end.unanswered,
                        .survived_start = end.survived_start};
  if (end.had_worked) {
    task.crashes.clear();
    task.crashes_alone.clear();
    task.possible_crashes.clear();
    task.start_crashes.clear();
  } else if (crash != CrashMark::kNone) {
    task.lost_ms = end.wall_ms;
    CountCrash(task, lost, crash);
  } else if (end.kind == EndKind::kLost) {
    task.lost_ms = end.wall_ms;
    if (!end.unanswered) task.unexplained_losses.insert(end.run);
    worker.lost_runs[end.task] = lost;
  }
}

void State::CountCrash(Task& task, const LostRun& lost, CrashMark crash) {
  if (lost.unanswered) {
    task.possible_crashes.insert(lost.run);
    return;
  }
  task.crashes.insert(lost.run);
  if (crash == CrashMark::kAlone) task.crashes_alone.insert(lost.run);
  if (!lost.survived_start) task.start_crashes.insert(lost.run);
}

void State::ExplainLoss(const TaskId& id, const LostRun& lost, CrashMark crash) {
  Task* task = MutableTask(id);
  if (task == nullptr) return;
  task->unexplained_losses.erase(lost.run);
  if (crash != CrashMark::kNone) CountCrash(*task, lost, crash);
}

void State::MarkCrash(Worker& worker, bool planned, std::int64_t restarted_ms) {
  const bool crashed = !planned && worker.record.phase == WorkerPhase::kReady;
  const bool alone = worker.tasks.size() + worker.lost_runs.size() == 1;
  const CrashMark mark = alone ? CrashMark::kAlone : CrashMark::kBesideOthers;
  for (const TaskId& id : worker.tasks) {
    Task& task = *MutableTask(id);
    if (crashed && task.crash == CrashMark::kNone) task.crash = mark;
  }
  for (const auto& [id, lost] : worker.lost_runs) {
    const bool recent = restarted_ms < lost.wall_ms + kMaxExplainedMs;
    ExplainLoss(id, lost, crashed && recent ? mark : CrashMark::kNone);
  }
  worker.lost_runs.clear();
}

void State::CompleteTask(Job& job, const TaskId& id, Task& task, const RecordEnd& end) {
  task.phase = TaskPhase::kDone;
  StepRun& run = job.At(id.occurrence, id.step);
  ++run.done;
  if (job.spec.steps[id.step].gang) CompleteGang(job, id, end.run);
  const bool completed = std::ranges::all_of(
      job.steps, [](const StepRun& one) { return one.done == one.tasks.size(); });
  if (completed) EndJob(job, JobPhase::kCompleted, end.wall_ms);
}

void State::CompleteGang(Job& job, const TaskId& id, std::uint32_t run) {
  StepRun& step = job.At(id.occurrence, id.step);
  for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
    Task& task = step.tasks[index];
    if (task.phase == TaskPhase::kDone) continue;
    if (task.phase == TaskPhase::kAssigned && task.run != run) {
      task.done_by_earlier_run = true;
      continue;
    }
    const TaskId other{id.job, id.occurrence, id.step, index};
    if (task.phase == TaskPhase::kAssigned) Unassign(job, other, task);
    task.phase = TaskPhase::kDone;
    ++step.done;
  }
}

void State::EndJob(Job& job, JobPhase phase, std::int64_t wall_ms) {
  job.phase = phase;
  job.ended_ms = std::max(wall_ms, newest_wall_ms_);
  ended_jobs_.emplace(job.ended_ms, job.id);
  if (job.assigned == 0) DropDetails(job);
}

void State::RemoveExpiredJobs(std::int64_t wall_ms) {
  newest_wall_ms_ = std::max(newest_wall_ms_, wall_ms);
  while (!ended_jobs_.empty() &&
         ended_jobs_.begin()->first + options_.ended_retention_ms < newest_wall_ms_) {
    const JobId id = ended_jobs_.begin()->second;
    const Job& job = jobs_.at(id);
    if (job.assigned > 0) break;  // its runs are still being stopped
    ended_jobs_.erase(ended_jobs_.begin());
    queues_.RemoveJob(*job.known_queue);
    if (job.known_team != nullptr) teams_.RemoveJob(*job.known_team);
    jobs_.erase(id);
  }
}

/// A VM has one worker at a time, so a newer worker proves that the others have ended.
void State::MarkEarlierWorkers(const RecordWorker& command) {
  const WorkerRecord& newest = command.record;
  if (newest.vm.empty()) return;
  for (const WorkerId& id : WorkersOnVm(newest.vm)) {
    Worker& worker = workers_.at(id);
    if (id != newest.id && worker.record.incarnation_ms < newest.incarnation_ms) {
      MarkCrash(worker, command.planned, newest.incarnation_ms);
    }
  }
}

ApplyOutcome State::ApplyOne(const RecordWorker& command) {
  if (command.record.id.empty() || command.record.incarnation_ms <= 0) {
    return ApplyOutcome::kRejected;
  }
  if (command.restart_seen_ms != 0) {
    const auto worker = workers_.find(command.record.id);
    const bool current = worker != workers_.end() &&
                         worker->second.record.incarnation_ms == command.record.incarnation_ms;
    if (!current) return ApplyOutcome::kRejected;
    worker->second.restart_seen_ms = command.restart_seen_ms;
    return ApplyOutcome::kApplied;
  }
  if (const Worker* known = FindWorker(command.record.id)) {
    const std::int64_t known_ms = known->record.incarnation_ms;
    if (command.record.incarnation_ms < known_ms) return ApplyOutcome::kRejected;
    // An older heartbeat of the same incarnation arrived late.
    const bool same = command.record.incarnation_ms == known_ms;
    if (same && command.sequence < known->sequence) return ApplyOutcome::kRejected;
  }
  Worker& worker = workers_[command.record.id];
  if (command.record.incarnation_ms > worker.record.incarnation_ms) {
    const std::int64_t restarted_ms = command.record.incarnation_ms;
    MarkCrash(worker, command.planned, restarted_ms);
    MarkEarlierWorkers(command);
    worker.restarted = worker.record.incarnation_ms != 0;
    worker.acknowledged_ends = 0;
    worker.restart_seen_ms = 0;
  }
  RemoveFromIndexes(worker.record);
  worker.record = command.record;
  worker.sequence = command.sequence;
  IndexWorker(worker.record);
  return ApplyOutcome::kApplied;
}

ApplyOutcome State::ApplyOne(const RemoveWorker& command) {
  const auto worker = workers_.find(command.worker);
  if (worker == workers_.end() || worker->second.record.incarnation_ms != command.incarnation_ms ||
      !worker->second.tasks.empty()) {
    return ApplyOutcome::kRejected;
  }
  for (const auto& [id, lost] : worker->second.lost_runs) {
    ExplainLoss(id, lost, CrashMark::kNone);
  }
  RemoveFromIndexes(worker->second.record);
  workers_.erase(worker);
  return ApplyOutcome::kApplied;
}

ApplyOutcome State::ApplyOne(const StartWave& command) {
  if (waves_.contains(command.wave)) return ApplyOutcome::kApplied;
  Wave& wave = waves_[command.wave];
  wave.vms = command.vms;
  std::ranges::sort(wave.vms);
  wave.vms.erase(std::unique(wave.vms.begin(), wave.vms.end()), wave.vms.end());
  wave.duration_ms = command.duration_ms;
  wave.max_down = std::max(1U, command.max_down);
  wave.started_ms = command.wall_ms;
  return ApplyOutcome::kApplied;
}

ApplyOutcome State::ApplyOne(const RecordMaintenance& command) {
  const auto wave = waves_.find(command.wave);
  if (wave == waves_.end()) return ApplyOutcome::kRejected;
  wave->second.started_vms.insert(command.vm);
  return ApplyOutcome::kApplied;
}

ApplyOutcome State::ApplyOne(const RecordVmOrder& command) {
  while (!vm_orders_by_time_.empty() &&
         vm_orders_by_time_.begin()->first + kVmOrderRetentionMs < command.wall_ms) {
    vm_orders_.erase(vm_orders_by_time_.begin()->second);
    vm_orders_by_time_.erase(vm_orders_by_time_.begin());
  }
  RecordVmOrder& latest = vm_orders_[command.vm];
  vm_orders_by_time_.erase({latest.wall_ms, command.vm});
  vm_orders_by_time_.emplace(command.wall_ms, command.vm);
  latest = command;
  return ApplyOutcome::kApplied;
}

}  // namespace godwitpaddle::jobs

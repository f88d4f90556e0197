#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "jobs/state.h"

// What the state derives from its records: totals, and indexes by which they are found.
namespace godwitpaddle::jobs {
namespace {

/// Average fraction of its work that a running task still has to do.
constexpr double kRemainingRunFraction = 0.5;
constexpr double kMillicores = 1'000;

/// Whether any step of any occurrence has a startable task.
bool HasStartableStep(const Job& job) {
  for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (HasStartableTask(job, occurrence, step)) return true;
    }
  }
  return false;
}

bool HasLongRunningStep(const Job& job) {
  return std::ranges::any_of(job.spec.steps, &Step::long_running);
}

/// Returns the estimated work of the job that is not done, in core-milliseconds, without
/// long-running and best-effort steps; 0 for repeated jobs.
double OpenCoreMsOf(const Job& job) {
  if (!job.active() || job.spec.repeat_count > 0) return 0;
  double open = 0;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const Step& step = job.spec.steps[i];
    if (step.long_running || step.best_effort_cpu) continue;
    const StepRun& run = job.steps[i];
    const double count = static_cast<double>(run.tasks.size() - run.done - run.assigned) +
                         kRemainingRunFraction * static_cast<double>(run.assigned);
    open += count * static_cast<double>(step.size.cpu) / kMillicores *
            static_cast<double>(step.estimate_ms);
  }
  return open;
}

Resources Times(const Resources& one, std::size_t count) {
  const auto times = static_cast<std::int64_t>(count);
  return {.cpu = one.cpu * times,
          .memory_mb = one.memory_mb * times,
          .accelerators = one.accelerators * times};
}

/// Returns what the job uses and asks for.
TeamLoad LoadOf(const Job& job) {
  TeamLoad load;
  const bool asks = job.active() && job.spec.repeat_count == 0;
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    const StepRun& run = job.steps[i];
    const auto step_index = static_cast<std::uint32_t>(i % job.spec.steps.size());
    const Step& step = job.spec.steps[step_index];
    const Resources footprint = step.footprint();
    load.used += Times(footprint, run.assigned);
    if (!asks) continue;
    const std::size_t waiting = run.tasks.size() - run.done - run.assigned;
    if (HasStartableTask(job, 0, step_index)) load.waiting += Times(footprint, waiting);
    if (step.long_running || step.best_effort_cpu) continue;
    const double open_ms =
        (static_cast<double>(waiting) + kRemainingRunFraction * static_cast<double>(run.assigned)) *
        static_cast<double>(step.estimate_ms);
    load.open_cpu_ms += open_ms * static_cast<double>(footprint.cpu);
    load.open_memory_ms += open_ms * static_cast<double>(footprint.memory_mb);
  }
  return load;
}

/// Gives the tasks of each gang the same checkpoint: earlier versions kept one for each of them.
void ShareGangCheckpoints(Job& job) {
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    if (!job.spec.steps[i % job.spec.steps.size()].gang) continue;
    std::vector<Task>& tasks = job.steps[i].tasks;
    const auto known =
        std::ranges::find_if(tasks, [](const Task& task) { return !task.checkpoint.empty(); });
    if (known == tasks.end()) continue;
    const std::string checkpoint = known->checkpoint;
    for (Task& task : tasks) task.checkpoint = checkpoint;
  }
}

}  // namespace

void State::RebuildIndexes() {
  // A record that an earlier version rejected left an entry without a record.
  std::erase_if(workers_, [](const auto& entry) { return entry.second.record.id != entry.first; });
  open_jobs_.clear();
  startable_jobs_.clear();
  startable_long_running_jobs_.clear();
  ended_jobs_.clear();
  workers_on_vm_.clear();
  draining_workers_.clear();
  vm_orders_by_time_.clear();
  for (auto& [id, job] : jobs_) {
    LinkJob(job);
    ShareGangCheckpoints(job);
    if (job.active() || job.assigned > 0) open_jobs_.insert(id);
    if (!job.active()) ended_jobs_.emplace(job.ended_ms, id);
    UpdateIndexes(job);
  }
  for (auto& [id, worker] : workers_) {
    IndexWorker(worker.record);
    for (const TaskId& task : worker.tasks) {
      const Job& job = jobs_.at(task.job);
      const Step& step = job.spec.steps.at(task.step);
      if (job.known_team != nullptr) job.known_team->used += step.size;
      CountLongRunning(worker, step, 1);
    }
  }
  queues_.RemoveUnused();
  teams_.RemoveUnused();
  for (const auto& [vm, order] : vm_orders_) vm_orders_by_time_.emplace(order.wall_ms, vm);
}

void State::LinkJob(Job& job) {
  job.known_queue = queues_.AddStoredJob(job.queue_number);
  if (job.known_queue == nullptr) {
    job.queue_number = 0;
    job.known_queue = &queues_.AddUnplacedJob(job.queue, job.service, configuration_);
  }
  job.known_team = teams_.FindByNumber(job.team_number);
  if (job.known_team == nullptr && !job.team.empty()) job.known_team = teams_.FindByName(job.team);
  if (job.known_team == nullptr) return;
  job.team_number = job.known_team->number;
  ++job.known_team->jobs;
}

bool State::IsJobAt(const Job& job, const JobPath& path) {
  const Queue& own = QueueOf(job);
  return job.queue_number == 0 || (own.host == path.host && own.prefix == path.prefix);
}

const Job* State::FindJobAt(const JobPath& path) const {
  const Job* job = FindJob(path.job);
  return job != nullptr && IsJobAt(*job, path) ? job : nullptr;
}

void State::UpdateIndexes(Job& job) {
  UpdateStartable(job);
  KnownQueue& queue = *job.known_queue;
  const bool queued = job.phase == JobPhase::kQueued;
  if (queued != job.counted_as_queued) {
    queue.queued_jobs = queued ? queue.queued_jobs + 1 : queue.queued_jobs - 1;
    job.counted_as_queued = queued;
  }
  const double core_ms = OpenCoreMsOf(job);
  if (core_ms != job.counted_core_ms) {
    queue.open_core_ms = std::max(0.0, queue.open_core_ms + core_ms - job.counted_core_ms);
    job.counted_core_ms = core_ms;
  }
  UpdateLoad(job);
}

void State::UpdateLoad(Job& job) {
  const TeamLoad load = LoadOf(job);
  if (load == job.counted_load) return;
  std::map<TeamNumber, TeamLoad>& loads = job.known_queue->loads;
  TeamLoad& total = loads[job.team_number];
  total += load;
  total -= job.counted_load;
  job.counted_load = load;
  if (total == TeamLoad()) loads.erase(job.team_number);
}

void State::UpdateStartable(const Job& job) {
  if (job.active() && HasStartableStep(job)) {
    startable_jobs_.try_emplace(job.id, &job);
    if (HasLongRunningStep(job)) startable_long_running_jobs_.try_emplace(job.id, &job);
  } else {
    startable_jobs_.erase(job.id);
    startable_long_running_jobs_.erase(job.id);
  }
}

void State::CountLongRunning(Worker& worker, const Step& step, int sign) {
  if (!step.long_running) return;
  if (sign > 0) {
    ++worker.long_running_tasks;
    worker.long_running_used += step.footprint();
  } else {
    --worker.long_running_tasks;
    worker.long_running_used -= step.footprint();
  }
}

void State::IndexWorker(const WorkerRecord& record) {
  workers_on_vm_[record.vm].insert(record.id);
  if (record.phase == WorkerPhase::kDraining) draining_workers_.insert(record.id);
}

void State::RemoveFromIndexes(const WorkerRecord& record) {
  draining_workers_.erase(record.id);
  const auto found = workers_on_vm_.find(record.vm);
  if (found == workers_on_vm_.end()) return;
  found->second.erase(record.id);
  if (found->second.empty()) workers_on_vm_.erase(found);
}

}  // namespace godwitpaddle::jobs

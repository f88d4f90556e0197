#include "jobs/planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "jobs/start_order.h"

namespace godwitpaddle::jobs {
namespace {

/// Free resources of one worker, less the starts planned so far.
struct WorkerRoom {
  const Worker* worker = nullptr;
  Resources free;
  bool recently_successful = false;
};

/// Free resources of the workers of one service.
struct ServiceRoom {
  std::vector<WorkerRoom> workers;
  std::optional<Resources> smallest_unplaced;  // fitted on no worker; larger requests are skipped
};

/// Resources that a team uses, including the starts planned so far.
struct TeamUsage {
  const Team* team = nullptr;
  Resources used;
};

struct Candidate {
  const Job* job = nullptr;
  const Queue* queue = nullptr;  // null if the queue was removed
  TeamUsage* team = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  StartRank rank;
};

class Plan {
 public:
  explicit Plan(const PlanInput& input) : input_(input) {}

  std::vector<Assign> Make();

 private:
  void AddWorkers();
  void AddCandidates(const Job& job);
  std::int64_t DueMs(const Job& job, std::uint32_t occurrence) const;
  void Place(const Candidate& candidate);
  void PlaceGang(const Candidate& candidate, const StepRun& run);
  WorkerRoom* ChooseWorker(const Candidate& candidate,
                           const std::map<WorkerId, std::uint32_t>& per_worker, bool last_attempt);
  bool HasLongRunningTask(const WorkerRoom& room) const;
  static bool WithinLimit(const TeamUsage& usage, const Resources& size);
  const Queue* QueueOf(const Job& job);
  TeamUsage* TeamOf(const Job& job);
  double FactorOf(const std::string& service);
  void AddStart(const Candidate& candidate, std::uint32_t index, std::uint32_t run,
                WorkerRoom& room);
  std::map<WorkerId, std::uint32_t> CountPerWorker(const Candidate& candidate) const;

  const PlanInput& input_;
  std::unordered_map<std::string_view, ServiceRoom> services_;
  std::unordered_map<std::string_view, const Queue*> queues_;  // cache of look-ups
  std::unordered_map<std::string_view, TeamUsage> teams_;      // cache of look-ups
  std::unordered_map<std::string_view, double> factors_;       // by service; cache of look-ups
  std::vector<Candidate> candidates_;
  std::vector<Assign> starts_;
};

std::vector<Assign> Plan::Make() {
  for (const auto& [id, job] : input_.state.startable_jobs()) AddCandidates(*job);
  if (candidates_.empty()) return {};
  AddWorkers();
  std::ranges::stable_sort(candidates_, {}, &Candidate::rank);
  for (const Candidate& candidate : candidates_) {
    if (starts_.size() >= input_.max_starts) break;
    Place(candidate);
  }
  return std::move(starts_);
}

void Plan::AddWorkers() {
  for (const UsableWorker& usable : input_.usable_workers()) {
    const Worker& worker = *usable.worker;
    services_[worker.record.service].workers.push_back(
        {.worker = &worker,
         .free = worker.record.capacity - worker.used,
         .recently_successful = usable.recently_successful});
  }
}

const Queue* Plan::QueueOf(const Job& job) {
  const auto [entry, is_new] = queues_.try_emplace(job.queue, nullptr);
  if (is_new) entry->second = FindQueueByName(input_.state.configuration(), job.queue);
  return entry->second;
}

double Plan::FactorOf(const std::string& service) {
  const auto [entry, is_new] = factors_.try_emplace(service, 1.0);
  if (is_new && input_.estimate_factor) entry->second = input_.estimate_factor(service);
  return entry->second;
}

TeamUsage* Plan::TeamOf(const Job& job) {
  const auto [entry, is_new] = teams_.try_emplace(job.team);
  if (is_new) {
    entry->second.team = FindTeam(input_.state.configuration(), job.team);
    const auto used = input_.state.team_usage().find(job.team);
    if (used != input_.state.team_usage().end()) entry->second.used = used->second;
  }
  return &entry->second;
}

void Plan::AddCandidates(const Job& job) {
  const Queue* queue = QueueOf(job);
  const double factor = FactorOf(queue == nullptr ? job.service : queue->service);
  const std::int64_t objective = ObjectiveMs(job, queue, factor);
  for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
    const std::int64_t due = DueMs(job, occurrence);
    if (due > input_.wall_ms) break;
    const auto critical_path = static_cast<std::int64_t>(
        factor * static_cast<double>(RemainingCriticalPathMs(job, occurrence)));
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (!HasStartableTask(job, occurrence, step)) continue;
      const WaitingStep waiting{.priority = queue == nullptr ? 0 : queue->priority,
                                .due_ms = due,
                                .objective_ms = objective,
                                .critical_path_ms = critical_path,
                                .long_running = job.spec.steps[step].long_running};
      candidates_.push_back({.job = &job,
                             .queue = queue,
                             .team = TeamOf(job),
                             .occurrence = occurrence,
                             .step = step,
                             .rank = RankOf(waiting, input_.wall_ms)});
    }
  }
}

std::int64_t Plan::DueMs(const Job& job, std::uint32_t occurrence) const {
  if (job.spec.repeat_count == 0) return job.accepted_ms;
  return job.spec.first_due_ms + occurrence * job.spec.interval_ms;
}

std::map<WorkerId, std::uint32_t> Plan::CountPerWorker(const Candidate& candidate) const {
  std::map<WorkerId, std::uint32_t> counts;
  for (const Task& task : candidate.job->At(candidate.occurrence, candidate.step).tasks) {
    if (task.phase == TaskPhase::kAssigned) ++counts[task.worker];
  }
  return counts;
}

void Plan::Place(const Candidate& candidate) {
  const Job& job = *candidate.job;
  const Step& step = job.spec.steps[candidate.step];
  const StepRun& run = job.At(candidate.occurrence, candidate.step);
  if (step.gang) return PlaceGang(candidate, run);
  std::map<WorkerId, std::uint32_t> per_worker;
  if (step.max_per_worker > 0) per_worker = CountPerWorker(candidate);
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const Task& task = run.tasks[index];
    if (task.phase != TaskPhase::kWaiting) continue;
    if (starts_.size() >= input_.max_starts || !WithinLimit(*candidate.team, step.size)) return;
    const bool last_attempt = !step.long_running && task.failed_runs + 1 >= job.attempts;
    WorkerRoom* room = ChooseWorker(candidate, per_worker, last_attempt);
    if (room == nullptr) return;
    if (step.max_per_worker > 0) ++per_worker[room->worker->record.id];
    AddStart(candidate, index, task.run + 1, *room);
  }
}

void Plan::PlaceGang(const Candidate& candidate, const StepRun& run) {
  if (run.assigned > 0) return;  // some tasks of the gang's latest run have not ended
  const Step& step = candidate.job->spec.steps[candidate.step];
  const std::size_t first_start = starts_.size();
  const auto services_before = services_;
  const Resources used_before = candidate.team->used;
  std::map<WorkerId, std::uint32_t> per_worker;
  std::uint32_t last_run = 0;
  for (const Task& task : run.tasks) last_run = std::max(last_run, task.run);
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const bool within = WithinLimit(*candidate.team, step.size);
    WorkerRoom* room = within ? ChooseWorker(candidate, per_worker, false) : nullptr;
    if (room == nullptr) {
      starts_.resize(first_start);
      services_ = services_before;
      candidate.team->used = used_before;
      return;
    }
    ++per_worker[room->worker->record.id];
    AddStart(candidate, index, last_run + 1, *room);
  }
}

bool Plan::WithinLimit(const TeamUsage& usage, const Resources& size) {
  if (usage.team == nullptr) return true;
  const Resources total = usage.used + size;
  const Resources& limits = usage.team->limit;
  const auto within = [](std::int64_t value, std::int64_t limit) {
    return limit == 0 || value <= limit;
  };
  return within(total.cpu, limits.cpu) && within(total.memory_mb, limits.memory_mb) &&
         within(total.accelerators, limits.accelerators);
}

WorkerRoom* Plan::ChooseWorker(const Candidate& candidate,
                               const std::map<WorkerId, std::uint32_t>& per_worker,
                               bool last_attempt) {
  const Job& job = *candidate.job;
  const Step& step = job.spec.steps[candidate.step];
  const auto found =
      services_.find(candidate.queue == nullptr ? job.service : candidate.queue->service);
  if (found == services_.end()) return nullptr;
  ServiceRoom& service = found->second;
  const Resources footprint = step.footprint();
  // A task that needs no more than this one has not fitted on any worker in this plan.
  if (service.smallest_unplaced && service.smallest_unplaced->FitsInto(footprint)) return nullptr;
  WorkerRoom* best = nullptr;
  std::tuple<bool, bool, bool, std::int64_t> best_score;
  for (WorkerRoom& room : service.workers) {
    const WorkerRecord& record = room.worker->record;
    if (!footprint.FitsInto(room.free)) continue;
    const auto& labels = record.labels;
    if (!step.required_label.empty() &&
        std::ranges::find(labels, step.required_label) == labels.end()) {
      continue;
    }
    if (step.max_per_worker > 0) {
      const auto count = per_worker.find(record.id);
      if (count != per_worker.end() && count->second >= step.max_per_worker) continue;
    }
    const bool near_data = step.data_rack.empty() || record.rack() == step.data_rack;
    // Prefers fuller workers, so that others become idle, and concentrates long-running tasks on
    // few workers. A task's last attempt prefers a recently successful worker.
    const std::tuple score(near_data, room.recently_successful || !last_attempt,
                           step.long_running && HasLongRunningTask(room), -room.free.cpu);
    if (best != nullptr && score <= best_score) continue;
    best = &room;
    best_score = score;
  }
  const bool unrestricted = step.required_label.empty() && step.max_per_worker == 0;
  if (best == nullptr && unrestricted) service.smallest_unplaced = footprint;
  return best;
}

bool Plan::HasLongRunningTask(const WorkerRoom& room) const {
  return std::ranges::any_of(room.worker->tasks, [this](const TaskId& task) {
    return input_.state.FindJob(task.job)->spec.steps[task.step].long_running;
  });
}

void Plan::AddStart(const Candidate& candidate, std::uint32_t index, std::uint32_t run,
                    WorkerRoom& room) {
  const Job& job = *candidate.job;
  const Step& step = job.spec.steps[candidate.step];
  room.free -= step.footprint();
  candidate.team->used += step.size;
  starts_.push_back({.task = {job.id, candidate.occurrence, candidate.step, index},
                     .run = run,
                     .worker = room.worker->record.id});
}

}  // namespace

std::int64_t ObjectiveMs(const Job& job, const Queue* queue, double estimate_factor) {
  const double stretch = estimate_factor * (queue == nullptr ? 1.0 : queue->stretch);
  const std::int64_t slack = queue == nullptr ? 0 : queue->target_latency_ms;
  return slack + static_cast<std::int64_t>(stretch * static_cast<double>(job.critical_path_ms));
}

std::vector<Assign> PlanStarts(const PlanInput& input) { return Plan(input).Make(); }

}  // namespace godwitpaddle::jobs

#include "jobs/planner.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

using detail::ServiceQueue;
using detail::WaitingKey;

/// Jobs that each plan ranks anew in turn: estimates of run times change without an event.
constexpr int kRankedInTurn = 16;
/// Limit of the examinations of waiting steps of one service in one plan that lead to no start. One
/// that compares the step with the room of all workers counts as kScanCost.
constexpr int kMaxFutileExaminations = 256;
constexpr int kScanCost = 8;
/// Limit for one plan and all services together. A plan shares it among the services, which get no
/// less than kMinFutileExaminations each.
constexpr int kMaxFutileOfPlan = 4'096;
constexpr int kMinFutileExaminations = 4 * kScanCost;
/// A suspect starts beside other tasks if no worker has become empty for this long after its latest
/// loss: a job must not be idle for 3 s beside free room.
constexpr std::int64_t kAloneWaitMs = 2'000;
/// A planned start is in the state, or will not be, after this time.
constexpr std::int64_t kApplyMs = 1'000;
/// A long-running suspect gets company after this time.
constexpr std::int64_t kLongRunningTrialMs = 6'000;
/// A kept worker is released if no suspect waited for it for this long, which is longer than the
/// time between two plans.
constexpr std::int64_t kKeepMs = 400;

/// A misfit that no plan found for this long is none any more. A plan may end before it gets to a
/// service.
constexpr std::int64_t kMisfitKeptMs = 400;

/// Free resources of one worker, less the starts planned so far.
struct WorkerRoom {
  const Worker* worker = nullptr;
  Resources free;
  bool recently_successful = false;
  bool closed = false;     // for tasks that are not suspects
  bool in_trial = false;   // also for suspects
  bool has_start = false;  // of this plan
};

/// Free resources of the workers of one service.
struct ServiceRoom {
  std::vector<WorkerRoom> workers;
  std::optional<Resources> smallest_unplaced;  // fitted on no worker; larger requests are skipped
  bool has_kept = false;                       // a worker is kept for a suspect
};

/// Resources that a team uses, including the starts planned so far.
struct TeamUsage {
  const Team* team = nullptr;
  Resources used;
};

/// A waiting step that is examined for starts.
struct Candidate {
  const Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  const std::string* service = nullptr;
  ServiceRoom* room = nullptr;
  TeamUsage* team = nullptr;

  const Step& Spec() const { return job->spec.steps[step]; }
  const StepRun& Run() const { return job->At(occurrence, step); }
};

const Queue* QueueOf(const Job& job, const State& state) {
  return FindQueueByName(state.configuration(), job.queue);
}

const std::string& ServiceOf(const Job& job, const Queue* queue) {
  return queue == nullptr ? job.service : queue->service;
}

std::int64_t DueMs(const Job& job, std::uint32_t occurrence) {
  if (job.spec.repeat_count == 0) return job.accepted_ms;
  return job.spec.first_due_ms + occurrence * job.spec.interval_ms;
}

/// The times and the priority of a job's steps, from which their ranks follow.
struct JobTimes {
  int priority = 0;
  std::int64_t objective_ms = 0;
  double factor = 1;

  JobTimes(const Job& job, const Queue* queue, const PlanInput& input)
      : priority(queue == nullptr ? 0 : queue->priority),
        factor(input.estimate_factor ? input.estimate_factor(ServiceOf(job, queue)) : 1) {
    objective_ms = ObjectiveMs(job, queue, factor);
  }

  StartRank Rank(const Job& job, std::uint32_t occurrence, std::uint32_t step,
                 std::int64_t wall_ms) const {
    const auto critical_path = static_cast<std::int64_t>(
        factor * static_cast<double>(RemainingCriticalPathMs(job, occurrence)));
    return RankOf({.priority = priority,
                   .due_ms = DueMs(job, occurrence),
                   .objective_ms = objective_ms,
                   .critical_path_ms = critical_path,
                   .long_running = job.spec.steps[step].long_running},
                  wall_ms);
  }
};

/// One plan: walks over the waiting steps of all services by their ranks.
class PlanWalk {
 public:
  using RankAnew = std::function<void(JobId)>;

  PlanWalk(const State& state, const PlanInput& input, detail::Isolation& isolation,
           RankAnew rank_anew)
      : state_(state), input_(input), isolation_(isolation), rank_anew_(std::move(rank_anew)) {}

  void Add(const std::string& service, ServiceQueue& queue);
  std::vector<Assign> Run();
  /// See StartPlanner::misfits.
  std::map<std::string, Misfit> TakeMisfits() { return std::move(misfits_); }

 private:
  /// The next step to examine of one service.
  struct Cursor {
    const std::string* service = nullptr;
    ServiceQueue* queue = nullptr;
    WaitingKey key;
    int futile = 0;        // see kMaxFutileExaminations
    bool skipped = false;  // went on after the step at which the last plan had stopped
  };

  bool Advance(Cursor& cursor);
  void Examine(Cursor& cursor);
  ServiceRoom& RoomOf(const std::string& service);
  TeamUsage* TeamOf(const Job& job);
  void Place(const Candidate& candidate);
  void PlaceGang(const Candidate& candidate);
  /// Whether the task has a worker for itself, if one can be found.
  bool StartsAlone(const Candidate& candidate, const Task& task) const;
  /// Plans the start of a suspect on an empty worker, or keeps a worker for it.
  void PlaceAlone(const Candidate& candidate, std::uint32_t index,
                  std::map<WorkerId, std::uint32_t>& per_worker);
  void KeepWorker(const Candidate& candidate);
  WorkerRoom* ChooseWorker(const Candidate& candidate,
                           const std::map<WorkerId, std::uint32_t>& per_worker, bool last_attempt);
  void AddStart(const Candidate& candidate, std::uint32_t index, std::uint32_t run,
                WorkerRoom& room);
  /// Notes the step, none of whose tasks found room, if it is a misfit.
  void FindMisfit(const Candidate& candidate);

  const State& state_;
  const PlanInput& input_;
  detail::Isolation& isolation_;
  const RankAnew rank_anew_;
  std::vector<Cursor> cursors_;
  std::unordered_map<std::string_view, ServiceRoom> rooms_;  // by service
  std::unordered_map<std::string_view, TeamUsage> teams_;    // cache of look-ups
  std::vector<Assign> starts_;
  std::map<std::string, Misfit> misfits_;
  int max_futile_ = kMaxFutileExaminations;  // for each service
  bool scanned_ = false;  // the last examination compared the room of all workers
};

bool WithinLimit(const TeamUsage& usage, const Resources& size) {
  if (usage.team == nullptr) return true;
  const Resources total = usage.used + size;
  const Resources& limits = usage.team->limit;
  const auto within = [](std::int64_t value, std::int64_t limit) {
    return limit == 0 || value <= limit;
  };
  return within(total.cpu, limits.cpu) && within(total.memory_mb, limits.memory_mb) &&
         within(total.accelerators, limits.accelerators);
}

/// Whether the worker, if it were empty, could run a task of the step.
bool Suits(const Step& step, const WorkerRecord& worker) {
  const auto& labels = worker.labels;
  return step.footprint().FitsInto(worker.capacity) &&
         (step.required_label.empty() ||
          std::ranges::find(labels, step.required_label) != labels.end());
}

/// Whether nothing runs on the worker and nothing will.
bool IsEmpty(const WorkerRoom& room) {
  return !room.in_trial && !room.has_start && room.worker->tasks.empty();
}

/// Whether the worker is empty once its tasks have ended, if it gets no others.
bool EmptiesItself(const WorkerRoom& room) {
  return !room.in_trial && room.worker->long_running_tasks == 0;
}

std::map<WorkerId, std::uint32_t> CountPerWorker(const StepRun& run) {
  std::map<WorkerId, std::uint32_t> counts;
  for (const Task& task : run.tasks) {
    if (task.phase == TaskPhase::kAssigned) ++counts[task.worker];
  }
  return counts;
}

void PlanWalk::Add(const std::string& service, ServiceQueue& queue) {
  if (queue.waiting.empty()) return;
  cursors_.push_back({.service = &service, .queue = &queue, .key = queue.waiting.begin()->first});
}

std::vector<Assign> PlanWalk::Run() {
  const int share = kMaxFutileOfPlan / std::max(1, static_cast<int>(cursors_.size()));
  max_futile_ = std::clamp(share, kMinFutileExaminations, kMaxFutileExaminations);
  std::ranges::make_heap(cursors_, std::greater(), &Cursor::key);
  while (!cursors_.empty() && starts_.size() < input_.max_starts) {
    std::ranges::pop_heap(cursors_, std::greater(), &Cursor::key);
    Cursor& first = cursors_.back();
    bool goes_on = !RoomOf(*first.service).workers.empty();
    if (goes_on) {
      Examine(first);
      goes_on = Advance(first);
    }
    if (goes_on) {
      std::ranges::push_heap(cursors_, std::greater(), &Cursor::key);
    } else {
      cursors_.pop_back();
    }
  }
  return std::move(starts_);
}

/// Moves the cursor to the next step. Returns false if this plan examines no further ones.
bool PlanWalk::Advance(Cursor& cursor) {
  ServiceQueue& queue = *cursor.queue;
  if (cursor.futile >= max_futile_) {
    queue.resume_after = cursor.key;
    return false;
  }
  // The first steps come first in each plan; then the plan goes on where the last one stopped.
  const bool skips = !cursor.skipped && queue.resume_after && cursor.key < *queue.resume_after &&
                     cursor.futile >= max_futile_ / 2;
  if (skips) cursor.skipped = true;
  const auto next = queue.waiting.upper_bound(skips ? *queue.resume_after : cursor.key);
  if (next == queue.waiting.end()) {
    queue.resume_after.reset();
    return false;
  }
  cursor.key = next->first;
  return true;
}

void PlanWalk::Examine(Cursor& cursor) {
  state_.CountScanned(1);
  ServiceRoom& room = RoomOf(*cursor.service);
  const Resources& footprint = cursor.queue->waiting.at(cursor.key);
  // A step that needs no more than this one has not fitted on any worker in this plan.
  if (!room.has_kept && room.smallest_unplaced && room.smallest_unplaced->FitsInto(footprint)) {
    ++cursor.futile;
    return;
  }
  const Job& job = *state_.FindJob(cursor.key.job);
  const StartRank rank = JobTimes(job, QueueOf(job, state_), input_)
                             .Rank(job, cursor.key.occurrence, cursor.key.step, input_.wall_ms);
  if (rank > cursor.key.rank) return rank_anew_(job.id);  // its turn comes later
  const Candidate candidate{.job = &job,
                            .occurrence = cursor.key.occurrence,
                            .step = cursor.key.step,
                            .service = cursor.service,
                            .room = &room,
                            .team = TeamOf(job)};
  const std::size_t before = starts_.size();
  scanned_ = false;
  if (candidate.Spec().gang) {
    PlaceGang(candidate);
  } else {
    Place(candidate);
  }
  if (starts_.size() > before) return;
  cursor.futile += scanned_ ? kScanCost : 1;
  if (scanned_) FindMisfit(candidate);
}

ServiceRoom& PlanWalk::RoomOf(const std::string& service) {
  const auto [entry, is_new] = rooms_.try_emplace(service);
  if (!is_new) return entry->second;
  const std::vector<UsableWorker> usable = input_.usable_workers(service);
  state_.CountScanned(usable.size());
  entry->second.workers.reserve(usable.size());
  const auto kept = isolation_.kept.find(service);
  for (const UsableWorker& one : usable) {
    const WorkerId& id = one.worker->record.id;
    const bool in_trial = isolation_.trials.contains(id);
    const bool is_kept = kept != isolation_.kept.end() && kept->second.worker == id;
    if (is_kept) entry->second.has_kept = true;
    entry->second.workers.push_back({.worker = one.worker,
                                     .free = one.worker->record.capacity - one.worker->used,
                                     .recently_successful = one.recently_successful,
                                     .closed = in_trial || is_kept,
                                     .in_trial = in_trial});
  }
  return entry->second;
}

TeamUsage* PlanWalk::TeamOf(const Job& job) {
  const auto [entry, is_new] = teams_.try_emplace(job.team);
  if (is_new) {
    entry->second.team = FindTeam(state_.configuration(), job.team);
    const auto used = state_.team_usage().find(job.team);
    if (used != state_.team_usage().end()) entry->second.used = used->second;
  }
  return &entry->second;
}

void PlanWalk::Place(const Candidate& candidate) {
  const Step& step = candidate.Spec();
  const StepRun& run = candidate.Run();
  std::map<WorkerId, std::uint32_t> per_worker;
  if (step.max_per_worker > 0) per_worker = CountPerWorker(run);
  bool full = false;  // no worker has room for a task that is not a suspect
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const Task& task = run.tasks[index];
    const bool waits = step.long_running ? task.paused(input_.wall_ms) : task.held(input_.wall_ms);
    if (task.phase != TaskPhase::kWaiting || waits) continue;
    if (starts_.size() >= input_.max_starts || !WithinLimit(*candidate.team, step.size)) return;
    if (StartsAlone(candidate, task)) {
      PlaceAlone(candidate, index, per_worker);
      continue;
    }
    if (full) continue;
    const bool last_attempt = !step.long_running && task.failed_runs + 1 >= candidate.job->attempts;
    WorkerRoom* room = ChooseWorker(candidate, per_worker, last_attempt);
    if (room == nullptr) {
      full = true;
      continue;
    }
    if (step.max_per_worker > 0) ++per_worker[room->worker->record.id];
    AddStart(candidate, index, task.run + 1, *room);
  }
}

bool PlanWalk::StartsAlone(const Candidate& candidate, const Task& task) const {
  if (!task.suspect() || (task.given_up() && !candidate.Spec().long_running)) return false;
  const auto any_suited = [&](const auto& is_right) {
    return std::ranges::any_of(candidate.room->workers, [&](const WorkerRoom& room) {
      return is_right(room) && Suits(candidate.Spec(), room.worker->record);
    });
  };
  if (any_suited(IsEmpty)) return true;
  // A task that one worker has crashed under, beside others, is probably innocent: it does not
  // wait.
  const bool probably_innocent = task.crashes.size() == 1 && task.crashes_alone.empty();
  const bool may_wait = !probably_innocent && input_.wall_ms < task.lost_ms + kAloneWaitMs;
  return may_wait && any_suited(EmptiesItself);
}

void PlanWalk::PlaceAlone(const Candidate& candidate, std::uint32_t index,
                          std::map<WorkerId, std::uint32_t>& per_worker) {
  auto& rooms = candidate.room->workers;
  const auto room = std::ranges::find_if(rooms, [&](const WorkerRoom& one) {
    return IsEmpty(one) && Suits(candidate.Spec(), one.worker->record);
  });
  if (room == rooms.end()) return KeepWorker(candidate);
  const WorkerId& id = room->worker->record.id;
  const std::uint32_t run = candidate.Run().tasks[index].run + 1;
  AddStart(candidate, index, run, *room);
  ++per_worker[id];
  room->closed = true;
  room->in_trial = true;
  isolation_.trials[id] = {.task = starts_.back().task, .run = run, .planned_ms = input_.wall_ms};
  const auto kept = isolation_.kept.find(*candidate.service);
  if (kept != isolation_.kept.end() && kept->second.worker == id) isolation_.kept.erase(kept);
}

void PlanWalk::KeepWorker(const Candidate& candidate) {
  ServiceRoom& service = *candidate.room;
  if (service.has_kept) {
    isolation_.kept[*candidate.service].wanted_ms = input_.wall_ms;
    return;
  }
  WorkerRoom* best = nullptr;
  const auto cost = [](const WorkerRoom& room) {
    return std::pair(room.has_start, room.worker->tasks.size());
  };
  for (WorkerRoom& room : service.workers) {
    if (!EmptiesItself(room) || !Suits(candidate.Spec(), room.worker->record)) continue;
    if (best == nullptr || cost(room) < cost(*best)) best = &room;
  }
  if (best == nullptr) return;
  best->closed = true;
  service.has_kept = true;
  isolation_.kept[*candidate.service] = {.worker = best->worker->record.id,
                                         .wanted_ms = input_.wall_ms};
}

/// Plans the starts of all tasks of the gang, or none.
void PlanWalk::PlaceGang(const Candidate& candidate) {
  const StepRun& run = candidate.Run();
  if (run.assigned > 0) return;  // some tasks of the gang's latest run have not ended
  const auto held = [&](const Task& task) { return task.held(input_.wall_ms); };
  if (std::ranges::any_of(run.tasks, held)) return;
  const Step& step = candidate.Spec();
  const std::size_t first_start = starts_.size();
  const Resources used_before = candidate.team->used;
  std::vector<WorkerRoom*> chosen;
  std::map<WorkerId, std::uint32_t> per_worker;
  std::uint32_t last_run = 0;
  for (const Task& task : run.tasks) last_run = std::max(last_run, task.run);
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const bool within = WithinLimit(*candidate.team, step.size);
    // What does not fit beside the gang's other tasks may fit without them.
    const std::optional<Resources> smallest_before = candidate.room->smallest_unplaced;
    WorkerRoom* room = within ? ChooseWorker(candidate, per_worker, false) : nullptr;
    if (room == nullptr) {
      if (index > 0) candidate.room->smallest_unplaced = smallest_before;
      for (WorkerRoom* one : chosen) one->free += step.footprint();
      starts_.resize(first_start);
      candidate.team->used = used_before;
      return;
    }
    chosen.push_back(room);
    ++per_worker[room->worker->record.id];
    AddStart(candidate, index, last_run + 1, *room);
  }
}

WorkerRoom* PlanWalk::ChooseWorker(const Candidate& candidate,
                                   const std::map<WorkerId, std::uint32_t>& per_worker,
                                   bool last_attempt) {
  const Step& step = candidate.Spec();
  ServiceRoom& service = *candidate.room;
  const Resources footprint = step.footprint();
  if (service.smallest_unplaced && service.smallest_unplaced->FitsInto(footprint)) return nullptr;
  scanned_ = true;
  WorkerRoom* best = nullptr;
  std::tuple<bool, bool, bool, std::int64_t> best_score;
  for (WorkerRoom& room : service.workers) {
    const WorkerRecord& record = room.worker->record;
    if (room.closed || !footprint.FitsInto(room.free) || !Suits(step, record)) continue;
    if (step.max_per_worker > 0) {
      const auto count = per_worker.find(record.id);
      if (count != per_worker.end() && count->second >= step.max_per_worker) continue;
    }
    const bool near_data = step.data_rack.empty() || record.rack() == step.data_rack;
    // Prefers fuller workers, so that others become idle, and concentrates long-running tasks on
    // few workers. A task's last attempt prefers a recently successful worker.
    const std::tuple score(near_data, room.recently_successful || !last_attempt,
                           step.long_running && room.worker->long_running_tasks > 0,
                           -room.free.cpu);
    if (best != nullptr && score <= best_score) continue;
    best = &room;
    best_score = score;
  }
  const bool unrestricted = step.required_label.empty() && step.max_per_worker == 0;
  if (best == nullptr && unrestricted) service.smallest_unplaced = footprint;
  return best;
}

void PlanWalk::FindMisfit(const Candidate& candidate) {
  const Step& step = candidate.Spec();
  if (step.long_running || misfits_.contains(*candidate.service)) return;
  // The tasks of a gang need room at the same time.
  std::size_t unplaced = step.gang ? candidate.Run().tasks.size() : 1;
  bool suits_any = false;
  for (const WorkerRoom& room : candidate.room->workers) {
    if (!Suits(step, room.worker->record)) continue;
    suits_any = true;
    Resources free = room.worker->record.capacity - room.worker->long_running_used;
    std::size_t most = step.max_per_worker > 0 ? step.max_per_worker : unplaced;
    for (; unplaced > 0 && most > 0 && step.footprint().FitsInto(free); --most) {
      free -= step.footprint();
      --unplaced;
    }
    if (unplaced == 0) return;
  }
  if (!suits_any) return;  // more workers of the same kind would not help
  misfits_[*candidate.service] = {.job = candidate.job->id,
                                  .occurrence = candidate.occurrence,
                                  .step = candidate.step,
                                  .since_ms = input_.wall_ms,
                                  .seen_ms = input_.wall_ms};
}

void PlanWalk::AddStart(const Candidate& candidate, std::uint32_t index, std::uint32_t run,
                        WorkerRoom& room) {
  const Step& step = candidate.Spec();
  room.free -= step.footprint();
  room.has_start = true;
  candidate.team->used += step.size;
  starts_.push_back({.task = {candidate.job->id, candidate.occurrence, candidate.step, index},
                     .run = run,
                     .worker = room.worker->record.id});
}

}  // namespace

std::int64_t ObjectiveMs(const Job& job, const Queue* queue, double estimate_factor) {
  const double stretch = estimate_factor * (queue == nullptr ? 1.0 : queue->stretch);
  const std::int64_t slack = queue == nullptr ? 0 : queue->target_latency_ms;
  return slack + static_cast<std::int64_t>(stretch * static_cast<double>(job.critical_path_ms));
}

void StartPlanner::Reset() {
  queues_.clear();
  positions_.clear();
  later_.clear();
  changed_.clear();
  misfits_.clear();
  for (const auto& [id, job] : state_.startable_jobs()) changed_.insert(id);
}

void StartPlanner::RankNextInTurn() {
  for (int i = 0; i < kRankedInTurn; ++i) {
    const Job* next = state_.NextStartableJob(last_in_turn_);
    last_in_turn_ = next == nullptr ? 0 : next->id;
    if (next == nullptr) return;
    changed_.insert(next->id);
  }
}

void StartPlanner::Remove(JobId id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return;
  for (const auto& [queue, key] : found->second) queue->waiting.erase(key);
  positions_.erase(found);
}

/// Ranks the waiting steps of the job anew.
void StartPlanner::Update(JobId id, const PlanInput& input) {
  state_.CountScanned(1);
  Remove(id);
  const Job* job = state_.FindJob(id);
  if (job == nullptr || !job->active()) return;
  const Queue* queue = QueueOf(*job, state_);
  const JobTimes times(*job, queue, input);
  ServiceQueue& waiting = queues_[ServiceOf(*job, queue)];
  for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences(); ++occurrence) {
    const std::int64_t due = DueMs(*job, occurrence);
    if (due > input.wall_ms) {
      later_.emplace(due, id);
      break;
    }
    for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
      if (!HasStartableTask(*job, occurrence, step)) continue;
      const Step& spec = job->spec.steps[step];
      const WaitingKey key{.rank = times.Rank(*job, occurrence, step, input.wall_ms),
                           .job = id,
                           .occurrence = occurrence,
                           .step = step};
      waiting.waiting[key] = spec.footprint();
      positions_[id].emplace_back(&waiting, key);
    }
  }
}

void StartPlanner::UpdateIsolation(std::int64_t wall_ms) {
  std::erase_if(isolation_.trials, [&](const auto& entry) {
    const detail::Trial& trial = entry.second;
    const std::int64_t age_ms = wall_ms - trial.planned_ms;
    const Task* task = state_.FindTask(trial.task);
    if (task == nullptr || task->run > trial.run) return true;
    const bool runs = task->phase == TaskPhase::kAssigned && task->run == trial.run;
    if (!runs) return age_ms > kApplyMs || task->run == trial.run;
    const Job& job = *state_.FindJob(trial.task.job);
    return job.spec.steps[trial.task.step].long_running && age_ms > kLongRunningTrialMs;
  });
  std::erase_if(isolation_.kept,
                [&](const auto& entry) { return wall_ms > entry.second.wanted_ms + kKeepMs; });
}

void StartPlanner::UpdateMisfits(const std::map<std::string, Misfit>& found, std::int64_t wall_ms) {
  std::erase_if(misfits_, [&](const auto& entry) {
    return std::abs(wall_ms - entry.second.seen_ms) > kMisfitKeptMs;
  });
  for (const auto& [service, misfit] : found) {
    const auto before = misfits_.find(service);
    const std::int64_t since_ms =
        before == misfits_.end() ? misfit.since_ms : before->second.since_ms;
    misfits_[service] = misfit;
    misfits_[service].since_ms = since_ms;
  }
}

std::vector<Assign> StartPlanner::Plan(const PlanInput& input) {
  RankNextInTurn();
  while (!later_.empty() && later_.begin()->first <= input.wall_ms) {
    changed_.insert(later_.begin()->second);
    later_.erase(later_.begin());
  }
  for (const JobId id : std::exchange(changed_, {})) Update(id, input);
  UpdateIsolation(input.wall_ms);
  PlanWalk walk(state_, input, isolation_, [&](JobId id) { Update(id, input); });
  for (auto& [service, queue] : queues_) walk.Add(service, queue);
  std::vector<Assign> starts = walk.Run();
  UpdateMisfits(walk.TakeMisfits(), input.wall_ms);
  return starts;
}

}  // namespace godwitpaddle::jobs

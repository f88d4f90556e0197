#include "jobs/plan_walk.h"

#include <algorithm>
#include <tuple>

namespace godwitpaddle::jobs::detail {
namespace {

/// Limit of the examinations of waiting steps of one service in one plan that lead to no start. One
/// that compares the step with the room of all workers counts as kScanCost.
constexpr int kMaxFutileExaminations = 256;
constexpr int kScanCost = 8;
/// Limit for one plan and all services together. A plan shares it among the services, which get no
/// less than kMinFutileExaminations each.
constexpr int kMaxFutileOfPlan = 4'096;
constexpr int kMinFutileExaminations = 4 * kScanCost;
/// Steps of one service whose room is not compared anew and that are checked nevertheless for
/// whether they are unplaceable.
constexpr int kMaxPlaceableChecks = 8;
/// A worker gets no more tasks while this many starts wait for its answer, as many as it has
/// channels.
constexpr std::size_t kMaxUnansweredStarts = 64;
/// A suspect starts beside other tasks if no worker has become empty for this long after its latest
/// loss, and a long-running task joins a suspect that has a worker for itself: neither must wait
/// for 3 s beside free room.
constexpr std::int64_t kAloneWaitMs = 2'000;
/// A job with nothing running may use a leaving worker once it has waited this long.
constexpr std::int64_t kLeavingWaitMs = 1'000;
/// An expired job gets a share of the starts once it has waited this long. Otherwise it would wait
/// for as long as jobs arrive that can still be in time.
constexpr std::int64_t kOverdueMs = 10'000;
/// A worker is kept for a step that has waited this long and finds no room even then.
constexpr std::int64_t kKeepForOverdueMs = 20'000;
/// One in this many starts of a service is for an overdue job.
constexpr int kOverdueShare = 8;
/// A service has a start of an overdue job at least this often, if there is room.
constexpr Micros kOverduePeriod = kSecond;
/// Shares that a service may save for later.
constexpr int kMaxSavedShares = 16;
/// Limit of the overdue steps of one service that one plan examines.
constexpr int kMaxOverdueExaminations = 16;

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
  return !room.in_trial && !room.leaving && room.starts == 0 && room.worker->tasks.empty();
}

/// Whether the worker is empty once its tasks have ended, if it gets no others.
bool EmptiesItself(const WorkerRoom& room) {
  return !room.in_trial && !room.leaving && room.long_running_tasks == 0;
}

/// Whether the step fits on any worker with enough room, wherever its other tasks run.
bool IsUnrestricted(const Step& step) {
  return step.required_label.empty() && step.max_per_worker == 0;
}

}  // namespace

JobTimes::JobTimes(const Job& job, const PlanInput& input)
    : priority(State::QueueOf(job).priority),
      factor(input.estimate_factor ? input.estimate_factor(State::QueueOf(job).service) : 1) {
  objective_ms = ObjectiveMs(job, factor);
}

StartRank JobTimes::Rank(const Job& job, std::uint32_t occurrence, std::uint32_t step,
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

// ---- the walk ----

void PlanWalk::Add(const std::string& service, ServiceQueue& queue) {
  if (queue.waiting.empty()) return;
  cursors_.push_back({.service = &service, .queue = &queue, .key = queue.waiting.begin()->first});
}

std::vector<Assign> PlanWalk::Run() {
  const int share = kMaxFutileOfPlan / std::max(1, static_cast<int>(cursors_.size()));
  max_futile_ = std::clamp(share, kMinFutileExaminations, kMaxFutileExaminations);
  for (Cursor& cursor : cursors_) {
    StartOverdue(cursor);
    StartWithinShares(cursor);
    cursor.key = cursor.queue->waiting.begin()->first;  // the former one may have been ranked anew
  }
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
  full_ = !cursors_.empty();
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

Candidate PlanWalk::MakeCandidate(const Cursor& cursor, const Job& job) {
  Candidate candidate{.job = &job,
                      .occurrence = cursor.key.occurrence,
                      .step = cursor.key.step,
                      .service = cursor.service,
                      .room = &RoomOf(*cursor.service),
                      .team = TeamOf(job),
                      .waited_ms = input_.wall_ms - DueMs(job, cursor.key.occurrence)};
  candidate.joins_in = JoinsIn(candidate);
  return candidate;
}

void PlanWalk::Examine(Cursor& cursor) {
  state_.CountScanned(1);
  if (started_.contains(cursor.key)) return;
  ServiceRoom& room = RoomOf(*cursor.service);
  const Resources& footprint = cursor.queue->waiting.at(cursor.key);
  // A step that needs no more than this one has not fitted on any worker in this plan.
  const auto find_job = [&]() -> const Job& { return *state_.FindJob(cursor.key.job); };
  const bool others_open =
      room.has_kept ||
      (room.has_reserved && room.HasOthersFor(find_job().spec.steps[cursor.key.step]));
  if (!others_open && room.smallest_unplaced && room.smallest_unplaced->FitsInto(footprint)) {
    ++cursor.futile;
    const bool placeable = room.largest_placeable && footprint.FitsInto(*room.largest_placeable);
    if (placeable || unplaceable_.contains(*cursor.service)) return;
    if (++room.placeable_checks > kMaxPlaceableChecks) return;
    cursor.futile += kScanCost;
    return CheckPlaceable(MakeCandidate(cursor, find_job()));
  }
  const Job& job = find_job();
  const StartRank rank =
      JobTimes(job, input_).Rank(job, cursor.key.occurrence, cursor.key.step, input_.wall_ms);
  if (rank > cursor.key.rank) return rank_anew_(job.id);  // its turn comes later
  const Candidate candidate = MakeCandidate(cursor, job);
  const std::size_t before = starts_.size();
  scanned_ = false;
  waits_near_ = false;
  if (candidate.Spec().gang) {
    PlaceGang(candidate);
  } else {
    Place(candidate);
  }
  const std::size_t placed = starts_.size() - before;
  if (placed > 0) {
    const int most = kMaxSavedShares * kOverdueShare;
    cursor.queue->overdue_credit =
        std::min(most, cursor.queue->overdue_credit + static_cast<int>(placed));
    return;
  }
  cursor.futile += scanned_ ? kScanCost : 1;
  if (!scanned_ || waits_near_) return;
  CheckPlaceable(candidate);
  if (rank.expired && candidate.waited_ms >= kKeepForOverdueMs) KeepWorker(candidate);
}

void PlanWalk::StartOverdue(const Cursor& of_service) {
  ServiceQueue& queue = *of_service.queue;
  const auto& waiting = queue.waiting;
  // Expired steps are the last ones of a queue, those with the earliest deadlines first.
  const WaitingKey first_expired{.rank = {.expired = true}};
  auto next = waiting.lower_bound(first_expired);
  if (next == waiting.end()) return;
  // Also while no other step of the service starts.
  const bool none_lately = input_.now - queue.last_overdue_start >= kOverduePeriod;
  if (none_lately) queue.overdue_credit = std::max(queue.overdue_credit, kOverdueShare);
  Cursor cursor = of_service;
  for (int i = 0; i < kMaxOverdueExaminations && next != waiting.end(); ++i) {
    if (queue.overdue_credit < kOverdueShare || starts_.size() >= input_.max_starts) return;
    cursor.key = next->first;
    const Job& job = *state_.FindJob(cursor.key.job);
    if (input_.wall_ms - DueMs(job, cursor.key.occurrence) >= kOverdueMs &&
        !RoomOf(*cursor.service).workers.empty()) {
      const std::size_t before = starts_.size();
      const int credit = queue.overdue_credit;
      Examine(cursor);
      const int started = static_cast<int>(starts_.size() - before);
      queue.overdue_credit = credit - kOverdueShare * started;
      if (started > 0) {
        queue.last_overdue_start = input_.now;
        started_.insert(cursor.key);
      }
    }
    next = waiting.upper_bound(cursor.key);
  }
}

ServiceRoom& PlanWalk::RoomOf(const std::string& service) {
  const auto [entry, is_new] = rooms_.try_emplace(service);
  ServiceRoom& room = entry->second;
  if (!is_new) return room;
  const std::vector<UsableWorker> usable = input_.usable_workers(service);
  state_.CountScanned(usable.size());
  room.workers.reserve(usable.size());
  const auto kept = isolation_.kept.find(service);
  for (const UsableWorker& one : usable) {
    const Worker& worker = *one.worker;
    const WorkerId& id = worker.record.id;
    const UnappliedLoad load = unapplied_.LoadOf(id);
    const bool in_trial = isolation_.trials.contains(id);
    const bool is_kept = !one.leaving && kept != isolation_.kept.end() && kept->second.worker == id;
    if (is_kept) room.has_kept = true;
    room.has_reserved = room.has_reserved || in_trial || is_kept || one.leaving;
    const bool unanswered = one.unanswered_starts >= kMaxUnansweredStarts;
    const Resources taken = worker.used + load.used;
    room.used += taken;
    room.capacity += worker.record.capacity;
    room.workers.push_back(
        {.worker = &worker,
         .free = worker.record.capacity - taken,
         .starts = load.starts,
         .long_running_tasks = worker.long_running_tasks + load.long_running_starts,
         .long_running_used = worker.long_running_used + load.long_running_used,
         .recently_successful = one.recently_successful,
         .leaving = one.leaving,
         .long_lease = one.long_lease,
         .unanswered = unanswered,
         .kept = is_kept,
         .in_trial = in_trial});
  }
  room.low_use = (room.used + room.used).FitsInto(room.capacity);
  return room;
}

TeamUsage* PlanWalk::TeamOf(const Job& job) {
  const KnownTeam* known = State::TeamOf(job);
  const auto [entry, is_new] = teams_.try_emplace(known);
  if (is_new && known != nullptr) {
    entry->second.team = &known->team;
    entry->second.used = known->used + unapplied_.UsageOf(known->number);
  }
  return &entry->second;
}

// ---- placement ----

std::map<WorkerId, std::uint32_t> PlanWalk::CountPerWorker(const Candidate& candidate) const {
  std::map<WorkerId, std::uint32_t> counts;
  const auto& tasks = candidate.Run().tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].phase == TaskPhase::kAssigned) {
      ++counts[tasks[index].worker];
    } else if (const WorkerId* worker = unapplied_.WorkerOf(candidate.Task(index))) {
      ++counts[*worker];
    }
  }
  return counts;
}

void PlanWalk::Place(const Candidate& candidate) {
  const Step& step = candidate.Spec();
  const StepRun& run = candidate.Run();
  std::map<WorkerId, std::uint32_t> per_worker;
  if (step.max_per_worker > 0) per_worker = CountPerWorker(candidate);
  const std::string rack = NearRack(candidate);
  bool full = false;  // no worker has room for a task that is not a suspect
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const Task& task = run.tasks[index];
    const bool waits = step.long_running ? task.paused(input_.wall_ms) : task.held(input_.wall_ms);
    if (task.phase != TaskPhase::kWaiting || waits) continue;
    if (unapplied_.Contains(candidate.Task(index))) continue;
    if (starts_.size() >= input_.max_starts || !WithinLimit(*candidate.team, step.size)) return;
    if (StartsAlone(candidate, task)) {
      PlaceAlone(candidate, index, per_worker);
      continue;
    }
    if (full) continue;
    const bool last_attempt = !step.long_running && task.failed_runs + 1 >= candidate.job->attempts;
    WorkerRoom* room = nullptr;
    if (!rack.empty()) {
      room = ChooseWorker(candidate, per_worker, last_attempt, rack);
      if (room == nullptr && WaitsForRack(candidate, rack)) continue;
    }
    if (room == nullptr) room = ChooseWorker(candidate, per_worker, last_attempt, {});
    if (room == nullptr) {
      full = true;
      continue;
    }
    if (step.max_per_worker > 0) ++per_worker[room->worker->record.id];
    AddStart(candidate, index, task.run + 1, *room);
    if (rack.empty()) continue;
    ++(room->worker->record.rack() == rack ? near_counts_.near_starts : near_counts_.far_starts);
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
  // The time of day may have been set back since the loss.
  const std::int64_t waited_ms = input_.wall_ms - task.lost_ms;
  const bool may_wait = !probably_innocent && waited_ms >= 0 && waited_ms < kAloneWaitMs;
  return may_wait && any_suited(EmptiesItself);
}

void PlanWalk::PlaceAlone(const Candidate& candidate, std::uint32_t index,
                          std::map<WorkerId, std::uint32_t>& per_worker) {
  auto& rooms = candidate.room->workers;
  const auto find_empty = [&](bool with_long_lease) {
    return std::ranges::find_if(rooms, [&](const WorkerRoom& one) {
      return IsEmpty(one) && (with_long_lease || !one.long_lease) &&
             Suits(candidate.Spec(), one.worker->record);
    });
  };
  auto room = find_empty(!candidate.Spec().long_running);
  if (room == rooms.end()) room = find_empty(true);
  if (room == rooms.end()) return KeepWorker(candidate);
  const WorkerId& id = room->worker->record.id;
  const std::uint32_t run = candidate.Run().tasks[index].run + 1;
  AddStart(candidate, index, run, *room);
  ++per_worker[id];
  room->kept = false;
  room->in_trial = true;
  candidate.room->has_reserved = true;
  isolation_.trials[id] = {.task = starts_.back().task, .run = run, .planned = input_.now};
  const auto kept = isolation_.kept.find(*candidate.service);
  if (kept != isolation_.kept.end() && kept->second.worker == id) isolation_.kept.erase(kept);
}

void PlanWalk::KeepWorker(const Candidate& candidate) {
  ServiceRoom& service = *candidate.room;
  if (service.has_kept) {
    isolation_.kept[*candidate.service].wanted = input_.now;
    return;
  }
  WorkerRoom* best = nullptr;
  const auto cost = [](const WorkerRoom& room) {
    return std::pair(room.starts > 0, room.worker->tasks.size());
  };
  for (WorkerRoom& room : service.workers) {
    if (!EmptiesItself(room) || !Suits(candidate.Spec(), room.worker->record)) continue;
    if (best == nullptr || cost(room) < cost(*best)) best = &room;
  }
  if (best == nullptr) return;
  best->kept = true;
  service.has_kept = true;
  service.has_reserved = true;
  isolation_.kept[*candidate.service] = {.worker = best->worker->record.id, .wanted = input_.now};
}

/// Plans the starts of all tasks of the gang, or none.
void PlanWalk::PlaceGang(const Candidate& candidate) {
  const StepRun& run = candidate.Run();
  if (run.assigned > 0) return;  // some tasks of the gang's latest run have not ended
  if (unapplied_.CountOfStep(candidate.job->id, candidate.occurrence, candidate.step) > 0) return;
  const auto held = [&](const Task& task) { return task.held(input_.wall_ms); };
  if (std::ranges::any_of(run.tasks, held)) return;
  const std::string rack = NearRack(candidate);
  if (rack.empty()) {
    PlaceGangOn(candidate, {});
  } else if (PlaceGangOn(candidate, rack)) {
    near_counts_.near_starts += run.tasks.size();
  } else if (!WaitsForRack(candidate, rack) && PlaceGangOn(candidate, {})) {
    near_counts_.far_starts += run.tasks.size();
  }
}

bool PlanWalk::PlaceGangOn(const Candidate& candidate, const std::string& rack) {
  const StepRun& run = candidate.Run();
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
    WorkerRoom* room = within ? ChooseWorker(candidate, per_worker, false, rack) : nullptr;
    if (room == nullptr) {
      if (index > 0) candidate.room->smallest_unplaced = smallest_before;
      for (WorkerRoom* one : chosen) {
        one->free += step.footprint();
        --one->starts;
      }
      starts_.resize(first_start);
      candidate.team->used = used_before;
      return false;
    }
    chosen.push_back(room);
    ++per_worker[room->worker->record.id];
    AddStart(candidate, index, last_run + 1, *room);
  }
  return true;
}

bool PlanWalk::JoinsIn(const Candidate& candidate) const {
  if (!candidate.Spec().long_running || candidate.waited_ms < kAloneWaitMs) return false;
  return std::ranges::any_of(candidate.Run().tasks, [&](const Task& task) {
    // The time of day may have been set back since the loss.
    const std::int64_t waited_ms = input_.wall_ms - task.lost_ms;
    return task.phase == TaskPhase::kWaiting && (waited_ms < 0 || waited_ms >= kAloneWaitMs);
  });
}

bool PlanWalk::IsOpenFor(const Candidate& candidate, const WorkerRoom& room) {
  if (room.unanswered) return false;
  const bool overdue = candidate.waited_ms >= kKeepForOverdueMs;
  if (room.in_trial && !candidate.joins_in) return false;
  if (room.kept && !candidate.joins_in && !overdue) return false;
  if (!room.leaving) return true;
  // The move can wait, or take another VM. While the service is well used, its jobs wait for others
  // to end, so that VMs get free for moves.
  if (candidate.Spec().long_running) return true;
  return candidate.room->low_use && candidate.job->assigned == 0 &&
         candidate.waited_ms >= kLeavingWaitMs;
}

WorkerRoom* PlanWalk::ChooseWorker(const Candidate& candidate,
                                   const std::map<WorkerId, std::uint32_t>& per_worker,
                                   bool last_attempt, const std::string& rack) {
  const Step& step = candidate.Spec();
  ServiceRoom& service = *candidate.room;
  const Resources footprint = step.footprint();
  const bool others_open =
      (service.has_kept && candidate.waited_ms >= kKeepForOverdueMs) || service.HasOthersFor(step);
  const bool skips =
      service.smallest_unplaced && service.smallest_unplaced->FitsInto(footprint) && !others_open;
  if (skips) return nullptr;
  scanned_ = true;
  WorkerRoom* best = nullptr;
  std::tuple<bool, bool, bool, bool, bool, bool, std::int64_t> best_score;
  bool leaving_has_room = false;
  for (WorkerRoom& room : service.workers) {
    const WorkerRecord& record = room.worker->record;
    if (!footprint.FitsInto(room.free) || !Suits(step, record)) continue;
    if (!rack.empty() && record.rack() != rack) continue;
    if (!IsOpenFor(candidate, room)) {
      leaving_has_room = leaving_has_room || (room.leaving && !room.closed() && service.low_use);
      continue;
    }
    if (step.max_per_worker > 0) {
      const auto count = per_worker.find(record.id);
      if (count != per_worker.end() && count->second >= step.max_per_worker) continue;
    }
    const bool near_data = step.data_rack.empty() || record.rack() == step.data_rack;
    // Prefers fuller workers, so that others become idle, and concentrates long-running tasks on
    // few workers. A task's last attempt prefers a recently successful worker.
    const std::tuple score(!room.closed(), !room.leaving, near_data,
                           !(step.long_running && room.long_lease),
                           room.recently_successful || !last_attempt,
                           step.long_running && room.long_running_tasks > 0, -room.free.cpu);
    if (best != nullptr && score <= best_score) continue;
    best = &room;
    best_score = score;
  }
  const bool fits_nowhere =
      best == nullptr && !leaving_has_room && rack.empty() && IsUnrestricted(step);
  if (fits_nowhere) service.smallest_unplaced = footprint;
  return best;
}

void PlanWalk::AddStart(const Candidate& candidate, std::uint32_t index, std::uint32_t run,
                        WorkerRoom& room) {
  const Step& step = candidate.Spec();
  room.free -= step.footprint();
  ++room.starts;
  candidate.team->used += step.size;
  starts_.push_back({.task = candidate.Task(index), .run = run, .worker = room.worker->record.id});
}

// ---- unplaceable steps ----

bool PlanWalk::FitsBesideLongRunning(const Candidate& candidate) {
  const Step& step = candidate.Spec();
  // The tasks of a gang need room at the same time.
  std::size_t unplaced = step.gang ? candidate.Run().tasks.size() : 1;
  for (const WorkerRoom& room : candidate.room->workers) {
    const bool is_open = candidate.room->low_use || !room.leaving;
    if (!is_open || !Suits(step, room.worker->record)) continue;
    Resources free = room.worker->record.capacity - room.long_running_used;
    std::size_t most = step.max_per_worker > 0 ? step.max_per_worker : unplaced;
    for (; unplaced > 0 && most > 0 && step.footprint().FitsInto(free); --most) {
      free -= step.footprint();
      --unplaced;
    }
    if (unplaced == 0) return true;
  }
  return false;
}

std::uint32_t PlanWalk::CountWithinLimit(const Candidate& candidate) const {
  TeamUsage usage = *candidate.team;
  std::uint32_t count = 0;
  const auto& tasks = candidate.Run().tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].phase != TaskPhase::kWaiting) continue;
    if (unapplied_.Contains(candidate.Task(index))) continue;
    // A gang starts as a whole or not at all.
    if (!WithinLimit(usage, candidate.Spec().size)) return candidate.Spec().gang ? 0 : count;
    usage.used += candidate.Spec().size;
    ++count;
  }
  return count;
}

void PlanWalk::CheckPlaceable(const Candidate& candidate) {
  const Step& step = candidate.Spec();
  if (step.long_running || !input_.knows_workers) return;
  if (unplaceable_.contains(*candidate.service)) return;
  ServiceRoom& room = *candidate.room;
  const auto suits = [&](const WorkerRoom& one) { return Suits(step, one.worker->record); };
  if (std::ranges::none_of(room.workers, suits)) return;  // more of the same kind would not help
  if (FitsBesideLongRunning(candidate)) {
    // With most of the room free, it is the short tasks that lie badly, and others may follow them.
    const bool broken_up = room.low_use && candidate.job->assigned == 0 &&
                           step.required_label.empty() && candidate.waited_ms >= kLeavingWaitMs;
    if (!broken_up) {
      const Resources footprint = step.footprint();
      const bool larger = !room.largest_placeable || room.largest_placeable->FitsInto(footprint);
      if (larger && IsUnrestricted(step) && !step.gang) room.largest_placeable = footprint;
      return;
    }
  }
  const std::uint32_t tasks = CountWithinLimit(candidate);
  if (tasks == 0) return;
  unplaceable_[*candidate.service] = {.job = candidate.job->id,
                                      .occurrence = candidate.occurrence,
                                      .step = candidate.step,
                                      .tasks = tasks,
                                      .since = input_.now,
                                      .seen = input_.now};
}

}  // namespace godwitpaddle::jobs::detail

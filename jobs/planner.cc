#include "jobs/planner.h"

#include <utility>

#include "jobs/plan_walk.h"

namespace godwitpaddle::jobs {
namespace {

using detail::JobTimes;
using detail::ServiceQueue;
using detail::WaitingKey;

/// Jobs that each plan ranks anew in turn: estimates of run times change without an event.
constexpr int kRankedInTurn = 16;
/// A long-running suspect gets company after this time.
constexpr Micros kLongRunningTrial = 6 * kSecond;
/// A kept worker is released if no task waited for it for this long, which is longer than the time
/// between two plans.
constexpr Micros kKeepTime = 400 * kMillisecond;
/// A step that no plan found to wait for a place near for this long does not wait any more.
constexpr Micros kNearWaitTime = kSecond;
/// A step that no plan found to be unplaceable for this long is placeable. A plan may end before it
/// gets to a service.
constexpr Micros kUnplaceableTime = 400 * kMillisecond;

}  // namespace

std::int64_t ObjectiveMs(const Job& job, double estimate_factor) {
  const Queue& queue = State::QueueOf(job);
  const double stretch = estimate_factor * queue.stretch;
  return queue.target_latency_ms +
         static_cast<std::int64_t>(stretch * static_cast<double>(job.critical_path_ms));
}

void StartPlanner::Reset() {
  unapplied_.Clear();
  RankAll();
}

void StartPlanner::RankAll() {
  queues_.clear();
  positions_.clear();
  later_.clear();
  changed_.clear();
  unplaceable_.clear();
  near_waits_.clear();
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
  for (const Position& position : found->second) {
    position.queue->waiting.erase(position.key);
    const auto of_team = position.queue->by_team.find(position.team);
    of_team->second.erase(position.key);
    if (of_team->second.empty()) position.queue->by_team.erase(of_team);
  }
  positions_.erase(found);
}

bool StartPlanner::HasUnplannedTask(const Job& job, std::uint32_t occurrence,
                                    std::uint32_t step) const {
  if (!HasStartableTask(job, occurrence, step)) return false;
  const StepRun& run = job.At(occurrence, step);
  const std::size_t planned = unapplied_.CountOfStep(job.id, occurrence, step);
  return run.done + run.assigned + planned < run.tasks.size();
}

/// Ranks the waiting steps of the job anew.
void StartPlanner::Update(JobId id, const PlanInput& input) {
  state_.CountScanned(1);
  Remove(id);
  const Job* job = state_.FindJob(id);
  if (job == nullptr || !job->active()) return;
  const JobTimes times(*job, input);
  ServiceQueue& waiting = queues_[State::QueueOf(*job).service];
  for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences(); ++occurrence) {
    if (!IsOccurrenceDue(*job, occurrence, input.wall_ms)) {
      later_.emplace(DueMs(*job, occurrence), id);
      break;
    }
    for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
      if (!HasUnplannedTask(*job, occurrence, step)) continue;
      const Step& spec = job->spec.steps[step];
      const WaitingKey key{.rank = times.Rank(*job, occurrence, step, input.wall_ms),
                           .job = id,
                           .occurrence = occurrence,
                           .step = step};
      waiting.waiting[key] = spec.footprint();
      waiting.by_team[job->team_number].insert(key);
      positions_[id].push_back({.queue = &waiting, .key = key, .team = job->team_number});
    }
  }
}

void StartPlanner::UpdateIsolation(Micros now) {
  std::erase_if(isolation_.trials, [&](const auto& entry) {
    const detail::Trial& trial = entry.second;
    if (unapplied_.Contains(trial.task)) return false;
    const Task* task = state_.FindTask(trial.task);
    if (task == nullptr || task->run != trial.run) return true;
    if (task->phase != TaskPhase::kAssigned) return true;
    const Job& job = *state_.FindJob(trial.task.job);
    const bool long_running = job.spec.steps[trial.task.step].long_running;
    return long_running && now - trial.planned > kLongRunningTrial;
  });
  std::erase_if(isolation_.kept,
                [&](const auto& entry) { return now > entry.second.wanted + kKeepTime; });
}

void StartPlanner::UpdateUnplaceable(const std::map<std::string, UnplaceableStep>& found,
                                     Micros now) {
  std::erase_if(unplaceable_,
                [&](const auto& entry) { return now > entry.second.seen + kUnplaceableTime; });
  for (const auto& [service, step] : found) {
    const auto before = unplaceable_.find(service);
    const Micros since = before == unplaceable_.end() ? step.since : before->second.since;
    unplaceable_[service] = step;
    unplaceable_[service].since = since;
  }
}

std::map<std::string, std::vector<TeamShare>> StartPlanner::ContendedShares(Micros now) const {
  std::map<std::string, std::vector<TeamShare>> contended;
  for (const auto& [service, queue] : queues_) {
    if (!queue.shares.empty() && now - queue.lags_at <= kSecond) contended[service] = queue.shares;
  }
  return contended;
}

StartPlan StartPlanner::Plan(const PlanInput& input) {
  RankNextInTurn();
  while (!later_.empty() && later_.begin()->first <= input.wall_ms) {
    changed_.insert(later_.begin()->second);
    later_.erase(later_.begin());
  }
  for (const JobId id : std::exchange(changed_, {})) Update(id, input);
  UpdateIsolation(input.now);
  std::erase_if(near_waits_,
                [&](const auto& entry) { return input.now > entry.second.seen + kNearWaitTime; });
  detail::PlanWalk walk(state_, input, unapplied_, isolation_, near_waits_,
                        [&](JobId id) { Update(id, input); });
  for (auto& [service, queue] : queues_) walk.Add(service, queue);
  StartPlan plan{.starts = walk.Run(), .full = walk.full()};
  plan.near = walk.near_counts();
  plan.share_starts = walk.share_starts();
  UpdateUnplaceable(walk.TakeUnplaceable(), input.now);
  for (const Assign& start : plan.starts) {
    unapplied_.Add(start, *state_.FindJob(start.task.job));
    changed_.insert(start.task.job);
  }
  return plan;
}

}  // namespace godwitpaddle::jobs

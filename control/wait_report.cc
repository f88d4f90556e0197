#include "control/wait_report.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kPeriod = kSecond;
constexpr Micros kLoggedAfter = 2 * kSecond;
/// Limits of one period: of the jobs, all are examined in turn.
constexpr int kMaxJobs = 64;
constexpr int kMaxLines = 16;

bool LimitReached(const Job& job, const Resources& size) {
  const KnownTeam* known = State::TeamOf(job);
  if (known == nullptr) return false;
  const Resources total = known->used + size;
  const Resources& most = known->team.limit;
  const auto over = [](std::int64_t value, std::int64_t limit) {
    return limit != 0 && value > limit;
  };
  return over(total.cpu, most.cpu) || over(total.memory_mb, most.memory_mb) ||
         over(total.accelerators, most.accelerators);
}

/// Returns "OBSTACLE:COUNT" for each obstacle of a worker with room; "none" stands for workers that
/// may get tasks.
std::string FormatCounts(const TaskWait& wait) {
  std::string text;
  for (std::size_t i = 0; i < wait.with_room.size(); ++i) {
    if (wait.with_room.at(i) == 0) continue;
    text += (text.empty() ? "" : ",") + std::string(kWorkerObstacleNames.at(i)) + ":" +
            std::to_string(wait.with_room.at(i));
  }
  return text;
}

}  // namespace

void WaitReport::Tick(Micros now, WallMs wall, Outbox& out) {
  if (now < next_tick_) return;
  next_tick_ = now + kPeriod;
  lines_left_ = kMaxLines;
  for (int i = 0; i < kMaxJobs; ++i) {
    const Job* job = state_.NextStartableJob(last_examined_);
    last_examined_ = job == nullptr ? 0 : job->id;
    if (job == nullptr) break;
    ExamineJob(*job, now, wall, out);
  }
  // All startable jobs are examined within this time, unless there are very many.
  const Micros kept = std::max<Micros>(
      2 * kPeriod, static_cast<Micros>(state_.startable_job_count()) / kMaxJobs * 2 * kPeriod);
  std::erase_if(waits_, [&](const auto& entry) { return now - entry.second.seen > kept; });
}

void WaitReport::ExamineJob(const Job& job, Micros now, WallMs wall, Outbox& out) {
  for (std::uint32_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
    if (!IsOccurrenceDue(job, occurrence, wall)) return;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      const bool idle = job.assigned == 0 || job.spec.steps[step].long_running;
      if (!idle || !HasStartableTask(job, occurrence, step)) continue;
      const auto& tasks = job.At(occurrence, step).tasks;
      const auto first = std::ranges::find(tasks, TaskPhase::kWaiting, &Task::phase);
      if (first == tasks.end()) continue;
      const auto index = static_cast<std::uint32_t>(first - tasks.begin());
      OnWaiting({job.id, occurrence, step, index}, now, wall, out);
    }
  }
}

void WaitReport::OnWaiting(const TaskId& id, Micros now, WallMs wall, Outbox& out) {
  Wait& wait = waits_.try_emplace(id, Wait{.since = now}).first->second;
  wait.seen = now;
  if (now - wait.since < kLoggedAfter || lines_left_ == 0) return;
  const TaskWait found = Explain(id, now, wall);
  if (wait.is_logged && wait.logged == found.reason) return;
  wait.is_logged = true;
  wait.logged = found.reason;
  --lines_left_;
  out.Count("task_waits_" + std::string(NameOf(kWaitReasonNames, found.reason)) + "_total");
  const Task& task = *state_.FindTask(id);
  const Resources size = state_.FindJob(id.job)->spec.steps[id.step].footprint();
  out.Log("task_waits",
          {{"task", FormatTask(id)},
           {"reason", std::string(NameOf(kWaitReasonNames, found.reason))},
           {"waited_ms", std::to_string((now - wait.since) / kMillisecond)},
           {"cpu", std::to_string(size.cpu)},
           {"memory_mb", std::to_string(size.memory_mb)},
           {"run", std::to_string(task.run)},
           {"crashes", std::to_string(task.crashes.size())},
           {"losses", std::to_string(task.unexplained_losses.size())},
           {"lost_ms_ago", std::to_string(task.lost_ms == 0 ? 0 : wall - task.lost_ms)},
           {"workers", std::to_string(found.workers)},
           {"usable", std::to_string(found.usable)},
           {"with_room", FormatCounts(found)}},
          Severity::kWarning);
}

TaskWait WaitReport::Explain(const TaskId& id, Micros now, WallMs wall) const {
  TaskWait wait;
  const Job& job = *state_.FindJob(id.job);
  const Step& step = job.spec.steps[id.step];
  const Task& task = *state_.FindTask(id);
  const std::unordered_set<std::string_view> cordoned = cordoned_vms_();
  std::uint32_t roomy = 0;
  std::uint32_t allowed = 0;
  for (const ObservedWorker& one : fleet_.WorkersOf(State::QueueOf(job).service, now)) {
    WorkerObstacle obstacle = one.obstacle;
    if (obstacle == WorkerObstacle::kNone && cordoned.contains(one.worker->record.vm)) {
      obstacle = WorkerObstacle::kCordoned;
    }
    ++wait.workers;
    if (obstacle == WorkerObstacle::kNone) ++wait.usable;
    const Resources planned = unapplied_.LoadOf(one.worker->record.id).used;
    if (!HasRoom(job, id, *one.worker, planned)) continue;
    ++roomy;
    if (obstacle == WorkerObstacle::kNone) ++allowed;
    ++wait.with_room.at(static_cast<std::size_t>(obstacle));
  }
  if (unapplied_.Contains(id)) {
    wait.reason = WaitReason::kPlanned;
  } else if (step.long_running ? task.paused(wall) : task.held(wall)) {
    wait.reason = WaitReason::kHeld;
  } else if (LimitReached(job, step.size)) {
    wait.reason = WaitReason::kTeamLimit;
  } else if (wait.workers == 0) {
    wait.reason = WaitReason::kNoWorkers;
  } else if (roomy == 0) {
    wait.reason = WaitReason::kNoRoom;
  } else if (allowed == 0) {
    wait.reason = WaitReason::kNotAllowed;
  }
  return wait;
}

}  // namespace godwitpaddle::jobs

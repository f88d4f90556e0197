#include "jobs/unapplied_starts.h"

#include <utility>

namespace godwitpaddle::jobs {

void UnappliedStarts::Add(const Assign& start, const Job& job) {
  const Step& step = job.spec.steps[start.task.step];
  const Resources footprint = step.footprint();
  starts_[start.task] = {.run = start.run,
                         .worker = start.worker,
                         .footprint = footprint,
                         .size = step.size,
                         .team = job.team_number,
                         .service = State::QueueOf(job).service,
                         .long_running = step.long_running};
  UnappliedLoad& load = by_worker_[start.worker];
  ++load.starts;
  load.used += footprint;
  by_team_[job.team_number] += step.size;
  footprints_[{job.team_number, State::QueueOf(job).service}] += footprint;
  if (!step.long_running) return;
  ++load.long_running_starts;
  load.long_running_used += footprint;
}

void UnappliedStarts::Remove(const Assign& start) {
  const auto found = starts_.find(start.task);
  if (found == starts_.end()) return;
  if (found->second.run != start.run || found->second.worker != start.worker) return;
  const Start removed = std::move(found->second);
  starts_.erase(found);
  by_team_[removed.team] -= removed.size;
  footprints_[{removed.team, removed.service}] -= removed.footprint;
  const auto load = by_worker_.find(removed.worker);
  load->second.used -= removed.footprint;
  if (removed.long_running) {
    --load->second.long_running_starts;
    load->second.long_running_used -= removed.footprint;
  }
  if (--load->second.starts == 0) by_worker_.erase(load);
}

void UnappliedStarts::Clear() {
  starts_.clear();
  by_worker_.clear();
  by_team_.clear();
  footprints_.clear();
}

const WorkerId* UnappliedStarts::WorkerOf(const TaskId& task) const {
  const auto found = starts_.find(task);
  return found == starts_.end() ? nullptr : &found->second.worker;
}

std::size_t UnappliedStarts::CountOfStep(JobId job, std::uint32_t occurrence,
                                         std::uint32_t step) const {
  const auto is_of_step = [&](const TaskId& task) {
    return task.job == job && task.occurrence == occurrence && task.step == step;
  };
  std::size_t count = 0;
  const TaskId first{.job = job, .occurrence = occurrence, .step = step};
  for (auto it = starts_.lower_bound(first); it != starts_.end() && is_of_step(it->first); ++it) {
    ++count;
  }
  return count;
}

UnappliedLoad UnappliedStarts::LoadOf(const WorkerId& worker) const {
  const auto found = by_worker_.find(worker);
  return found == by_worker_.end() ? UnappliedLoad() : found->second;
}

Resources UnappliedStarts::UsageOf(TeamNumber team) const {
  const auto found = by_team_.find(team);
  return found == by_team_.end() ? Resources() : found->second;
}

Resources UnappliedStarts::FootprintOf(TeamNumber team, const std::string& service) const {
  const auto found = footprints_.find({team, service});
  return found == footprints_.end() ? Resources() : found->second;
}

}  // namespace godwitpaddle::jobs

#include "control/availability.h"

namespace godwitpaddle::jobs {

std::uint32_t CountUnavailableOthers(const State& state, const WorkerFleet& fleet,
                                     const TaskId& task) {
  const StepRun& run = state.FindJob(task.job)->At(task.occurrence, task.step);
  std::uint32_t unavailable = 0;
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const TaskId other{task.job, task.occurrence, task.step, index};
    if (index != task.index && !fleet.RunsAtFullSpeed(other)) ++unavailable;
  }
  return unavailable;
}

bool MayInterrupt(const State& state, const WorkerFleet& fleet, const TaskId& task) {
  const Job& job = *state.FindJob(task.job);
  const std::uint32_t limit = job.spec.steps[task.step].max_unavailable;
  if (limit == 0 || !job.active()) return true;
  return CountUnavailableOthers(state, fleet, task) < limit;
}

}  // namespace godwitpaddle::jobs

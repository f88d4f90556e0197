#include "jobs/start_order.h"

#include <algorithm>
#include <boost/container/small_vector.hpp>

namespace godwitpaddle::jobs {

Timeliness TimelinessOf(const WaitingStep& step, std::int64_t wall_ms) {
  if (step.long_running) return Timeliness::kInTime;
  const std::int64_t expected_ms = wall_ms + step.critical_path_ms - step.due_ms;
  const double objectives = static_cast<double>(expected_ms) /
                            static_cast<double>(std::max<std::int64_t>(1, step.objective_ms));
  if (objectives <= kLateFactor) return Timeliness::kInTime;
  return objectives <= kExpiredFactor ? Timeliness::kLate : Timeliness::kExpired;
}

StartRank RankOf(const WaitingStep& step, std::int64_t wall_ms) {
  const Timeliness outlook = TimelinessOf(step, wall_ms);
  return {.expired = outlook == Timeliness::kExpired,
          .priority = step.priority,
          .late = outlook == Timeliness::kLate,
          .deadline_ms = step.due_ms + (step.long_running ? 0 : step.objective_ms)};
}

std::int64_t RemainingCriticalPathMs(const Job& job, std::uint32_t occurrence) {
  boost::container::small_vector<std::int64_t, 8> finish_ms(job.spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::uint32_t i = 0; i < job.spec.steps.size(); ++i) {
    const Step& step = job.spec.steps[i];
    const StepRun& run = job.At(occurrence, i);
    for (const std::uint32_t dependency : step.depends_on) {
      finish_ms[i] = std::max(finish_ms[i], finish_ms[dependency]);
    }
    if (run.done < run.tasks.size()) finish_ms[i] += step.estimate_ms;
    longest = std::max(longest, finish_ms[i]);
  }
  return longest;
}

}  // namespace godwitpaddle::jobs

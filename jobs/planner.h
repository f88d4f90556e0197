#ifndef GODWITPADDLE_JOBS_PLANNER_H_
#define GODWITPADDLE_JOBS_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jobs/state.h"

/// Chooses which waiting tasks start where. A pure function of the replicated state and of what the
/// leader has seen of the workers.
namespace godwitpaddle::jobs {

/// A worker that may get tasks: it reports in, answers and is not leaving.
struct UsableWorker {
  const Worker* worker = nullptr;
  bool recently_successful = false;  // its last run that ended by itself was done
};

struct PlanInput {
  const State& state;
  /// Asked for only when some task waits.
  std::function<std::vector<UsableWorker>()> usable_workers;
  /// Factor from the clients' estimates to actual times, by service; without it 1.
  std::function<double(const std::string&)> estimate_factor;
  std::int64_t wall_ms = 0;     // Unix time
  std::size_t max_starts = 64;  // of one plan
};

/// Milliseconds from a job's acceptance to its objective, when actual times are
/// `estimate_factor` times the estimates.
std::int64_t ObjectiveMs(const Job& job, const Queue* queue, double estimate_factor);

/// Starts in the order of their worth. They fit together: into the workers' room, the teams'
/// limits and the bounds per worker.
std::vector<Assign> PlanStarts(const PlanInput& input);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_PLANNER_H_

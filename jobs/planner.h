#ifndef GODWITPADDLE_JOBS_PLANNER_H_
#define GODWITPADDLE_JOBS_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "jobs/state.h"

/// Chooses which waiting tasks start on which workers. A pure function of the replicated state and
/// of what the leader has observed of the workers.
namespace godwitpaddle::jobs {

/// A worker that can get tasks: it sends heartbeats, answers orders and is not expected to go down.
struct UsableWorker {
  const Worker* worker = nullptr;
  bool recently_successful = false;  // its latest run that ended on its own ended as done
};

struct PlanInput {
  const State& state;
  /// Called only if a task waits.
  std::function<std::vector<UsableWorker>()> usable_workers;
  /// Ratio of actual run times to the clients' estimates for a service; 1 if not set.
  std::function<double(const std::string&)> estimate_factor;
  std::int64_t wall_ms = 0;     // Unix time
  std::size_t max_starts = 64;  // limit for one plan
};

/// Returns the time in milliseconds within which a job should complete after its acceptance, if
/// actual run times are `estimate_factor` times the estimates. `queue` is null if it was removed.
std::int64_t ObjectiveMs(const Job& job, const Queue* queue, double estimate_factor);

/// Returns the starts to make, by rank. Together they respect the workers' free capacity, the
/// teams' limits and the limits per worker.
std::vector<Assign> PlanStarts(const PlanInput& input);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_PLANNER_H_

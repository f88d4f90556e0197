#ifndef GODWITPADDLE_TESTS_POOL_REPLAY_H_
#define GODWITPADDLE_TESTS_POOL_REPLAY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "jobs/start_order.h"
#include "tests/load_trace.h"

/// Replays the recorded jobs of one queue on a pool of VMs, without nodes and log, to compare
/// orders of starting by what clients get.
namespace godwitpaddle::testing {

/// The order to compare with: what is due first comes first until it is of no use.
jobs::StartRank RankByObjective(const jobs::WaitingStep& step, std::int64_t wall_ms);

struct ReplayOptions {
  int vms = 0;
  std::int64_t vm_cpu = 64'000;  // thousandths of a core
  double stretch = 1.6;
  std::int64_t target_latency_ms = 600;
  double estimate_factor = 1.05;  // median of a step's actual by its declared time
  double estimate_spread = 0.5;   // of the logarithm of that
  double task_spread = 0.3;       // of the logarithm of a task's time by its step's
  std::uint64_t seed = 1;
  std::function<jobs::StartRank(const jobs::WaitingStep&, std::int64_t)> order = jobs::RankOf;
};

struct ReplayResult {
  int jobs = 0;
  int in_time = 0;                   // completed within the objective
  int late = 0;                      // within `jobs::kWorthlessFactor` objectives
  double value_share = 0;            // what in time or late completion is worth, of all there was
  double largest_tenth_in_time = 0;  // share of the largest tenth of the jobs
};

ReplayResult Replay(const std::vector<RecordedJob>& load, const ReplayOptions& options);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_POOL_REPLAY_H_

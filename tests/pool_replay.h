#ifndef GODWITPADDLE_TESTS_POOL_REPLAY_H_
#define GODWITPADDLE_TESTS_POOL_REPLAY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "jobs/start_order.h"
#include "tests/load_trace.h"

/// Simulates the execution of one queue's recorded jobs on a pool of VMs, without nodes and log, to
/// compare start orders by the jobs that complete in time.
namespace godwitpaddle::testing {

/// The baseline: the earliest deadline first, except for expired jobs.
jobs::StartRank RankByDeadline(const jobs::WaitingStep& step, std::int64_t wall_ms);

struct ReplayOptions {
  int vms = 0;
  std::int64_t vm_cpu = 64'000;  // CPU of one VM, in thousandths of a core
  // The objective of a job is `target_latency_ms` plus `stretch` times its critical path.
  double stretch = 1.6;
  std::int64_t target_latency_ms = 600;
  double estimate_factor = 1.05;  // median ratio of a step's actual to its declared time
  double estimate_spread = 0.5;   // standard deviation of the logarithm of that ratio
  double task_spread = 0.3;       // the same for the ratio of a task's time to its step's time
  std::uint64_t seed = 1;
  std::function<jobs::StartRank(const jobs::WaitingStep&, std::int64_t)> order = jobs::RankOf;
  bool refuses = false;  // whether jobs are refused as jobs::DecideAdmission says
  bool crowds = false;   // see jobs::JobOutlook
};

struct ReplayResult {
  int jobs = 0;
  int in_time = 0;  // completed within their objectives
  int late = 0;     // completed later, within `jobs::kExpiredFactor` objectives
  int in_vain = 0;  // completed later still
  int refused = 0;
  double value_share = 0;            // value of the completed jobs as a share of the value of all
  double largest_tenth_in_time = 0;  // share completed in time of the largest tenth of the jobs
};

ReplayResult Replay(const std::vector<RecordedJob>& load, const ReplayOptions& options);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_POOL_REPLAY_H_

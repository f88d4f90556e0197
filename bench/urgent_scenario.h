#ifndef GODWITPADDLE_BENCH_URGENT_SCENARIO_H_
#define GODWITPADDLE_BENCH_URGENT_SCENARIO_H_

#include "bench/scheduling_scenario.h"

namespace godwitpaddle::bench {

/// A pool that is always full of tasks of about a minute, so that few slots become free by
/// themselves. Serves to compare reserved slots and checkpoints for urgent requests.
inline Deployment LongRunsDeployment() {
  return {.name = "long runs",
          .worker_cores = 1,
          .worker_memory_mb = 2560,
          .services = {{"batch", 8, true, 60, 0.1, 200, 120 * kSecond}},
          .teams = SixTeams()};
}

inline void RunUrgentScenario(bool brief, Report& report, Signature& signature) {
  const Deployment deployment = LongRunsDeployment();
  const Micros length = 900 * kSecond;
  bool is_shipped = true;
  for (const PolicyChoice& choice : PolicyChoices()) {
    if (brief && !is_shipped) break;
    PoolMetrics metrics;
    Signature ignored;
    const auto policy = choice.make(OptionsOf(deployment, deployment.services.front()));
    const DriverOptions options{.faults = false, .seed = 1, .length = length};
    PoolDriver(deployment, 0, options, *policy, metrics, is_shipped ? signature : ignored).Run();
    const double p99 = Quantile(metrics.urgent_wait_s, 0.99);
    if (is_shipped) {
      report.PrintGoal("long runs urgent start p99", choice.name, p99, "s", 1.9);
    } else {
      report.PrintLine("long runs urgent start p99", choice.name, p99, "s");
    }
    report.PrintLine(
        "long runs urgent not started", choice.name,
        100 - Percent(static_cast<double>(metrics.urgent_wait_s.size()), metrics.urgent_requests),
        "%");
    report.PrintLine("long runs idle server time", choice.name,
                     Percent(metrics.idle_slot_s, metrics.total_slot_s), "%");
    report.PrintLine("long runs answered in time", choice.name,
                     Percent(metrics.in_time, metrics.eligible), "%");
    report.PrintLine("long runs refused late", choice.name,
                     Percent(metrics.refused_late, metrics.eligible), "%");
    is_shipped = false;
  }
}

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_URGENT_SCENARIO_H_

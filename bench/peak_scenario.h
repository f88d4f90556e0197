#ifndef GODWITPADDLE_BENCH_PEAK_SCENARIO_H_
#define GODWITPADDLE_BENCH_PEAK_SCENARIO_H_

#include <cstdint>
#include <string>
#include <utility>

#include "bench/report.h"
#include "bench/signature.h"
#include "tests/pool_replay.h"

namespace godwitpaddle::bench {

/// Replays the peak of each queue of a recorded load on too few VMs. Reports the share of value
/// served and the share of jobs, and of the largest tenth of the jobs, that completed in time, for
/// the leader's start order and for the order by deadline.
inline void RunPeakScenario(Report& report, Signature& signature) {
  constexpr int kVms = 8;
  const auto load = testing::ReadLoad("turns.load");
  for (const std::string queue : {"q0", "q1", "q2", "q3"}) {
    const auto own = testing::JobsOfQueue(load, queue);
    const testing::ReplayResult by_timeliness = testing::Replay(own, {.vms = kVms});
    const testing::ReplayResult by_deadline =
        testing::Replay(own, {.vms = kVms, .order = testing::RankByDeadline});
    for (const auto& [name, result] :
         {std::pair("outlook", by_timeliness), std::pair("objective", by_deadline)}) {
      report.PrintLine("peak of " + queue + " worth served", name, 100 * result.value_share, "%");
      report.PrintLine("peak of " + queue + " in time", name, 100.0 * result.in_time / result.jobs,
                       "%");
      report.PrintLine("peak of " + queue + " largest tenth in time", name,
                       100 * result.largest_tenth_in_time, "%");
    }
    signature.Add(static_cast<std::uint64_t>(by_timeliness.in_time));
    signature.Add(static_cast<std::uint64_t>(by_timeliness.late));
  }
}

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_PEAK_SCENARIO_H_

#include <popt.h>

#include <cstdint>
#include <iostream>

#include "tests/job_soak_run.h"

// Soak test of job control: job_soak [--seed FIRST] [--seeds COUNT] [--steps N]
// [--waves-and-power] [--full-platform] [--late-after-restart] [--relayed-orders]
// [--changing-queues] [--evacuations] [--long-running] [--crowds]. Prints one line of totals for
// each seed. For a seed with violations it also prints these and the nodes' last log lines, and
// exits with 1 at the end.
int main(int argc, const char** argv) {
  int first = 1;
  int count = 1;
  int steps = 2'000;
  int waves_and_power = 0;
  int full_platform = 0;
  int late_after_restart = 0;
  int relayed_orders = 0;
  int changing_queues = 0;
  int evacuations = 0;
  int long_running = 0;
  int crowds = 0;
  const poptOption options[] = {
      {"seed", 0, POPT_ARG_INT, &first, 0, "first seed", "N"},
      {"seeds", 0, POPT_ARG_INT, &count, 0, "number of seeds", "N"},
      {"steps", 0, POPT_ARG_INT, &steps, 0,
       "actions of clients and operators, and faults, per seed", "N"},
      {"waves-and-power", 0, POPT_ARG_NONE, &waves_and_power, 0,
       "add maintenance waves, and power losses after acknowledgements", nullptr},
      {"full-platform", 0, POPT_ARG_NONE, &full_platform, 0,
       "add these, and the other faults that the platform's documentation allows", nullptr},
      {"late-after-restart", 0, POPT_ARG_NONE, &late_after_restart, 0,
       "late orders survive a restart of the worker's process", nullptr},
      {"relayed-orders", 0, POPT_ARG_NONE, &relayed_orders, 0,
       "core nodes relay the leader's orders to workers", nullptr},
      {"changing-queues", 0, POPT_ARG_NONE, &changing_queues, 0,
       "operators rename, move and remove queues and teams", nullptr},
      {"evacuations", 0, POPT_ARG_NONE, &evacuations, 0,
       "operators evacuate availability zones and take them back", nullptr},
      {"long-running", 0, POPT_ARG_NONE, &long_running, 0,
       "add long-running jobs, whose tasks must run whenever there are no faults for a while",
       nullptr},
      {"crowds", 0, POPT_ARG_NONE, &crowds, 0, "clients send many jobs at once", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext(nullptr, argc, argv, static_cast<const poptOption*>(options), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1 || count < 1 || steps < 1) {
    std::cerr << "job_soak: bad options, see --help\n";
    return 2;
  }
  int failed = 0;
  for (int seed = first; seed < first + count; ++seed) {
    const auto result =
        godwitpaddle::testing::RunJobSoak({.seed = static_cast<std::uint64_t>(seed),
                                           .steps = static_cast<std::uint64_t>(steps),
                                           .waves_and_power = waves_and_power != 0,
                                           .full_platform = full_platform != 0,
                                           .late_after_restart = late_after_restart != 0,
                                           .relayed_orders = relayed_orders != 0,
                                           .changing_queues = changing_queues != 0,
                                           .evacuations = evacuations != 0,
                                           .long_running = long_running != 0,
                                           .crowds = crowds != 0});
    std::cout << "seed=" << seed << " " << godwitpaddle::testing::JobSoakLine(result) << std::endl;
    if (result.violations.empty()) continue;
    ++failed;
    for (const auto& violation : result.violations) std::cout << "  " << violation << "\n";
    for (const auto& line : result.log) std::cout << "    " << line << "\n";
  }
  return failed == 0 ? 0 : 1;
}

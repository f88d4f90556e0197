#include <popt.h>

#include <cstdint>
#include <iostream>

#include "tests/node_soak_run.h"

// Soak test of complete nodes: node_soak [--seed FIRST] [--seeds COUNT] [--steps N] [--calm].
// Prints the seed, the violations and the nodes' latest log lines of each run with violations, and
// exits with 1 if there were any.
int main(int argc, const char** argv) {
  int first = 1;
  int count = 1;
  int steps = 2'000;
  int no_faults = 0;
  const poptOption options[] = {
      {"seed", 0, POPT_ARG_INT, &first, 0, "first seed", "N"},
      {"seeds", 0, POPT_ARG_INT, &count, 0, "number of seeds", "N"},
      {"steps", 0, POPT_ARG_INT, &steps, 0, "actions of callers, operators and faults in a run",
       "N"},
      {"calm", 0, POPT_ARG_NONE, &no_faults, 0, "run without faults", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext(nullptr, argc, argv, static_cast<const poptOption*>(options), 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed != -1 || count < 1 || steps < 1) {
    std::cerr << "node_soak: invalid options, see --help\n";
    return 2;
  }
  using godwitpaddle::testing::SoakTotals;
  SoakTotals sum;
  for (int seed = first; seed < first + count; ++seed) {
    const SoakTotals run =
        godwitpaddle::testing::RunSoak({.seed = static_cast<std::uint64_t>(seed),
                                        .steps = static_cast<std::uint64_t>(steps),
                                        .inject_faults = no_faults == 0});
    godwitpaddle::testing::Accumulate(sum, run);
    if (run.violations.empty()) continue;
    std::cout << "seed " << seed << " failed:\n";
    for (const auto& violation : run.violations) std::cout << "  " << violation << "\n";
    for (const auto& line : run.log) std::cout << "    " << line << "\n";
  }
  std::cout << "seeds=" << count << " " << godwitpaddle::testing::TotalsLine(sum) << std::endl;
  return sum.violations.empty() ? 0 : 1;
}

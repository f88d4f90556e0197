#include <popt.h>

#include <cstdio>

#include "tests/replication_soak.h"

int main(int argc, char** argv) {
  int seed = 1;
  int steps = 1'000'000;
  const poptOption table[] = {
      {"seed", 0, POPT_ARG_INT, &seed, 0, "Seed of all random choices (default 1)", "N"},
      {"steps", 0, POPT_ARG_INT, &steps, 0, "Minimum number of events to run (default 1000000)",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("replication_soak", argc, const_cast<const char**>(argv), table, 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context, 0), poptStrerror(parsed));
    poptFreeContext(context);
    return 2;
  }
  poptFreeContext(context);

  using godwitpaddle::replication::SoakOptions;
  const SoakOptions options{.seed = static_cast<std::uint64_t>(seed),
                            .steps = static_cast<std::uint64_t>(steps)};
  const auto totals = godwitpaddle::replication::RunSoak(options);
  if (!totals.violations.empty()) {
    for (const auto& line : totals.trace) std::printf("%s\n", line.c_str());
    for (const auto& line : totals.violations) std::printf("violation: %s\n", line.c_str());
  }
  std::printf("%s\n", godwitpaddle::replication::Describe(options, totals).c_str());
  return totals.violations.empty() ? 0 : 1;
}

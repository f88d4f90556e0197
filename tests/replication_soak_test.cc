#include "tests/replication_soak.h"

#include <catch2/catch.hpp>

using godwitpaddle::replication::Describe;
using godwitpaddle::replication::RunSoak;
using godwitpaddle::replication::SoakOptions;

TEST_CASE("a replicated group keeps its invariants under random faults", "[soak]") {
  // Guards against faults in elections, durability, leases, membership changes and snapshots that
  // show only with some order of lost and delayed messages, restarts and lost disks.
  const auto seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{9}));
  const SoakOptions options{.seed = seed, .steps = 100'000};
  const auto totals = RunSoak(options);
  INFO(Describe(options, totals));
  for (const auto& line : totals.trace) UNSCOPED_INFO(line);
  for (const auto& line : totals.violations) UNSCOPED_INFO("violation: " << line);
  CHECK(totals.violations.empty());
  CHECK(totals.committed > 0);
}

TEST_CASE("a seed gives the same run every time", "[soak]") {
  // Guards against state that depends on memory addresses or real time: a failure could then not be
  // reproduced from its seed.
  const SoakOptions options{.seed = 42, .steps = 30'000};
  CHECK(Describe(options, RunSoak(options)) == Describe(options, RunSoak(options)));
}

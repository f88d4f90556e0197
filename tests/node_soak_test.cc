#include <catch2/catch.hpp>

#include "tests/node_soak_run.h"

namespace godwitpaddle::testing {
namespace {

// Guards against violations of the checks of RunSoak and of the nodes' invariants, with and without
// faults.
TEST_CASE("soak runs of complete nodes") {
  SECTION("without faults there is no violation") {
    const SoakTotals totals = RunSoak({.seed = 1, .steps = 1'500, .inject_faults = false});
    INFO(TotalsLine(totals));
    CHECK(totals.violations.empty());
  }
  SECTION("with all faults there is no violation") {
    SoakTotals totals;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      Accumulate(totals, RunSoak({.seed = seed, .steps = 2'000}));
    }
    INFO(TotalsLine(totals));
    CHECK(totals.violations.empty());
  }
  SECTION("runs with the same seed have the same totals") {
    CHECK(TotalsLine(RunSoak({.seed = 3, .steps = 600})) ==
          TotalsLine(RunSoak({.seed = 3, .steps = 600})));
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

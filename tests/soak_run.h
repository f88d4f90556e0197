#ifndef GODWITPADDLE_TESTS_SOAK_RUN_H_
#define GODWITPADDLE_TESTS_SOAK_RUN_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/fake_backend.h"
#include "tests/fake_operator.h"
#include "tests/virtual_cluster.h"

namespace godwitpaddle::testing {

struct SoakOptions {
  std::uint64_t seed = 1;
  std::uint64_t steps = 2'000;  // actions of callers, operators and faults
  bool faults = true;
  std::size_t nodes = 6;
  std::size_t disks = 4;
};

struct SoakTotals {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t starts = 0;
  std::uint64_t changes = 0;
  std::uint64_t reboots = 0;
  std::uint64_t node_steps = 0;
  std::map<std::string, std::uint64_t> faults;
  std::vector<std::string> violations;
  std::vector<std::string> log;  // of a run with violations
};

/// One seeded run of whole nodes with callers, operators, backend servers and faults, in virtual
/// time. Checks at the outside: starts per request, whole answers, true refusals, limits, slots,
/// budgets, withdrawn keys, configuration that never reverts. The invariants inside the nodes are
/// on.
SoakTotals RunSoak(const SoakOptions& options);

/// Adds up totals of several runs.
void Accumulate(SoakTotals& sum, const SoakTotals& run);

/// "operations=... faults{...} violations=..." in one line.
std::string TotalsLine(const SoakTotals& totals);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_SOAK_RUN_H_

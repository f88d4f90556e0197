#ifndef GODWITPADDLE_TESTS_NODE_SOAK_RUN_H_
#define GODWITPADDLE_TESTS_NODE_SOAK_RUN_H_

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
  std::uint64_t steps = 2'000;  // number of actions of callers, operators and fault injection
  bool inject_faults = true;
  std::size_t nodes = 6;
  std::size_t disks = 4;
};

struct SoakTotals {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t starts = 0;
  std::uint64_t operator_actions = 0;
  std::uint64_t reboots = 0;
  std::uint64_t node_steps = 0;
  std::map<std::string, std::uint64_t> faults;
  std::vector<std::string> violations;
  std::vector<std::string> log;  // latest log lines of the nodes; empty without violations
};

/// Runs complete nodes with callers, operators, backend servers and faults in virtual time, from
/// one seed. Checks from outside that a non-idempotent request starts at most once, answers are
/// complete, requests refused as not run were not started, limits of teams, slots of servers and
/// min_available of pools hold, revoked keys stop working and the configuration never reverts. The
/// nodes check their own invariants too.
SoakTotals RunSoak(const SoakOptions& options);

/// Adds the totals of a run to `sum`.
void Accumulate(SoakTotals& sum, const SoakTotals& run);

/// Returns the totals as one line: "requests=... faults{...} violations=...".
std::string TotalsLine(const SoakTotals& totals);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_NODE_SOAK_RUN_H_

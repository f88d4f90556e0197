#ifndef GODWITPADDLE_TESTS_REPLICATION_SOAK_H_
#define GODWITPADDLE_TESTS_REPLICATION_SOAK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwitpaddle::replication {

struct SoakOptions {
  std::uint64_t seed = 1;
  /// Minimum of events in the cluster; the last round is always completed.
  std::uint64_t steps = 100'000;
};

struct SoakTotals {
  std::uint64_t proposals = 0;
  std::uint64_t committed = 0;
  std::uint64_t messages = 0;
  std::uint64_t steps = 0;
  std::int64_t virtual_seconds = 0;
  std::map<std::string, std::uint64_t> faults;  // number of faults, by kind
  std::vector<std::string> violations;
  std::vector<std::string> trace;  // newest events up to the first violation
};

/// Runs a replicated group under random faults. Each round consists of a period of faults and one
/// of recovery; the invariants are checked after each event. The same options give the same totals.
SoakTotals RunSoak(const SoakOptions& options);

/// One line with the totals: operations, faults by kind, number of violations.
std::string Describe(const SoakOptions& options, const SoakTotals& totals);

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_TESTS_REPLICATION_SOAK_H_

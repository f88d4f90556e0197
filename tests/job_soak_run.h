#ifndef GODWITPADDLE_TESTS_JOB_SOAK_RUN_H_
#define GODWITPADDLE_TESTS_JOB_SOAK_RUN_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace godwitpaddle::testing {

struct JobSoakOptions {
  std::uint64_t seed = 1;
  std::uint64_t steps = 2'000;  // actions of clients, operators and faults
  /// Adds waves of maintenance, lost answers of the platform, and losses of power of all core nodes
  /// right after a worker was told to forget ends.
  bool waves_and_power = false;
  /// All of that, and what else the platform's pages allow: late, repeated and overtaking messages,
  /// workers that leave or are replaced, a VM service that is slow, busy or resets calls, and two
  /// services in turn, so that VMs change their pools.
  bool full_platform = false;
  /// Late orders outlive the worker's process; the pages leave that open.
  bool late_after_restart = false;
};

struct JobSoakResult {
  std::uint64_t accepted = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t faults = 0;
  std::uint64_t maintained = 0;
  std::uint64_t power_losses = 0;
  std::uint64_t moved = 0;
  std::vector<std::string> violations;
  std::deque<std::string> log;  // the last lines of the nodes
};

/// Runs job control under random faults of nodes, disks, links and workers, with clients and
/// operators that repeat, cancel and race. Checks the promises from outside while it runs, and at
/// the end, when all is whole again, that nothing accepted is lost.
JobSoakResult RunJobSoak(const JobSoakOptions& options);

/// The counts in one line "key=value ...".
std::string JobSoakLine(const JobSoakResult& result);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_JOB_SOAK_RUN_H_

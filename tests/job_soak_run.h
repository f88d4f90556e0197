#ifndef GODWITPADDLE_TESTS_JOB_SOAK_RUN_H_
#define GODWITPADDLE_TESTS_JOB_SOAK_RUN_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace godwitpaddle::testing {

struct JobSoakOptions {
  std::uint64_t seed = 1;
  std::uint64_t steps = 2'000;  // actions of clients and operators, and faults
  /// Adds maintenance waves, lost answers of the platform, and power losses of all core nodes right
  /// after a worker received an acknowledgement of ends.
  bool waves_and_power = false;
  /// Adds the faults of waves_and_power and the others that the platform's documentation allows:
  /// late, repeated and reordered messages, workers that leave or are replaced, and a VM service
  /// that is slow or busy or resets connections. Load alternates between two services, so that VMs
  /// move between pools.
  bool full_platform = false;
  /// Late orders survive a restart of the worker's process. The platform's documentation does not
  /// say whether this can happen.
  bool late_after_restart = false;
  /// Core nodes relay the leader's orders to workers.
  bool relayed_orders = false;
  /// Operators rename, exchange, move, remove and bring back queues and teams, see
  /// DrawnConfigurations.
  bool changing_queues = false;
  /// Operators evacuate availability zones and take them back.
  bool evacuations = false;
  /// Adds jobs of long-running tasks, and times without faults, in which these tasks must run: see
  /// LongRunningWatch.
  bool long_running = false;
  /// Clients send many jobs at once, more than there is room for while they are of use.
  bool crowds = false;
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
  std::deque<std::string> log;  // last log lines of the nodes
};

/// Runs job control with random faults of nodes, disks, links and workers, and with clients and
/// operators that repeat, cancel and race calls. Checks the guarantees as seen by clients and
/// workers during the run and, at the end, after all faults have ceased, that no accepted job was
/// lost.
JobSoakResult RunJobSoak(const JobSoakOptions& options);

/// Formats the totals as one line "key=value ...".
std::string JobSoakLine(const JobSoakResult& result);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_JOB_SOAK_RUN_H_

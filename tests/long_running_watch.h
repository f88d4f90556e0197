#ifndef GODWITPADDLE_TESTS_LONG_RUNNING_WATCH_H_
#define GODWITPADDLE_TESTS_LONG_RUNNING_WATCH_H_

#include <map>

#include "tests/job_cluster.h"

namespace godwitpaddle::testing {

/// Checks, as seen at the workers, that long-running tasks do not wait beside workers with room. As
/// the platform's rules have it, a task must not wait for 3 s beside room for it twice over, from
/// 6 s after its last run, if the 3 s and the 4 s before them are free of faults.
class LongRunningWatch {
 public:
  explicit LongRunningWatch(JobCluster& cluster) : cluster_(cluster) {}

  void Add(const jobs::TaskId& task) { last_ran_[task] = cluster_.now(); }
  /// Runs the cluster for a time that is free of faults, and checks the tasks meanwhile.
  void RunFreeOfFaults(Micros time);

 private:
  void Observe(Micros free_of_faults);
  bool IsRoomTwiceOver() const;

  JobCluster& cluster_;
  std::map<jobs::TaskId, Micros> last_ran_;
  Micros room_since_ = 0;
};

/// Name of the service, and CPU in thousandths of a core, of the watched tasks.
inline constexpr const char* kWatchedService = "print";
inline constexpr std::int64_t kWatchedCpu = 500;

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_LONG_RUNNING_WATCH_H_

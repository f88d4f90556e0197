#ifndef GODWITPADDLE_JOBS_NEAR_PLACE_H_
#define GODWITPADDLE_JOBS_NEAR_PLACE_H_

#include <cstddef>

/// How long a task waits for a place near its data, or near the other tasks of its step. Designed
/// for loads in which many jobs want the same rack for some seconds, while other racks have room.
namespace godwitpaddle::jobs {

/// A task that finds no place near. Times are in milliseconds.
struct NearPlace {
  double far_factor = 1;     // run time elsewhere, as a multiple of that near
  double run_ms = 0;         // expected run time near
  double expected_ms = 0;    // expected wait for a place near, from now on
  double waited_ms = 0;      // for such a place, so far
  double left_ms = 0;        // until the job's objective; negative: it has passed
  bool job_is_idle = false;  // nothing of the job runs
};

/// Returns the expected wait until one of `running` tasks, which take `run_ms` each, ends and all
/// `ahead` tasks that wait for the same place have one; infinity if nothing runs there.
double ExpectedWaitMs(std::size_t ahead, std::size_t running, double run_ms);

/// Whether the wait pays: all of it is shorter than the time that the task saves near, and it does
/// not make a job late that would be in time elsewhere.
bool WaitPays(const NearPlace& place);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_NEAR_PLACE_H_

#include "jobs/near_place.h"

#include <algorithm>
#include <limits>

namespace godwitpaddle::jobs {
namespace {

/// A job with nothing running does not wait for longer than this beside free room elsewhere.
constexpr double kMaxIdleWaitMs = 2'000;

}  // namespace

double ExpectedWaitMs(std::size_t ahead, std::size_t running, double run_ms) {
  if (running == 0) return std::numeric_limits<double>::infinity();
  // The running tasks are at random points of their run times.
  return run_ms * static_cast<double>(ahead + 1) / static_cast<double>(running);
}

bool WaitPays(const NearPlace& place) {
  const double wait_ms = place.waited_ms + place.expected_ms;
  const double saved_ms = (place.far_factor - 1) * place.run_ms;
  if (wait_ms >= saved_ms) return false;
  if (place.job_is_idle && wait_ms > kMaxIdleWaitMs) return false;
  const bool near_in_time = place.expected_ms + place.run_ms <= place.left_ms;
  const bool far_in_time = place.far_factor * place.run_ms <= place.left_ms;
  return near_in_time || !far_in_time;
}

}  // namespace godwitpaddle::jobs

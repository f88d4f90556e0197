#ifndef GODWITPADDLE_CONTROL_WORKER_TIMING_H_
#define GODWITPADDLE_CONTROL_WORKER_TIMING_H_

#include <cstdint>

#include "base/time.h"

/// Timing constants of the orders to workers.
namespace godwitpaddle::jobs::detail {

/// Pause between lease renewals of a busy worker, so that one answer lists several ends. It grows
/// with the number of renewals a second to all workers.
inline constexpr Micros kRenewalPause = 30 * kMillisecond;
inline constexpr Micros kMaxRenewalPause = 90 * kMillisecond;
/// Renewals a second up to which the pause is the shortest.
inline constexpr std::int64_t kRenewalsAtShortestPause = 1'000;
/// Pause before an order is sent again, and before a worker that refused a start for lack of
/// capacity, or did not receive it, gets another.
inline constexpr Micros kRetryPause = 300 * kMillisecond;
/// A worker that is heard this long after a run has begun has survived the start of that run.
inline constexpr Micros kStartTime = 100 * kMillisecond;
/// Pause before a worker without runs that is expected to go down, and did not answer, is queried
/// again.
inline constexpr Micros kDownRetryPause = kSecond;

}  // namespace godwitpaddle::jobs::detail

#endif  // GODWITPADDLE_CONTROL_WORKER_TIMING_H_

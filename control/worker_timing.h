#ifndef GODWITPADDLE_CONTROL_WORKER_TIMING_H_
#define GODWITPADDLE_CONTROL_WORKER_TIMING_H_

#include <cstdint>

#include "base/time.h"

/// Timing constants of the orders to workers.
namespace godwitpaddle::jobs::detail {

/// Pause between lease renewals of a busy worker, so that one answer lists several ends.
inline constexpr Micros kRenewalPause = 30 * kMillisecond;
/// Pause before an order is sent again, and before a worker that refused a start for lack of
/// capacity, or did not receive it, gets another.
inline constexpr Micros kRetryPause = 300 * kMillisecond;

}  // namespace godwitpaddle::jobs::detail

#endif  // GODWITPADDLE_CONTROL_WORKER_TIMING_H_

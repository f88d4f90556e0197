#ifndef GODWITPADDLE_CONTROL_WORKER_TIMING_H_
#define GODWITPADDLE_CONTROL_WORKER_TIMING_H_

#include <cstdint>

#include "base/time.h"

/// Times of the orders to workers.
namespace godwitpaddle::jobs::detail {

/// Pause between holds of a busy worker, so that one answer brings several ends.
inline constexpr Micros kRenewalPause = 30 * kMillisecond;
inline constexpr Micros kRetryPause = 300 * kMillisecond;

}  // namespace godwitpaddle::jobs::detail

#endif  // GODWITPADDLE_CONTROL_WORKER_TIMING_H_

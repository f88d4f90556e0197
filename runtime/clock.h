#ifndef GODWITPADDLE_RUNTIME_CLOCK_H_
#define GODWITPADDLE_RUNTIME_CLOCK_H_

#include <limits>

#include "base/time.h"

namespace godwitpaddle {

/// A time that is never reached.
inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

/// Monotonic time in microseconds. It counts the time a VM was suspended, so that leases run out
/// during a suspension.
Micros MonotonicNow();

/// Wall time in milliseconds since the Unix epoch.
WallMs WallNow();

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_CLOCK_H_

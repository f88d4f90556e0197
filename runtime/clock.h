#ifndef GODWITPADDLE_RUNTIME_CLOCK_H_
#define GODWITPADDLE_RUNTIME_CLOCK_H_

#include "base/time.h"

namespace godwitpaddle {

/// Returns the monotonic time in microseconds (CLOCK_BOOTTIME). It advances while the VM is
/// suspended, so that leases expire during a suspension.
Micros MonotonicNow();

/// Returns the wall time in milliseconds since the Unix epoch.
WallMs WallNow();

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_CLOCK_H_

#ifndef GODWITPADDLE_BASE_TIME_H_
#define GODWITPADDLE_BASE_TIME_H_

#include <cstdint>
#include <limits>

namespace godwitpaddle {

/// Monotonic time or a duration, in microseconds. Each process has its own arbitrary epoch.
using Micros = std::int64_t;

/// Wall time in milliseconds since the Unix epoch.
using WallMs = std::int64_t;

inline constexpr Micros kMillisecond = 1'000;
inline constexpr Micros kSecond = 1'000'000;
inline constexpr Micros kMinute = 60 * kSecond;

/// Later than any time; as a deadline: no deadline.
inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BASE_TIME_H_

#include "runtime/clock.h"

#include <ctime>

namespace godwitpaddle {
namespace {

Micros Read(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<Micros>(time.tv_sec) * kSecond + time.tv_nsec / 1'000;
}

}  // namespace

Micros MonotonicNow() { return Read(CLOCK_BOOTTIME); }

WallMs WallNow() { return Read(CLOCK_REALTIME) / kMillisecond; }

}  // namespace godwitpaddle

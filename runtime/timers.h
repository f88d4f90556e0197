#ifndef GODWITPADDLE_RUNTIME_TIMERS_H_
#define GODWITPADDLE_RUNTIME_TIMERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "runtime/clock.h"

namespace godwitpaddle {

/// Timers of one task. The task's thread runs them in the order of their times. Not thread-safe.
class Timers {
 public:
  using Id = std::uint64_t;

  /// Schedules `action` to run once, at `when` or soon after. Returns an id for Cancel, never 0.
  Id Schedule(Micros when, std::function<void()> action);
  /// Cancels a timer. Does nothing if the timer has already run or the id is 0.
  void Cancel(Id id);
  /// Returns the time of the next timer, or kNever if there is none.
  Micros Next() const;
  /// Runs the timers that are due at `now`. Timers that an action adds run in the next call at the
  /// earliest.
  void RunDue(Micros now);

 private:
  Id last_id_ = 0;
  std::map<std::pair<Micros, Id>, std::function<void()>> actions_;
  std::unordered_map<Id, Micros> times_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_TIMERS_H_

#ifndef GODWITPADDLE_RUNTIME_TIMERS_H_
#define GODWITPADDLE_RUNTIME_TIMERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "runtime/clock.h"

namespace godwitpaddle {

/// Timers of one task, run by the task's own thread in the order of their times.
class Timers {
 public:
  using Id = std::uint64_t;

  /// Runs `action` once at `when` or soon after.
  Id At(Micros when, std::function<void()> action);
  /// Ignores timers that have run.
  void Cancel(Id id);
  /// Time of the next timer, or kNever.
  Micros Next() const;
  /// Runs what is due at `now`; timers that an action sets wait for the next call.
  void RunDue(Micros now);

 private:
  Id last_id_ = 0;
  std::map<std::pair<Micros, Id>, std::function<void()>> actions_;
  std::unordered_map<Id, Micros> times_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_TIMERS_H_

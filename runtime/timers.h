#ifndef GODWITPADDLE_RUNTIME_TIMERS_H_
#define GODWITPADDLE_RUNTIME_TIMERS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

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
  /// Timers whose ids are in `actions_` are still to run; entries of cancelled ones remain until
  /// they reach the front or outnumber the others.
  struct Entry {
    Micros when = 0;
    Id id = 0;

    auto operator<=>(const Entry&) const = default;
  };

  void DropCancelled();

  Id last_id_ = 0;
  std::vector<Entry> heap_;  // the earliest entry first; its front is never cancelled
  std::unordered_map<Id, std::function<void()>> actions_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_TIMERS_H_

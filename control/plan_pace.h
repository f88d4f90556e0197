#ifndef GODWITPADDLE_CONTROL_PLAN_PACE_H_
#define GODWITPADDLE_CONTROL_PLAN_PACE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/enum_names.h"
#include "control/events.h"

/// Records at what pace the leader plans starts, and what bounds it.
namespace godwitpaddle::jobs {

/// How a plan ended, or why a plan that was due is not made yet.
enum class PlanEnd : std::uint8_t {
  kComplete,    // nothing else can start
  kFull,        // it has as many starts as a plan may have
  kUnanswered,  // not made: too many starts wait for the answers of workers
  kNotDurable,  // not made: too many starts are not in the state yet
};
inline constexpr EnumNames<4> kPlanEndNames = {"complete", "full", "unanswered", "not_durable"};

/// Reports counts by PlanEnd, and a histogram of the time by which plans were late: from when a
/// plan was due until it was made.
class PlanPace {
 public:
  void BeginTerm() { *this = {}; }
  /// Call when a plan is made.
  void OnPlan(PlanEnd end, Micros now, Outbox& out);
  /// Call when a plan is due and cannot be made. Counts once until the next plan.
  void OnHeldBack(PlanEnd reason, Micros now, Outbox& out);
  /// Returns "END:COUNT" for each way in which plans ended since the last call, and the longest
  /// delay, as fields of a log line.
  Fields TakeFields();

 private:
  void CountEnd(PlanEnd end, Outbox& out);

  std::array<std::uint32_t, kPlanEndNames.size()> counts_{};
  Micros held_since_ = 0;  // 0: not held back
  Micros longest_delay_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_PLAN_PACE_H_

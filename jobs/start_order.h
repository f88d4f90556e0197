#ifndef GODWITPADDLE_JOBS_START_ORDER_H_
#define GODWITPADDLE_JOBS_START_ORDER_H_

#include <compare>
#include <cstdint>

#include "jobs/state.h"

/// In which order waiting steps get room. Answers the load pattern in which a queue asks for
/// several times what its pool can do for some seconds: the first jobs of the peak, which are late
/// already, must not make those late that come after them.
namespace godwitpaddle::jobs {

/// What decides the place of a step among those that wait.
struct WaitingStep {
  int priority = 0;                   // of the queue; 0 comes first
  std::int64_t due_ms = 0;            // Unix time from which the client counts
  std::int64_t objective_ms = 0;      // after that
  std::int64_t critical_path_ms = 0;  // longest chain of work that the job has left, estimated
  bool long_running = false;
};

/// What a client still gets of a job that starts now.
enum class Timeliness : std::uint8_t {
  kInTime,
  kLate,     // worth less
  kExpired,  // over `kWorthlessFactor` objectives
};

/// A job that is this many times over its objective is of no use to its client any more.
inline constexpr std::int64_t kExpiredFactor = 3;

/// A job counts as late once it is expected to take this many objectives. Estimates are rough: some
/// of those that seem just late will be in time.
inline constexpr double kLateFactor = 1.25;

/// Lower ranks start first.
struct StartRank {
  bool expired = false;
  int priority = 0;
  bool late = false;
  std::int64_t deadline_ms = 0;  // Unix time
  auto operator<=>(const StartRank&) const = default;
};

Timeliness TimelinessOf(const WaitingStep& step, std::int64_t wall_ms);
StartRank RankOf(const WaitingStep& step, std::int64_t wall_ms);

/// Longest chain of steps of the occurrence that are not done, by the client's estimates.
std::int64_t RemainingCriticalPathMs(const Job& job, std::uint32_t occurrence);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_START_ORDER_H_

#ifndef GODWITPADDLE_JOBS_START_ORDER_H_
#define GODWITPADDLE_JOBS_START_ORDER_H_

#include <compare>
#include <cstdint>

#include "jobs/state.h"

/// The order in which waiting steps get capacity. Designed for loads in which the demand of a queue
/// exceeds its pool's capacity several times for some seconds: the first jobs of such a peak, which
/// are late already, must not delay the following jobs beyond their objectives.
namespace godwitpaddle::jobs {

/// The properties of a waiting step that determine its rank.
struct WaitingStep {
  int priority = 0;                   // of the queue; 0 is the highest
  std::int64_t due_ms = 0;            // Unix time from which the objective counts
  std::int64_t objective_ms = 0;      // time after `due_ms` within which the job should complete
  std::int64_t critical_path_ms = 0;  // estimate for the steps of the job that are not done
  bool long_running = false;
};

/// How the completion of a job that starts now would compare with its objective.
enum class Timeliness : std::uint8_t {
  kInTime,
  kLate,     // expected to take over `kLateFactor` times its objective; of reduced value
  kExpired,  // expected to take over `kExpiredFactor` times its objective; of no value
};

/// A job that takes more than this many times its objective is of no value to its client.
inline constexpr std::int64_t kExpiredFactor = 3;

/// A job is late if it is expected to take more than this many times its objective. The factor is
/// above 1 since estimates are rough: some jobs that seem slightly late complete in time.
inline constexpr double kLateFactor = 1.25;

/// Sort key of a waiting step; lower ranks start first.
struct StartRank {
  bool expired = false;
  int priority = 0;
  bool late = false;
  std::int64_t deadline_ms = 0;  // Unix time
  auto operator<=>(const StartRank&) const = default;
};

Timeliness TimelinessOf(const WaitingStep& step, std::int64_t wall_ms);
StartRank RankOf(const WaitingStep& step, std::int64_t wall_ms);

/// Returns the length of the longest chain of dependent steps of the occurrence, counting only
/// steps that are not done, by the client's estimates.
std::int64_t RemainingCriticalPathMs(const Job& job, std::uint32_t occurrence);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_START_ORDER_H_

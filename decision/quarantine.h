#ifndef GODWITPADDLE_DECISION_QUARANTINE_H_
#define GODWITPADDLE_DECISION_QUARANTINE_H_

#include <cstdint>
#include <map>

#include "base/time.h"
#include "decision/pool_scheduler.h"

namespace godwitpaddle {

/// Numbers of tasks that succeeded and failed, with exponential decay.
struct TaskEndCounts {
  double succeeded = 0;
  double failed = 0;
  Micros updated = 0;
};

enum class HealthState : std::uint8_t {
  kNone,         // takes any task
  kQuarantined,  // takes no task until `quarantined_until`
  kTrial,        // takes one task at a time; the first result ends the trial
};

/// Evidence about the health of one server.
struct ServerHealth {
  std::map<QueueId, TaskEndCounts> by_queue;
  // Log likelihood ratio of "fails nearly all tasks" to "fails as often as the other servers". It
  // is kept at 0 or above, so that a long good record does not delay the quarantine of a server
  // that breaks.
  double log_likelihood_ratio = 0;
  HealthState state = HealthState::kNone;
  Micros quarantined_until = 0;
  int streak = 0;        // consecutive quarantines; each one doubles the length of the next
  Micros recovered = 0;  // when the last trial succeeded
};

/// Evidence about all servers of the pool, by queue.
using PoolHealth = std::map<QueueId, TaskEndCounts>;

/// Records whether the first attempt of a request succeeded on the server. May start or end the
/// server's quarantine; returns true if ServerHealth::state changed.
bool RecordEnd(ServerHealth& server, PoolHealth& pool, const QueueId& queue, bool good, Micros now);

/// Retracts one recorded failure of the server: the request failed on another server as well, so
/// the request is at fault and not the server.
void RetractFailure(ServerHealth& server, PoolHealth& pool, const QueueId& queue, Micros now);

/// Puts the server on trial if its quarantine is over. Returns true if its state changed.
bool EndQuarantineIfDue(ServerHealth& server, Micros now);

/// Puts a restarted server on trial at once if this is its first quarantine. Later quarantines
/// continue after a restart, since a server that crashes with every task restarts often.
void RecordRestart(ServerHealth& server);

inline constexpr Micros kFirstQuarantine = 10 * kSecond;
inline constexpr Micros kLongestQuarantine = 10 * kMinute;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_QUARANTINE_H_

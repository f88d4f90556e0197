#ifndef GODWITPADDLE_DECISION_QUARANTINE_H_
#define GODWITPADDLE_DECISION_QUARANTINE_H_

#include <cstdint>
#include <map>

#include "base/time.h"
#include "decision/pool_scheduler.h"

namespace godwitpaddle {

/// Ends of tasks; older ones fade.
struct TaskEndCounts {
  double succeeded = 0;
  double failed = 0;
  Micros updated = 0;
};

enum class HealthState : std::uint8_t {
  kNone,         // takes any work
  kQuarantined,  // takes none until `until`
  kTrial,        // takes one task at a time until one succeeds
};

/// Evidence about one server.
struct ServerHealth {
  std::map<QueueId, TaskEndCounts> by_queue;
  // Log likelihood ratio of "fails nearly everything" to "fails as often as the others", not below
  // 0, so that a long good record does not delay the verdict on a server that breaks.
  double log_likelihood_ratio = 0;
  HealthState state = HealthState::kNone;
  Micros quarantined_until = 0;
  int streak = 0;  // quarantines in a row; each one doubles the next
  Micros recovered = 0;
};

/// Evidence about the whole pool, per queue.
using PoolHealth = std::map<QueueId, TaskEndCounts>;

/// Records the end of the first attempt of a request. Returns true if the server's state changed.
bool RecordEnd(ServerHealth& server, PoolHealth& pool, const QueueId& queue, bool good, Micros now);

/// Takes back one failure: the request failed elsewhere as well, so the server is not to blame.
void RetractFailure(ServerHealth& server, PoolHealth& pool, const QueueId& queue, Micros now);

/// Ends a quarantine whose time is over: the server takes one trial task. Returns true on a change.
bool EndQuarantineIfDue(ServerHealth& server, Micros now);

/// A restarted server gets a trial at once after its first quarantine only, since one that breaks
/// with every task restarts often.
void RecordRestart(ServerHealth& server);

inline constexpr Micros kFirstQuarantine = 10 * kSecond;
inline constexpr Micros kLongestQuarantine = 10 * kMinute;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_QUARANTINE_H_

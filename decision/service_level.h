#ifndef GODWITPADDLE_DECISION_SERVICE_LEVEL_H_
#define GODWITPADDLE_DECISION_SERVICE_LEVEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/enum_names.h"
#include "base/time.h"
#include "decision/config.h"

namespace godwitpaddle {

/// How a request counts for its queue's service level.
enum class ServiceOutcome : std::uint8_t { kInTime, kLate, kRefused, kFailed };
inline constexpr EnumNames<4> kServiceOutcomeNames = {"in_time", "late", "refused", "failed"};

/// Requests of one queue by outcome since the incarnation started.
struct ServiceCounts {
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  bool operator==(const ServiceCounts&) const = default;
  MSGPACK_DEFINE(in_time, late, refused, failed)
};

/// Adds one request to its counter.
void Count(ServiceCounts& counts, ServiceOutcome outcome);

using QueueCounts = std::map<QueueId, ServiceCounts>;

/// Cumulative counts of the whole fleet over time, kept by the leader: one sample per kBurnSample
/// for the last minutes, fewer for older times, bounded.
struct BurnHistory {
  struct Sample {
    Micros time = 0;
    QueueCounts counts;
  };
  std::deque<Sample> samples;
  QueueCounts total;                               // since the history began
  std::map<std::string, QueueCounts> last_counts;  // by incarnation, at the last sample
};

/// Adds what the incarnations counted since the last sample when one is due. An incarnation counts
/// from the first sample that has it, since its earlier requests may lie outside every window; so
/// neither a new leader nor an incarnation that leaves shifts the sums.
void SampleServiceCounts(BurnHistory& history,
                         const std::map<std::string, QueueCounts>& by_incarnation, Micros now);

/// Burn of one queue's error budget in one window: 1 means that the budget is spent exactly as fast
/// as the objective allows.
struct BurnRate {
  QueueId queue;
  Micros window = 0;
  ServiceCounts counts;
  double objective = 0;
  double rate = 0;
};

/// One line per queue and window (5 minutes, 1 hour, 6 hours).
std::vector<BurnRate> BurnRates(const BurnHistory& history, const FleetConfig& config, Micros now);

inline constexpr Micros kBurnSampleInterval = 10 * kSecond;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_SERVICE_LEVEL_H_

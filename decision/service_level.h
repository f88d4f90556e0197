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

/// Outcome of a request for the service level of its queue.
enum class ServiceOutcome : std::uint8_t { kInTime, kLate, kRefused, kFailed };
inline constexpr EnumNames<4> kServiceOutcomeNames = {"in_time", "late", "refused", "failed"};

/// Number of requests of one queue by outcome. In reports: since the incarnation started.
struct ServiceCounts {
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  bool operator==(const ServiceCounts&) const = default;
  MSGPACK_DEFINE(in_time, late, refused, failed)
};

void Count(ServiceCounts& counts, ServiceOutcome outcome);

using QueueCounts = std::map<QueueId, ServiceCounts>;

/// Cumulative counts of the whole fleet over time, kept by the leader. There is one sample per
/// kBurnSampleInterval for the last minutes and fewer for older times, so the number is bounded.
struct BurnHistory {
  struct Sample {
    Micros time = 0;
    QueueCounts counts;
  };
  std::deque<Sample> samples;
  QueueCounts total;                               // since the history started
  std::map<std::string, QueueCounts> last_counts;  // by incarnation, as of the last sample
};

/// Adds a sample with the requests that the incarnations counted since the last sample, if that is
/// at least kBurnSampleInterval old. The requests of an incarnation count from the first sample
/// that includes it, since earlier ones may lie outside every window. Thus neither a new leader nor
/// an incarnation that ends distorts the sums.
void SampleServiceCounts(BurnHistory& history,
                         const std::map<std::string, QueueCounts>& by_incarnation, Micros now);

/// Burn rate of one queue's error budget over one window. A rate of 1 means that the queue uses up
/// its budget exactly as fast as its objective allows.
struct BurnRate {
  QueueId queue;
  Micros window = 0;
  ServiceCounts counts;
  double objective = 0;
  double rate = 0;
};

/// Burn rates of all configured queues, one entry per queue and window (5 minutes, 1 hour, 6
/// hours).
std::vector<BurnRate> BurnRates(const BurnHistory& history, const FleetConfig& config, Micros now);

inline constexpr Micros kBurnSampleInterval = 10 * kSecond;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_SERVICE_LEVEL_H_

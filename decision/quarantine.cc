#include "decision/quarantine.h"

#include <algorithm>
#include <cmath>

namespace godwitpaddle {
namespace {

// Evidence halves in this time.
constexpr double kHalfLifeS = 30;
// Failure rate of a broken server.
constexpr double kBrokenRate = 0.9;
// Failure rate assumed of the others without evidence, and its weight in tasks.
constexpr double kPriorRate = 0.02;
constexpr double kPriorTasks = 10;
// Odds of about 20,000 to 1: three failures in a row where the others fail 2%, nine where they fail
// 30%.
constexpr double kThreshold = 10;

void Fade(EndCounts& counts, Micros now) {
  const double seconds = static_cast<double>(now - counts.updated) / kSecond;
  counts.updated = now;
  if (seconds <= 0) return;
  const double factor = std::exp2(-seconds / kHalfLifeS);
  counts.good *= factor;
  counts.bad *= factor;
}

void Add(EndCounts& counts, bool good, double count, Micros now) {
  Fade(counts, now);
  double& value = good ? counts.good : counts.bad;
  value = std::max(0.0, value + count);
}

// Failure rate of the other servers for the queue.
double OthersRate(const EndCounts& own, const EndCounts& all) {
  const double good = std::max(0.0, all.good - own.good);
  const double bad = std::max(0.0, all.bad - own.bad);
  const double rate = (bad + kPriorRate * kPriorTasks) / (good + bad + kPriorTasks);
  return std::min(rate, kBrokenRate);
}

// Removes the server's ends from the pool's, so that they do not count for "the others" later.
void Forget(ServerHealth& server, PoolHealth& pool, Micros now) {
  for (auto& [queue, counts] : server.by_queue) {
    Fade(counts, now);
    Add(pool[queue], true, -counts.good, now);
    Add(pool[queue], false, -counts.bad, now);
  }
  server.by_queue.clear();
}

void StartQuarantine(ServerHealth& server, PoolHealth& pool, Micros now) {
  const Micros length = kFirstQuarantine << std::min(server.times, 10);
  server.until = now + std::min(length, kLongestQuarantine);
  server.state = Probation::kQuarantined;
  server.suspicion = 0;
  ++server.times;
  Forget(server, pool, now);
}

}  // namespace

bool RecordEnd(ServerHealth& server, PoolHealth& pool, const QueueId& queue, bool good,
               Micros now) {
  EndCounts& own = server.by_queue[queue];
  EndCounts& all = pool[queue];
  Add(own, good, 1, now);
  Add(all, good, 1, now);
  if (server.state == Probation::kQuarantined) return false;  // ends of earlier starts
  if (server.state == Probation::kTrial) {
    if (good) {
      server.state = Probation::kNone;
      server.last_released = now;
    } else {
      StartQuarantine(server, pool, now);
    }
    return true;
  }
  if (good && server.times > 0 && now - server.last_released > kLongestQuarantine) server.times = 0;
  const double rate = OthersRate(own, all);
  const double ratio = good ? (1 - kBrokenRate) / (1 - rate) : kBrokenRate / rate;
  server.suspicion = std::max(0.0, server.suspicion + std::log(ratio));
  if (server.suspicion < kThreshold) return false;
  StartQuarantine(server, pool, now);
  return true;
}

void RetractFailure(ServerHealth& server, PoolHealth& pool, const QueueId& queue, Micros now) {
  const auto own = server.by_queue.find(queue);
  if (own == server.by_queue.end()) return;
  const double rate = OthersRate(own->second, pool[queue]);
  server.suspicion = std::max(0.0, server.suspicion - std::log(kBrokenRate / rate));
  Add(own->second, false, -1, now);
  Add(pool[queue], false, -1, now);
}

bool ReleaseIfDue(ServerHealth& server, Micros now) {
  if (server.state != Probation::kQuarantined || now < server.until) return false;
  server.state = Probation::kTrial;
  return true;
}

void RecordRestart(ServerHealth& server) {
  if (server.state == Probation::kQuarantined && server.times <= 1) {
    server.state = Probation::kTrial;
  }
}

}  // namespace godwitpaddle

#include "decision/quarantine.h"

#include <algorithm>
#include <cmath>

namespace godwitpaddle {
namespace {

// The weight of evidence halves in this time.
constexpr double kHalfLifeS = 30;
// Assumed failure rate of a broken server.
constexpr double kBrokenFailureRate = 0.9;
// Prior failure rate of the other servers, and its weight in tasks.
constexpr double kPriorFailureRate = 0.02;
constexpr double kPriorTasks = 10;
// Log likelihood ratio at which a server is quarantined: odds of about 20,000 to 1. Three failures
// in a row reach it where the other servers fail 2% of their tasks, nine where they fail 30%.
constexpr double kQuarantineThreshold = 10;

void Decay(TaskEndCounts& counts, Micros now) {
  const double seconds = static_cast<double>(now - counts.updated) / kSecond;
  counts.updated = now;
  if (seconds <= 0) return;
  const double factor = std::exp2(-seconds / kHalfLifeS);
  counts.succeeded *= factor;
  counts.failed *= factor;
}

void Add(TaskEndCounts& counts, bool good, double count, Micros now) {
  Decay(counts, now);
  double& value = good ? counts.succeeded : counts.failed;
  value = std::max(0.0, value + count);
}

// Failure rate of the other servers for the queue, at most kBrokenFailureRate.
double OthersFailureRate(const TaskEndCounts& own, const TaskEndCounts& all) {
  const double good = std::max(0.0, all.succeeded - own.succeeded);
  const double bad = std::max(0.0, all.failed - own.failed);
  const double rate = (bad + kPriorFailureRate * kPriorTasks) / (good + bad + kPriorTasks);
  return std::min(rate, kBrokenFailureRate);
}

// Removes the server's counts from the pool's, so that they do not raise the failure rate that is
// expected of servers.
void RemoveFromPool(ServerHealth& server, PoolHealth& pool, Micros now) {
  for (auto& [queue, counts] : server.by_queue) {
    Decay(counts, now);
    Add(pool[queue], true, -counts.succeeded, now);
    Add(pool[queue], false, -counts.failed, now);
  }
  server.by_queue.clear();
}

void StartQuarantine(ServerHealth& server, PoolHealth& pool, Micros now) {
  const Micros length = kFirstQuarantine << std::min(server.streak, 10);
  server.quarantined_until = now + std::min(length, kLongestQuarantine);
  server.state = HealthState::kQuarantined;
  server.log_likelihood_ratio = 0;
  ++server.streak;
  RemoveFromPool(server, pool, now);
}

}  // namespace

bool RecordEnd(ServerHealth& server, PoolHealth& pool, const QueueId& queue, bool good,
               Micros now) {
  TaskEndCounts& own = server.by_queue[queue];
  TaskEndCounts& all = pool[queue];
  Add(own, good, 1, now);
  Add(all, good, 1, now);
  if (server.state == HealthState::kQuarantined) return false;  // started before the quarantine
  if (server.state == HealthState::kTrial) {
    if (good) {
      server.state = HealthState::kNone;
      server.recovered = now;
    } else {
      StartQuarantine(server, pool, now);
    }
    return true;
  }
  if (good && server.streak > 0 && now - server.recovered > kLongestQuarantine) server.streak = 0;
  const double rate = OthersFailureRate(own, all);
  const double ratio = good ? (1 - kBrokenFailureRate) / (1 - rate) : kBrokenFailureRate / rate;
  server.log_likelihood_ratio = std::max(0.0, server.log_likelihood_ratio + std::log(ratio));
  if (server.log_likelihood_ratio < kQuarantineThreshold) return false;
  StartQuarantine(server, pool, now);
  return true;
}

void RetractFailure(ServerHealth& server, PoolHealth& pool, const QueueId& queue, Micros now) {
  const auto own = server.by_queue.find(queue);
  if (own == server.by_queue.end()) return;
  const double rate = OthersFailureRate(own->second, pool[queue]);
  server.log_likelihood_ratio =
      std::max(0.0, server.log_likelihood_ratio - std::log(kBrokenFailureRate / rate));
  Add(own->second, false, -1, now);
  Add(pool[queue], false, -1, now);
}

bool EndQuarantineIfDue(ServerHealth& server, Micros now) {
  if (server.state != HealthState::kQuarantined || now < server.quarantined_until) return false;
  server.state = HealthState::kTrial;
  return true;
}

void RecordRestart(ServerHealth& server) {
  if (server.state == HealthState::kQuarantined && server.streak <= 1) {
    server.state = HealthState::kTrial;
  }
}

}  // namespace godwitpaddle

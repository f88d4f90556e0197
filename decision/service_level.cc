#include "decision/service_level.h"

#include <algorithm>
#include <array>
#include <utility>

namespace godwitpaddle {
namespace {

constexpr std::array<Micros, 3> kWindows = {5 * kMinute, 60 * kMinute, 360 * kMinute};

// Of the samples that are at most `age` old, one per `spacing` is kept. Each tier reaches beyond
// the window that it serves, so that there is a sample within one spacing of the window's start.
struct Tier {
  Micros age;
  Micros spacing;
};
constexpr std::array<Tier, 3> kTiers = {
    {{6 * kMinute, kBurnSampleInterval}, {65 * kMinute, kMinute}, {370 * kMinute, 5 * kMinute}}};

// Keeps the burn rate finite for an objective of 1.
constexpr double kSmallestErrorBudget = 1e-6;

ServiceCounts& operator+=(ServiceCounts& sum, const ServiceCounts& counts) {
  sum.in_time += counts.in_time;
  sum.late += counts.late;
  sum.refused += counts.refused;
  sum.failed += counts.failed;
  return sum;
}

ServiceCounts Difference(const ServiceCounts& now, const ServiceCounts& before) {
  const auto difference = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
  return {.in_time = difference(now.in_time, before.in_time),
          .late = difference(now.late, before.late),
          .refused = difference(now.refused, before.refused),
          .failed = difference(now.failed, before.failed)};
}

ServiceCounts Get(const QueueCounts& counts, const QueueId& queue) {
  const auto found = counts.find(queue);
  return found == counts.end() ? ServiceCounts{} : found->second;
}

// Drops the samples that no tier keeps. The first sample of each interval of a tier's spacing is
// kept, so the result does not depend on when earlier calls were made.
void DropSurplusSamples(std::deque<BurnHistory::Sample>& samples, Micros now) {
  std::deque<BurnHistory::Sample> kept;
  for (BurnHistory::Sample& sample : samples) {
    const auto tier = std::find_if(kTiers.begin(), kTiers.end(), [&](const Tier& candidate) {
      return now - sample.time <= candidate.age;
    });
    if (tier == kTiers.end()) continue;
    if (tier != kTiers.begin() && !kept.empty() &&
        kept.back().time / tier->spacing == sample.time / tier->spacing) {
      continue;
    }
    kept.push_back(std::move(sample));
  }
  samples = std::move(kept);
}

// Returns the newest sample at or before `at`, or the oldest one if all are later.
const BurnHistory::Sample& SampleAt(const std::deque<BurnHistory::Sample>& samples, Micros at) {
  const auto after =
      std::upper_bound(samples.begin(), samples.end(), at,
                       [](Micros time, const auto& sample) { return time < sample.time; });
  return after == samples.begin() ? samples.front() : *(after - 1);
}

double BurnRateOf(const ServiceCounts& counts, double objective) {
  const std::uint64_t bad = counts.late + counts.refused + counts.failed;
  if (bad == 0) return 0;
  const double bad_share = static_cast<double>(bad) / static_cast<double>(bad + counts.in_time);
  return bad_share / std::max(1.0 - objective, kSmallestErrorBudget);
}

}  // namespace

void Count(ServiceCounts& counts, ServiceOutcome outcome) {
  switch (outcome) {
    case ServiceOutcome::kInTime:
      ++counts.in_time;
      return;
    case ServiceOutcome::kLate:
      ++counts.late;
      return;
    case ServiceOutcome::kRefused:
      ++counts.refused;
      return;
    case ServiceOutcome::kFailed:
      ++counts.failed;
      return;
  }
}

void SampleServiceCounts(BurnHistory& history,
                         const std::map<std::string, QueueCounts>& by_incarnation, Micros now) {
  if (!history.samples.empty() && now - history.samples.back().time < kBurnSampleInterval) return;
  for (const auto& [incarnation, counts] : by_incarnation) {
    const auto previous = history.last_counts.find(incarnation);
    if (previous == history.last_counts.end()) continue;
    for (const auto& [queue, count] : counts) {
      history.total[queue] += Difference(count, Get(previous->second, queue));
    }
  }
  history.last_counts = by_incarnation;
  history.samples.push_back({.time = now, .counts = history.total});
  DropSurplusSamples(history.samples, now);
}

std::vector<BurnRate> BurnRates(const BurnHistory& history, const FleetConfig& config, Micros now) {
  std::vector<BurnRate> lines;
  for (const auto& [queue, queue_config] : config.queues) {
    for (const Micros window : kWindows) {
      BurnRate line{.queue = queue, .window = window, .objective = queue_config.objective};
      if (!history.samples.empty()) {
        line.counts = Difference(Get(history.samples.back().counts, queue),
                                 Get(SampleAt(history.samples, now - window).counts, queue));
        line.rate = BurnRateOf(line.counts, line.objective);
      }
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

}  // namespace godwitpaddle

#include "decision/usage_estimate.h"

#include <algorithm>
#include <cmath>

namespace godwitpaddle {
namespace {

constexpr int kBins = 96;
// Total weight at which the weights of all bins are halved.
constexpr double kMaxTotalWeight = 512;
// Weight of the declared value, as a number of observations.
constexpr double kPriorWeight = 4;
// The usage of the tasks on one server averages out. A short excess of cores only slows the tasks
// down, but a lack of memory kills them, so memory has the higher quantile. The 90% quantile for
// both leaves an eighth of the slots empty.
constexpr double kCoresQuantile = 0.5;
constexpr double kMemoryQuantile = 0.75;
// Observations needed before a request may be refused because of observed run times.
constexpr double kMinObservations = 8;

// Weighted geometric mean of both values, since declared values are wrong by factors. `count` is
// the number of observations; a value of 0 is unknown.
double Blend(double declared, double observed, double count) {
  if (count <= 0 || observed <= 0) return declared;
  if (declared <= 0) return observed;
  const double weight = count / (count + kPriorWeight);
  return std::exp(weight * std::log(observed) + (1 - weight) * std::log(declared));
}

}  // namespace

LogQuantiles::LogQuantiles(double low, double high)
    : bins_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                                  Axis(kBins, low, high))),
      low_(low),
      high_(high) {}

void LogQuantiles::Add(double value) {
  bins_(std::clamp(value, low_, std::nextafter(high_, 0.0)));
  count_ += 1;
  if (count_ < kMaxTotalWeight) return;
  bins_ *= 0.5;
  count_ *= 0.5;
}

double LogQuantiles::Quantile(double q) const {
  double left = q * count_;
  const auto& axis = bins_.axis();
  for (int i = 0; i < axis.size() && count_ > 0; ++i) {
    const double weight = bins_.at(i);
    if (weight >= left && weight > 0) {
      const auto bin = axis.bin(i);
      return bin.lower() + (bin.upper() - bin.lower()) * left / weight;
    }
    left -= weight;
  }
  return count_ > 0 ? high_ : 0;
}

TaskSize CorrectedSize(const UsageEstimate& usage, const TaskSize& declared) {
  TaskSize size = declared;
  size.cores = Blend(declared.cores, usage.cores.Quantile(kCoresQuantile), usage.cores.count());
  size.memory_mb = static_cast<std::int64_t>(
      std::ceil(Blend(static_cast<double>(declared.memory_mb),
                      usage.memory_mb.Quantile(kMemoryQuantile), usage.memory_mb.count())));
  size.run_time = ExpectedRunTime(usage, declared.run_time);
  return size;
}

Micros ExpectedRunTime(const UsageEstimate& usage, Micros declared) {
  const double seconds = Blend(static_cast<double>(declared) / kSecond,
                               usage.run_seconds.Quantile(0.5), usage.run_seconds.count());
  return static_cast<Micros>(seconds * kSecond);
}

Micros ShortRunTime(const UsageEstimate& usage) {
  if (usage.run_seconds.count() < kMinObservations) return 0;
  return static_cast<Micros>(usage.run_seconds.Quantile(0.1) * kSecond);
}

}  // namespace godwitpaddle

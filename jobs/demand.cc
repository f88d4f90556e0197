#include "jobs/demand.h"

#include <algorithm>

namespace godwitpaddle::jobs {
namespace {

/// Factor applied to the sums at each new run: about the last fifty runs determine the ratio.
constexpr double kDecay = 0.98;
constexpr double kMinFactor = 0.3;
constexpr double kMaxFactor = 4.0;
/// A forecast is at most this multiple of the present rate, and at least the rate divided by it.
constexpr double kMaxGrowth = 2.0;
/// Number of jobs in the window from which the rate and its slope are used without damping.
constexpr double kFullConfidenceJobs = 10;

}  // namespace

std::int64_t DeclaredWork(const JobSpec& spec) {
  std::int64_t work = 0;
  for (const Step& step : spec.steps) {
    if (step.long_running || step.best_effort_cpu) continue;
    work += static_cast<std::int64_t>(step.count) * step.size.cpu * step.estimate_ms / 1'000;
  }
  return work;
}

void ArrivalRate::Advance(Micros now) {
  if (newest_start_ == 0 || now - newest_start_ > static_cast<Micros>(kIntervals) * kInterval) {
    work_.fill(0);
    jobs_.fill(0);
    newest_start_ = now;
  }
  while (now - newest_start_ >= kInterval) {
    newest_ = (newest_ + 1) % kIntervals;
    work_.at(newest_) = 0;
    jobs_.at(newest_) = 0;
    newest_start_ += kInterval;
  }
}

void ArrivalRate::Add(std::int64_t core_ms, Micros now) {
  Advance(now);
  work_.at(newest_) += static_cast<double>(core_ms);
  ++jobs_.at(newest_);
}

template <typename T>
T ArrivalRate::Sum(const std::array<T, kIntervals>& values, std::size_t first_age,
                   std::size_t last_age) const {
  T total = 0;
  for (std::size_t age = first_age; age <= last_age; ++age) {
    total += values.at((newest_ + kIntervals - age) % kIntervals);
  }
  return total;
}

double ArrivalRate::Forecast(Micros now, Micros horizon) {
  Advance(now);
  // Ignores the current, incomplete interval and compares the three before it with the three before
  // those.
  const double half_ms = 3.0 * static_cast<double>(kInterval) / kMillisecond;
  const double newer = Sum(work_, 1, 3) / half_ms;
  const double older = Sum(work_, 4, 6) / half_ms;
  // With few jobs the rate is uncertain, and its slope even more.
  const int jobs = Sum(jobs_, 1, 6);
  const double confidence = std::min(1.0, static_cast<double>(jobs) / kFullConfidenceJobs);
  const double rate = confidence * newer + (1 - confidence) * (newer + older) / 2;
  const double slope = confidence * (newer - older) / half_ms;  // cores per millisecond
  // The newer half gives the rate at its middle, half its length ago.
  const double distance_ms = static_cast<double>(horizon) / kMillisecond + half_ms / 2;
  return std::clamp(rate + slope * distance_ms, rate / kMaxGrowth, rate * kMaxGrowth);
}

void Demand::OnAccepted(const std::string& service, const JobSpec& spec, Micros now) {
  services_[service].arrivals.Add(DeclaredWork(spec), now);
}

void Demand::OnRunDone(const std::string& service, std::int64_t declared_ms,
                       std::int64_t actual_ms) {
  PerService& one = services_[service];
  one.declared_ms = one.declared_ms * kDecay + static_cast<double>(declared_ms);
  one.actual_ms = one.actual_ms * kDecay + static_cast<double>(actual_ms);
}

double Demand::EstimateFactor(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.declared_ms <= 0) return 1;
  return std::clamp(found->second.actual_ms / found->second.declared_ms, kMinFactor, kMaxFactor);
}

double Demand::Forecast(const std::string& service, Micros now, Micros horizon) {
  return services_[service].arrivals.Forecast(now, horizon) * EstimateFactor(service);
}

}  // namespace godwitpaddle::jobs

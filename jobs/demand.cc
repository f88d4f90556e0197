#include "jobs/demand.h"

#include <algorithm>

namespace godwitpaddle::jobs {
namespace {

/// Share of the past that a new sample replaces: about the last fifty runs count.
constexpr double kFade = 0.98;
constexpr double kLeastFactor = 0.3;
constexpr double kMostFactor = 4.0;
/// A slope is carried on to this multiple of the present rate at most.
constexpr double kMostGrowth = 2.0;
/// Jobs within the window from which on a rate and its slope are trusted in full.
constexpr double kTrustedJobs = 10;

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
  if (newest_began_ == 0 || now - newest_began_ > static_cast<Micros>(kIntervals) * kInterval) {
    work_.fill(0);
    jobs_.fill(0);
    newest_began_ = now;
  }
  while (now - newest_began_ >= kInterval) {
    newest_ = (newest_ + 1) % kIntervals;
    work_.at(newest_) = 0;
    jobs_.at(newest_) = 0;
    newest_began_ += kInterval;
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

double ArrivalRate::Forecast(Micros now, Micros ahead) {
  Advance(now);
  // The interval under way is too short to count; of the others, the newer half against the older.
  const double half_ms = 3.0 * static_cast<double>(kInterval) / kMillisecond;
  const double newer = Sum(work_, 1, 3) / half_ms;
  const double older = Sum(work_, 4, 6) / half_ms;
  // Few jobs say little about the rate, and less about its slope.
  const int jobs = Sum(jobs_, 1, 6);
  const double trust = std::min(1.0, static_cast<double>(jobs) / kTrustedJobs);
  const double rate = trust * newer + (1 - trust) * (newer + older) / 2;
  const double slope = trust * (newer - older) / half_ms;  // cores per millisecond
  // The newer half describes the time half of its length ago.
  const double distance_ms = static_cast<double>(ahead) / kMillisecond + half_ms / 2;
  return std::clamp(rate + slope * distance_ms, rate / kMostGrowth, rate * kMostGrowth);
}

void Demand::OnAccepted(const std::string& service, const JobSpec& spec, Micros now) {
  services_[service].arrivals.Add(DeclaredWork(spec), now);
}

void Demand::OnDone(const std::string& service, std::int64_t declared_ms, std::int64_t actual_ms) {
  PerService& one = services_[service];
  one.declared_ms = one.declared_ms * kFade + static_cast<double>(declared_ms);
  one.actual_ms = one.actual_ms * kFade + static_cast<double>(actual_ms);
}

double Demand::EstimateFactor(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.declared_ms <= 0) return 1;
  return std::clamp(found->second.actual_ms / found->second.declared_ms, kLeastFactor, kMostFactor);
}

double Demand::Forecast(const std::string& service, Micros now, Micros ahead) {
  return services_[service].arrivals.Forecast(now, ahead) * EstimateFactor(service);
}

}  // namespace godwitpaddle::jobs

#ifndef GODWITPADDLE_JOBS_DEMAND_H_
#define GODWITPADDLE_JOBS_DEMAND_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "jobs/state.h"

/// How much work each service is asked for, now and shortly. Answers the load pattern in which one
/// queue after the other rises within seconds to several times its mean: what arrives is followed
/// by its slope, so that VMs can be on their way before a queue builds up.
namespace godwitpaddle::jobs {

/// Work of a job in core-milliseconds, by the client's estimates.
std::int64_t DeclaredWork(const JobSpec& spec);

/// Work that arrives at one service, in short intervals.
class ArrivalRate {
 public:
  void Add(std::int64_t core_ms, Micros now);
  /// Cores that the arrivals of about the last second keep busy, carried on with their slope over
  /// `ahead`.
  double Forecast(Micros now, Micros horizon);

 private:
  static constexpr std::size_t kIntervals = 8;
  static constexpr Micros kInterval = 250 * kMillisecond;

  void Advance(Micros now);
  template <typename T>
  T Sum(const std::array<T, kIntervals>& values, std::size_t first_age, std::size_t last_age) const;

  std::array<double, kIntervals> work_{};  // core-milliseconds; the newest at `newest_`
  std::array<int, kIntervals> jobs_{};
  std::size_t newest_ = 0;
  Micros newest_start_ = 0;
};

/// Arrivals of all services, and how far the clients' estimates are off.
class Demand {
 public:
  void OnAccepted(const std::string& service, const JobSpec& spec, Micros now);
  /// A run that ended done took `actual_ms` where `declared_ms` was said.
  void OnRunDone(const std::string& service, std::int64_t declared_ms, std::int64_t actual_ms);
  double Forecast(const std::string& service, Micros now, Micros horizon);
  /// Factor from declared to actual times.
  double EstimateFactor(const std::string& service) const;

 private:
  struct PerService {
    ArrivalRate arrivals;
    double declared_ms = 0;  // sums that fade
    double actual_ms = 0;
  };

  std::map<std::string, PerService> services_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_DEMAND_H_

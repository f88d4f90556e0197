#ifndef GODWITPADDLE_JOBS_DEMAND_H_
#define GODWITPADDLE_JOBS_DEMAND_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "jobs/state.h"

/// Forecasts the demand for each service. Designed for loads in which one queue after another rises
/// within seconds to several times its mean: the arrival rate is extrapolated by its slope, so that
/// VMs can be moved before a backlog builds up.
namespace godwitpaddle::jobs {

/// Returns the work of a job in core-milliseconds by the client's estimates, without long-running
/// and best-effort steps.
std::int64_t DeclaredWork(const JobSpec& spec);

/// Measures the work that arrives at one service, in short intervals.
class ArrivalRate {
 public:
  void Add(std::int64_t core_ms, Micros now);
  /// Returns the number of cores that the work arriving at `now` + `horizon` would keep busy,
  /// extrapolated linearly from the arrivals of about the last 1.5 seconds.
  double Forecast(Micros now, Micros horizon);

 private:
  static constexpr std::size_t kIntervals = 8;
  static constexpr Micros kInterval = 250 * kMillisecond;

  void Advance(Micros now);
  template <typename T>
  T Sum(const std::array<T, kIntervals>& values, std::size_t first_age, std::size_t last_age) const;

  std::array<double, kIntervals> work_{};  // in core-milliseconds; the latest at `newest_`
  std::array<int, kIntervals> jobs_{};
  std::size_t newest_ = 0;
  Micros newest_start_ = 0;
};

/// The arrivals at all services, and the ratio of actual run times to the clients' estimates.
class Demand {
 public:
  void OnAccepted(const std::string& service, const JobSpec& spec, Micros now);
  /// A run that ended as done took `actual_ms`; the client's estimate was `declared_ms`.
  void OnRunDone(const std::string& service, std::int64_t declared_ms, std::int64_t actual_ms);
  double Forecast(const std::string& service, Micros now, Micros horizon);
  /// Returns the ratio of actual to declared run times, between 0.3 and 4; 1 before any run ended.
  double EstimateFactor(const std::string& service) const;

 private:
  struct PerService {
    ArrivalRate arrivals;
    double declared_ms = 0;  // exponentially decaying sums
    double actual_ms = 0;
  };

  std::map<std::string, PerService> services_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_DEMAND_H_

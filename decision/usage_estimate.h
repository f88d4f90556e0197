#ifndef GODWITPADDLE_DECISION_USAGE_ESTIMATE_H_
#define GODWITPADDLE_DECISION_USAGE_ESTIMATE_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <tuple>

#include "base/time.h"
#include "decision/pool_scheduler.h"

namespace godwitpaddle {

/// Estimates quantiles of positive values with a logarithmic histogram. Older values lose weight,
/// so the estimate follows a change in usage.
class LogQuantiles {
 public:
  /// Values outside [low, high) count in the first or last bin.
  LogQuantiles(double low, double high);
  void Add(double value);
  /// Value below which the fraction `q` of the observations lies; 0 without observations.
  double Quantile(double q) const;
  /// Total weight of the observations.
  double count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> bins_;
  double low_;
  double high_;
  double count_ = 0;
};

/// Observed run times, cores and memory of the tasks of one queue.
struct UsageEstimate {
  LogQuantiles run_seconds{1e-3, 3600};
  LogQuantiles cores{1e-2, 1024};
  LogQuantiles memory_mb{1, 4e6};
};

/// Size to reserve for a task: the declared size, as a prior, blended with a quantile of what the
/// queue's tasks used. The declared number of accelerators is kept.
TaskSize CorrectedSize(const UsageEstimate& usage, const TaskSize& declared);

/// Median run time, with the declared run time as a prior; 0 if neither is known.
Micros ExpectedRunTime(const UsageEstimate& usage, Micros declared);

/// Run time that 90% of the tasks exceed; 0 until enough tasks were observed.
Micros ShortRunTime(const UsageEstimate& usage);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_USAGE_ESTIMATE_H_

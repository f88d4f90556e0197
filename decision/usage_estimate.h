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

/// Quantiles of positive values on a logarithmic scale. Older values lose weight, so the estimate
/// follows a change of behaviour.
class LogQuantiles {
 public:
  /// Values outside [low, high) count at the ends.
  LogQuantiles(double low, double high);
  void Add(double value);
  /// Value below which the fraction `q` of the observations lies; 0 without observations.
  double Quantile(double q) const;
  double count() const { return count_; }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>> bins_;
  double low_;
  double high_;
  double count_ = 0;
};

/// Observed usage of the tasks of one queue.
struct UsageEstimate {
  LogQuantiles run_seconds{1e-3, 3600};
  LogQuantiles cores{1e-2, 1024};
  LogQuantiles memory_mb{1, 4e6};
};

/// Size to account for a task: the declared size as a prior, corrected by a quantile of what the
/// queue's tasks used. Accelerators are never corrected.
TaskSize CorrectedSize(const UsageEstimate& usage, const TaskSize& declared);

/// Median run time in microseconds, with the declared run time as a prior; 0 when nothing is known.
Micros ExpectedRunTime(const UsageEstimate& usage, Micros declared);

/// Run time that nine tasks of ten exceed; 0 until enough tasks were observed.
Micros ShortRunTime(const UsageEstimate& usage);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_USAGE_ESTIMATE_H_

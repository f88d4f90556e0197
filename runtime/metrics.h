#ifndef GODWITPADDLE_RUNTIME_METRICS_H_
#define GODWITPADDLE_RUNTIME_METRICS_H_

#include <functional>
#include <memory>
#include <string>

namespace godwitpaddle {

/// Counters, gauges and histograms of the process. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds a sample to a histogram if the name ends in _ms, _us or _seconds; otherwise adds the
  /// value to a counter.
  void Add(const std::string& name, double value);

  /// Registers a gauge, whose value each call of Text reads. `read` must be callable from any
  /// thread.
  void AddGauge(const std::string& name, std::function<double()> read);

  /// Returns all metrics as text: one "godwitpaddle_NAME VALUE" line per value.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Registers gauges for the CPU seconds and the resident bytes of this process.
void AddProcessGauges(Metrics& metrics);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_METRICS_H_

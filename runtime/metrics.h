#ifndef GODWITPADDLE_RUNTIME_METRICS_H_
#define GODWITPADDLE_RUNTIME_METRICS_H_

#include <functional>
#include <memory>
#include <string>

namespace godwitpaddle {

/// Counters, gauges and histograms of the process. Safe for concurrent use.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// Adds a sample. Names that end in _ms, _us or _seconds are histograms; others are counters, to
  /// which the value is added.
  void Add(const std::string& name, double value);

  /// Registers a value that is read at each exposition. `read` must be safe in any thread.
  void AddGauge(const std::string& name, std::function<double()> read);

  /// Text exposition: one "godwitpaddle_NAME VALUE" line per value.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Registers CPU seconds and resident bytes of this process.
void AddProcessGauges(Metrics& metrics);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_METRICS_H_

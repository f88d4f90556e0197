#include "runtime/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <boost/histogram.hpp>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <string_view>
#include <utility>

namespace godwitpaddle {
namespace {

// Range of the histograms, in the unit of the metric. It is wide enough for seconds and for
// milliseconds: 10 bins per decade over 9 decades.
constexpr int kBins = 90;
constexpr double kLowest = 1e-4;
constexpr double kHighest = 1e5;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

struct Histogram {
  boost::histogram::histogram<std::tuple<Axis>> counts =
      boost::histogram::make_histogram(Axis(kBins, kLowest, kHighest));
  double sum = 0;
};

bool IsHistogram(std::string_view name) {
  return name.ends_with("_ms") || name.ends_with("_us") || name.ends_with("_seconds");
}

void WriteHistogram(std::ostream& out, const std::string& name, const Histogram& histogram) {
  const auto& axis = histogram.counts.axis(0);
  double total = histogram.counts.at(-1);
  for (int bin = 0; bin < kBins; ++bin) {
    const double count = histogram.counts.at(bin);
    total += count;
    if (count > 0) {  // counts are cumulative, so empty bins need no line
      out << name << "_bucket{le=\"" << axis.bin(bin).upper() << "\"} " << total << '\n';
    }
  }
  total += histogram.counts.at(kBins);
  out << name << "_bucket{le=\"+Inf\"} " << total << '\n';
  out << name << "_sum " << histogram.sum << '\n' << name << "_count " << total << '\n';
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace

struct Metrics::Impl {
  mutable std::mutex mutex;
  std::map<std::string, double> counters;
  std::map<std::string, Histogram> histograms;
  std::map<std::string, std::function<double()>> gauges;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name, double value) {
  const std::lock_guard lock(impl_->mutex);
  if (!IsHistogram(name)) {
    impl_->counters[name] += value;
    return;
  }
  Histogram& histogram = impl_->histograms[name];
  histogram.counts(value);
  histogram.sum += value;
}

void Metrics::AddGauge(const std::string& name, std::function<double()> read) {
  const std::lock_guard lock(impl_->mutex);
  impl_->gauges[name] = std::move(read);
}

std::string Metrics::Text() const {
  const std::string prefix = "godwitpaddle_";
  std::ostringstream out;
  out.precision(12);
  const std::lock_guard lock(impl_->mutex);
  for (const auto& [name, value] : impl_->counters) out << prefix << name << ' ' << value << '\n';
  for (const auto& [name, read] : impl_->gauges) out << prefix << name << ' ' << read() << '\n';
  for (const auto& [name, histogram] : impl_->histograms) {
    WriteHistogram(out, prefix + name, histogram);
  }
  return out.str();
}

void AddProcessGauges(Metrics& metrics) {
  metrics.AddGauge("process_cpu_seconds_total", CpuSeconds);
  metrics.AddGauge("process_resident_bytes", ResidentBytes);
}

}  // namespace godwitpaddle

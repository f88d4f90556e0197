#ifndef GODWITPADDLE_BENCH_REPORT_H_
#define GODWITPADDLE_BENCH_REPORT_H_

#include <cstdio>
#include <string>

namespace godwitpaddle::bench {

/// Prints one line per measure and counts the goals that were missed.
class Report {
 public:
  /// `name` is "<scenario> <measure>".
  void PrintLine(const std::string& name, const std::string& policy, double value,
                 const char* unit) {
    std::printf("%-42s %-22s %10.3f %s\n", name.c_str(), policy.c_str(), value, unit);
  }

  /// Prints a measure that has a goal in section 1.3 of the design page. A value above `goal`
  /// counts as missed.
  void PrintGoal(const std::string& name, const std::string& policy, double value, const char* unit,
                 double goal) {
    const bool reached = value <= goal;
    std::printf("%-42s %-22s %10.3f %s (goal %g: %s)\n", name.c_str(), policy.c_str(), value, unit,
                goal, reached ? "reached" : "MISSED");
    missed_ += reached ? 0 : 1;
  }

  int missed() const { return missed_; }

 private:
  int missed_ = 0;
};

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_REPORT_H_

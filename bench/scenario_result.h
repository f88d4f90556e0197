#ifndef GODWITPADDLE_BENCH_SCENARIO_RESULT_H_
#define GODWITPADDLE_BENCH_SCENARIO_RESULT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwitpaddle {

/// Result lines of a scenario and a hash over all of them.
struct ScenarioResult {
  std::vector<std::string> lines;
  std::uint64_t signature = 14695981039346656037U;  // FNV-1a

  void Add(std::string line) {
    for (const unsigned char c : line) signature = (signature ^ c) * 1099511628211U;
    lines.push_back(std::move(line));
  }
  void Add(const ScenarioResult& other) {
    for (const std::string& line : other.lines) Add(line);
  }
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BENCH_SCENARIO_RESULT_H_

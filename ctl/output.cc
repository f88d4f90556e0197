#include "ctl/output.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>

namespace godwitpaddle::ctl {

void PrintTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
    }
    std::cout << line << "\n";
  }
}

void PrintJson(const nlohmann::json& value) {
  std::cout << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

void PrintProgress(const std::string& line) { std::cerr << line << std::endl; }

std::string FormatTime(std::int64_t wall_ms) {
  if (wall_ms == 0) return "-";
  const std::time_t seconds = wall_ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text.data();
}

}  // namespace godwitpaddle::ctl

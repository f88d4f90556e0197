#ifndef GODWITPADDLE_CTL_OUTPUT_H_
#define GODWITPADDLE_CTL_OUTPUT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace godwitpaddle::ctl {

/// Prints rows in aligned columns on standard output; the first row is the heading.
void PrintTable(const std::vector<std::vector<std::string>>& rows);

/// Prints indented JSON on standard output.
void PrintJson(const nlohmann::json& value);

/// Prints a line of progress on standard error, so that scripts can parse standard output.
void PrintProgress(const std::string& line);

/// Formats a Unix time in milliseconds as UTC, such as 2025-12-04T10:00:00Z; "-" for 0 (not set).
std::string FormatTime(std::int64_t wall_ms);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_OUTPUT_H_

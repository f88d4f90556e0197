#ifndef GODWITPADDLE_DECISION_CONFIG_POSITION_H_
#define GODWITPADDLE_DECISION_CONFIG_POSITION_H_

#include <cstddef>
#include <string>

namespace godwitpaddle::detail {

/// Line (from 1) of the byte at `position` (from 1).
int LineOfByte(const std::string& text, std::size_t position);

/// Line of the last place where the valid JSON text sets the pointer `path`; 0 when it does not.
int LineOfPath(const std::string& text, const std::string& path);

/// A message of the JSON library without its tag and exception name.
std::string StripErrorPrefix(const std::string& message);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_POSITION_H_

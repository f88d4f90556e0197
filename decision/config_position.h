#ifndef GODWITPADDLE_DECISION_CONFIG_POSITION_H_
#define GODWITPADDLE_DECISION_CONFIG_POSITION_H_

#include <cstddef>
#include <string>

namespace godwitpaddle::detail {

/// Returns the line (from 1) that contains the byte at position `byte` (from 1).
int LineOfByte(const std::string& text, std::size_t byte);

/// Returns the last line (from 1) of the valid JSON text at which the value at the JSON pointer
/// `path` is set; 0 if it is not set.
int LineOfPath(const std::string& text, const std::string& path);

/// Returns an error message of the JSON library without its prefix "[json.exception...] ".
std::string StripErrorPrefix(const std::string& message);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_POSITION_H_

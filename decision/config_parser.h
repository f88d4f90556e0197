#ifndef GODWITPADDLE_DECISION_CONFIG_PARSER_H_
#define GODWITPADDLE_DECISION_CONFIG_PARSER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "decision/config.h"

namespace godwitpaddle::detail {

/// Parses one file of JSON with comments. A syntax error, a name given twice in one object, or
/// nesting deeper than any setting needs is appended to `errors`; the result is null then.
nlohmann::json ParseConfigFile(const std::string& file, const std::string& text,
                               std::vector<ConfigError>& errors);

/// Merges `patch` into `target` as a JSON merge patch (RFC 7386) does, without copying it.
void MergeInto(nlohmann::json& target, nlohmann::json&& patch);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_PARSER_H_

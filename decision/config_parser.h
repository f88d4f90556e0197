#ifndef GODWITPADDLE_DECISION_CONFIG_PARSER_H_
#define GODWITPADDLE_DECISION_CONFIG_PARSER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "decision/config.h"

namespace godwitpaddle::detail {

/// Parses one file of JSON with comments. On a syntax error, a name that appears twice in one
/// object, or nesting deeper than any setting, appends the error to `errors` and returns null.
nlohmann::json ParseConfigFile(const std::string& file, const std::string& text,
                               std::vector<ConfigError>& errors);

/// Applies `patch` to `target` as a JSON merge patch (RFC 7386). Moves the values instead of
/// copying them.
void MergeInto(nlohmann::json& target, nlohmann::json&& patch);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_PARSER_H_

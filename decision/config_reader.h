#ifndef GODWITPADDLE_DECISION_CONFIG_READER_H_
#define GODWITPADDLE_DECISION_CONFIG_READER_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "decision/config.h"

namespace godwitpaddle::detail {

// Maximum number of reported errors. More of them rarely help and would enlarge the command
// results that the replicated state stores.
inline constexpr std::size_t kMaxErrors = 20;

/// Reads a parsed file (or the merged configuration) into `config` and appends its errors, with
/// paths but without file names. Skips null values, which remove a setting when files are merged.
void ReadConfig(const nlohmann::json& json, FleetConfig& config, std::vector<ConfigError>& errors);

/// Whether `name` may be the id of a pool, VM, queue, team or wave: 1 to 64 letters, digits and
/// "._-". Ids are used in URLs and in claim keys ("<queue>:<id>"), so that
/// they must not contain "/" or ":".
bool IsValidId(const std::string& name);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_READER_H_

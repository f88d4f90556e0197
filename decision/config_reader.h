#ifndef GODWITPADDLE_DECISION_CONFIG_READER_H_
#define GODWITPADDLE_DECISION_CONFIG_READER_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "decision/config.h"

namespace godwitpaddle::detail {

// Further reasons of one file rarely help and would fill the kept answers.
inline constexpr std::size_t kMaxErrors = 20;

/// Reads a parsed file (or the merged whole) into `config` and appends the reasons against it, with
/// paths but without file names. Null values are skipped: they remove a setting on merging.
void ReadConfig(const nlohmann::json& json, FleetConfig& config, std::vector<ConfigError>& errors);

/// Whether `name` may be the id of a pool, VM, queue, team or wave: 1 to 64 letters, digits and
/// "._-". Ids are parts of URLs and of claim keys ("<queue>:<id>").
bool IsValidId(const std::string& name);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_READER_H_

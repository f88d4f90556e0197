#include "decision/config.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "decision/config_check.h"
#include "decision/config_position.h"
#include "decision/config_reader.h"

namespace godwitpaddle {
namespace {

using nlohmann::json;

/// Parses one file; a syntax error or a name given twice in one object becomes a ConfigError.
json Parse(const std::string& file, const std::string& text, std::vector<ConfigError>& errors) {
  std::vector<std::set<std::string>> seen;
  std::string twice;
  const auto watch = [&](int, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) seen.emplace_back();
    if (event == json::parse_event_t::object_end) seen.pop_back();
    if (event == json::parse_event_t::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!seen.back().insert(key).second && twice.empty()) twice = key;
    }
    return true;
  };
  try {
    json parsed = json::parse(text, watch, true, true);
    if (!twice.empty()) {
      errors.push_back({.file = file, .reason = "\"" + twice + "\" is given twice in one object"});
    }
    return parsed;
  } catch (const json::parse_error& error) {
    errors.push_back({.file = file,
                      .line = detail::LineOfByte(text, error.byte),
                      .reason = detail::ReasonOf(error.what())});
  } catch (const json::exception& error) {
    errors.push_back({.file = file, .reason = detail::ReasonOf(error.what())});
  }
  return {};
}

/// Names the last file that sets the error's path, and the line there.
void Locate(ConfigError& error, const std::map<std::string, std::string>& files,
            const std::map<std::string, json>& parsed) {
  for (std::string path = error.path; !path.empty(); path.resize(path.rfind('/'))) {
    const json::json_pointer pointer(path);
    for (auto it = parsed.rbegin(); it != parsed.rend(); ++it) {
      if (!it->second.contains(pointer) || it->second[pointer].is_null()) continue;
      error.file = it->first;
      error.line = detail::LineOfPath(files.at(it->first), path);
      return;
    }
  }
}

}  // namespace

MergeResult MergeConfig(const std::map<std::string, std::string>& files) {
  MergeResult result;
  std::map<std::string, json> parsed;
  for (const auto& [file, text] : files) {
    const std::size_t before = result.errors.size();
    json& tree = parsed[file] = Parse(file, text, result.errors);
    if (result.errors.size() > before) continue;
    FleetConfig alone;
    detail::ReadConfig(tree, alone, result.errors);
    for (std::size_t i = before; i < result.errors.size(); ++i) {
      result.errors[i].file = file;
      result.errors[i].line = detail::LineOfPath(text, result.errors[i].path);
    }
  }
  if (!result.ok()) return result;
  json merged = json::object();
  for (const auto& [file, tree] : parsed) merged.merge_patch(tree);
  detail::ReadConfig(merged, result.config, result.errors);
  detail::CheckConfig(result.config, result.errors);
  for (ConfigError& error : result.errors) Locate(error, files, parsed);
  return result;
}

}  // namespace godwitpaddle

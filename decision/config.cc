#include "decision/config.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "decision/config_check.h"
#include "decision/config_parser.h"
#include "decision/config_position.h"
#include "decision/config_reader.h"

namespace godwitpaddle {
namespace {

using nlohmann::json;

/// Sets the error's file and line to the last place that sets its path or, if no file does, the
/// nearest enclosing one.
void LocateError(ConfigError& error, const std::map<std::string, std::string>& files) {
  std::vector<ConfigError> unused;
  for (std::string path = error.path; !path.empty(); path.resize(path.rfind('/'))) {
    const json::json_pointer pointer(path);
    for (auto it = files.rbegin(); it != files.rend(); ++it) {
      const json tree = detail::ParseConfigFile(it->first, it->second, unused);
      if (!tree.contains(pointer) || tree[pointer].is_null()) continue;
      error.file = it->first;
      error.line = detail::LineOfPath(it->second, path);
      return;
    }
  }
}

}  // namespace

MergeResult MergeConfig(const std::map<std::string, std::string>& files) {
  MergeResult result;
  json merged = json::object();
  for (const auto& [file, text] : files) {
    const std::size_t before = result.errors.size();
    json tree = detail::ParseConfigFile(file, text, result.errors);
    if (result.errors.size() > before) continue;
    FleetConfig file_config;
    detail::ReadConfig(tree, file_config, result.errors);
    for (std::size_t i = before; i < result.errors.size(); ++i) {
      result.errors[i].file = file;
      result.errors[i].line = detail::LineOfPath(text, result.errors[i].path);
    }
    if (result.ok()) detail::MergeInto(merged, std::move(tree));
  }
  if (!result.ok()) return result;
  detail::ReadConfig(merged, result.config, result.errors);
  detail::CheckConfig(result.config, result.errors);
  if (result.errors.size() > detail::kMaxErrors) result.errors.resize(detail::kMaxErrors);
  for (ConfigError& error : result.errors) LocateError(error, files);
  return result;
}

}  // namespace godwitpaddle

#include "ctl/config_folder.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "ctl/errors.h"

namespace godwitpaddle::ctl {

std::map<std::string, std::string> ReadConfigFolder(const std::string& folder) {
  std::map<std::string, std::string> files;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string name = entry.path().filename().string();
    if (!entry.is_regular_file() || !name.ends_with(".json") || name.starts_with(".")) continue;
    std::ifstream file(entry.path(), std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) throw CommandError(kExitUsage, "cannot read " + entry.path().string());
    files[name] = text.str();
  }
  if (error) throw CommandError(kExitUsage, "cannot read " + folder + ": " + error.message());
  if (files.empty()) throw CommandError(kExitUsage, "no .json files in " + folder);
  return files;
}

std::string DescribeErrors(const MergeResult& result) {
  std::string text;
  for (const ConfigError& error : result.errors) {
    if (!text.empty()) text += "\n";
    text += error.file.empty() ? "(merged)" : error.file;
    if (error.line > 0) text += ":" + std::to_string(error.line);
    text += ": ";
    if (!error.path.empty()) text += error.path + ": ";
    text += error.reason;
  }
  return text;
}

FleetConfig MergeOrThrow(const std::map<std::string, std::string>& files) {
  MergeResult result = MergeConfig(files);
  if (!result.ok()) {
    throw CommandError(kExitRefused, "the configuration is not valid\n" + DescribeErrors(result));
  }
  return std::move(result.config);
}

}  // namespace godwitpaddle::ctl

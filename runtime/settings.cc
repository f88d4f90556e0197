#include "runtime/settings.h"

#include <algorithm>
#include <cctype>

#include "runtime/object_reader.h"

namespace godwitpaddle {
namespace {

using detail::CheckedAddress;
using detail::Json;
using detail::ObjectReader;

/// Returns `name` if it is a valid node name. Node names are part of task ids and therefore of
/// URLs.
std::string CheckedNodeName(const std::string& name) {
  const bool valid = std::ranges::all_of(name, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
  if (!valid) throw SettingsError("node must consist of letters, digits, '-', '_' and '.'");
  return name;
}

std::vector<std::string> ReadSeeds(const Json& list, const std::string& path) {
  if (!list.is_array()) throw SettingsError(path + " must be a list");
  std::vector<std::string> seeds;
  for (const Json& seed : list) {
    const std::string item_path = path + "[" + std::to_string(seeds.size()) + "]";
    seeds.push_back(CheckedAddress(ObjectReader::AsText(seed, item_path), item_path));
  }
  return seeds;
}

PlatformSettings ReadPlatform(const Json& json, const std::string& path) {
  ObjectReader reader(json, path);
  PlatformSettings platform{.adapter = reader.Text("adapter")};
  platform.address = CheckedAddress(reader.Text("address"), reader.Path("address"));
  reader.RejectUnknownKeys();
  return platform;
}

LimitSettings ReadLimits(const Json& json, const std::string& path) {
  ObjectReader reader(json, path);
  LimitSettings limits;
  reader.Optional("max_inflight", limits.max_inflight, 1, 1'000'000);
  reader.Optional("max_connections", limits.max_connections, 1, 100'000);
  // The upper limit keeps a request small enough for one frame between nodes (kMaxFrameBytes).
  reader.Optional("max_body_kb", limits.max_body_kb, 1, 15'360);
  reader.Optional("max_buffered_mb", limits.max_buffered_mb, 1, 4'096);
  reader.Optional("answer_cache_mb", limits.answer_cache_mb, 1, 4'096);
  reader.Optional("max_deadline_ms", limits.max_deadline_ms, 1, 86'400'000);
  reader.RejectUnknownKeys();
  return limits;
}

LogOptions ReadLog(const Json& json, const std::string& path) {
  ObjectReader reader(json, path);
  constexpr EnumNames<3> kLevels = {"info", "warning", "error"};
  LogOptions log;
  if (reader.Find("level") != nullptr) {
    const auto level = ValueOf<Severity>(kLevels, reader.Text("level"));
    if (!level) throw SettingsError(reader.Path("level") + " must be info, warning or error");
    log.level = *level;
  }
  reader.Optional("folder", log.folder);
  reader.RejectUnknownKeys();
  return log;
}

Settings ReadObject(const Json& json) {
  ObjectReader reader(json, "");
  Settings settings;
  settings.node = CheckedNodeName(reader.Text("node"));
  settings.region = reader.Text("region");
  settings.zone = reader.Text("zone");
  settings.peer_address = CheckedAddress(reader.Text("peer_address"), "peer_address");
  settings.http_address = CheckedAddress(reader.Text("http_address"), "http_address");
  settings.seeds = ReadSeeds(reader.Require("seeds"), "seeds");
  if (reader.Find("data_folder") != nullptr) settings.data_folder = reader.Text("data_folder");
  if (const Json* platform = reader.Find("platform")) {
    settings.platform = ReadPlatform(*platform, "platform");
  }
  reader.Optional("voter_target", settings.voter_target, 3, 5);
  if (settings.voter_target == 4) throw SettingsError("voter_target must be 3 or 5");
  if (const Json* limits = reader.Find("limits")) settings.limits = ReadLimits(*limits, "limits");
  if (const Json* log = reader.Find("log")) settings.log = ReadLog(*log, "log");
  reader.RejectUnknownKeys();
  return settings;
}

}  // namespace

Settings ParseSettings(const std::string& text) {
  return ReadObject(detail::ParseCommentedJson(text));
}

Settings ReadSettings(const std::string& file) {
  return ParseSettings(detail::ReadSettingsText(file));
}

}  // namespace godwitpaddle

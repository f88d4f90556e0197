#include "runtime/settings.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "runtime/address.h"

namespace godwitpaddle {
namespace {

using Json = nlohmann::json;

/// Reads the keys of one object and remembers which are known.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object.is_object()) throw SettingsError(Name() + " must be an object");
  }

  std::string Path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  const Json* Find(const std::string& key) {
    known_.insert(key);
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
  }

  const Json& Need(const std::string& key) {
    const Json* value = Find(key);
    if (value == nullptr) throw SettingsError(Path(key) + " is missing");
    return *value;
  }

  std::string Text(const std::string& key) { return AsText(Need(key), Path(key)); }

  void Optional(const std::string& key, std::string& value) {
    if (const Json* found = Find(key)) value = AsText(*found, Path(key));
  }

  void Optional(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high) {
    const Json* found = Find(key);
    if (found == nullptr) return;
    if (!found->is_number_integer()) throw SettingsError(Path(key) + " must be an integer");
    value = found->get<std::int64_t>();
    if (value < low || value > high) {
      throw SettingsError(Path(key) + " must be between " + std::to_string(low) + " and " +
                          std::to_string(high));
    }
  }

  /// Throws for the first key that was not asked for.
  void Finish() const {
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) throw SettingsError(Path(key) + " is not a known key");
    }
  }

  static std::string AsText(const Json& value, const std::string& path) {
    if (!value.is_string()) throw SettingsError(path + " must be a string");
    auto text = value.get<std::string>();
    if (text.empty()) throw SettingsError(path + " must not be empty");
    return text;
  }

 private:
  std::string Name() const { return path_.empty() ? "the file" : path_; }

  const Json& object_;
  const std::string path_;
  std::set<std::string> known_;
};

std::string Address(const std::string& text, const std::string& path) {
  try {
    ParseAddress(text);
    return text;
  } catch (const std::invalid_argument& error) {
    throw SettingsError(path + ": " + error.what());
  }
}

/// A parser callback that refuses repeated keys, of which the parser would keep the last.
Json::parser_callback_t RefuseRepeats() {
  return [open = std::vector<std::set<std::string>>()](int /*depth*/, Json::parse_event_t event,
                                                       Json& parsed) mutable {
    if (event == Json::parse_event_t::object_start) {
      open.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      open.pop_back();
    } else if (event == Json::parse_event_t::key) {
      if (!open.back().insert(parsed.get<std::string>()).second) {
        throw SettingsError(parsed.get<std::string>() + " is given twice");
      }
    }
    return true;
  };
}

/// Node names are part of task ids and so of URLs.
std::string NodeName(const std::string& name) {
  const bool good = std::ranges::all_of(name, [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
  if (!good) throw SettingsError("node must consist of letters, digits, '-', '_' and '.'");
  return name;
}

std::vector<std::string> ReadSeeds(const Json& list, const std::string& path) {
  if (!list.is_array()) throw SettingsError(path + " must be a list");
  std::vector<std::string> seeds;
  for (const Json& seed : list) {
    const std::string place = path + "[" + std::to_string(seeds.size()) + "]";
    seeds.push_back(Address(ObjectReader::AsText(seed, place), place));
  }
  return seeds;
}

PlatformSettings ReadPlatform(const Json& json, const std::string& path) {
  ObjectReader reader(json, path);
  PlatformSettings platform{.adapter = reader.Text("adapter")};
  platform.address = Address(reader.Text("address"), reader.Path("address"));
  reader.Finish();
  return platform;
}

LimitSettings ReadLimits(const Json& json, const std::string& path) {
  ObjectReader reader(json, path);
  LimitSettings limits;
  reader.Optional("max_inflight", limits.max_inflight, 1, 1'000'000);
  reader.Optional("max_connections", limits.max_connections, 1, 100'000);
  // A request must fit into one frame between nodes.
  reader.Optional("max_body_kb", limits.max_body_kb, 1, 15'360);
  reader.Optional("max_buffered_mb", limits.max_buffered_mb, 1, 4'096);
  reader.Optional("answer_cache_mb", limits.answer_cache_mb, 1, 4'096);
  reader.Optional("max_deadline_ms", limits.max_deadline_ms, 1, 86'400'000);
  reader.Finish();
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
  reader.Finish();
  return log;
}

Settings ReadObject(const Json& json) {
  ObjectReader reader(json, "");
  Settings settings;
  settings.node = NodeName(reader.Text("node"));
  settings.region = reader.Text("region");
  settings.zone = reader.Text("zone");
  settings.peer_address = Address(reader.Text("peer_address"), "peer_address");
  settings.http_address = Address(reader.Text("http_address"), "http_address");
  settings.seeds = ReadSeeds(reader.Need("seeds"), "seeds");
  if (reader.Find("data_folder") != nullptr) settings.data_folder = reader.Text("data_folder");
  if (const Json* platform = reader.Find("platform")) {
    settings.platform = ReadPlatform(*platform, "platform");
  }
  reader.Optional("voter_target", settings.voter_target, 3, 5);
  if (settings.voter_target == 4) throw SettingsError("voter_target must be 3 or 5");
  if (const Json* limits = reader.Find("limits")) settings.limits = ReadLimits(*limits, "limits");
  if (const Json* log = reader.Find("log")) settings.log = ReadLog(*log, "log");
  reader.Finish();
  return settings;
}

}  // namespace

Settings ParseSettings(const std::string& text) {
  Json json;
  try {
    json = Json::parse(text, RefuseRepeats(), true, true);
  } catch (const Json::exception& error) {
    throw SettingsError(std::string("not JSON: ") + error.what());
  }
  return ReadObject(json);
}

Settings ReadSettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) throw SettingsError("cannot read " + file);
  return ParseSettings(text.str());
}

}  // namespace godwitpaddle

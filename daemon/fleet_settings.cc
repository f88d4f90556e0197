#include "daemon/fleet_settings.h"

#include "runtime/object_reader.h"

namespace godwitpaddle {
namespace {

using detail::Json;
using detail::ObjectReader;

constexpr std::int64_t kHour = 3'600'000;  // milliseconds
constexpr std::int64_t kLastPort = 65'535;

void OptionalSeconds(ObjectReader& reader, const std::string& key, double& value) {
  const Json* found = reader.Find(key);
  if (found == nullptr) return;
  if (!found->is_number() || found->get<double>() < 0) {
    throw SettingsError(reader.Path(key) + " must be a number of seconds, 0 or more");
  }
  value = found->get<double>();
}

void OptionalRate(ObjectReader& reader, const std::string& key, double& value) {
  const Json* found = reader.Find(key);
  if (found == nullptr) return;
  if (!found->is_number() || found->get<double>() < 0) {
    throw SettingsError(reader.Path(key) + " must be a number a second, 0 or more");
  }
  value = found->get<double>();
}

void OptionalFactor(ObjectReader& reader, const std::string& key, double& value) {
  const Json* found = reader.Find(key);
  if (found == nullptr) return;
  if (!found->is_number() || found->get<double>() < 1) {
    throw SettingsError(reader.Path(key) + " must be a number, 1 or more");
  }
  value = found->get<double>();
}

FleetTiming ReadTiming(const Json& json) {
  ObjectReader reader(json, "timing");
  FleetTiming timing;
  reader.Optional("heartbeat_ms", timing.heartbeat_ms, 1, kHour);
  reader.Optional("longest_lease_ms", timing.longest_lease_ms, 1, kHour);
  reader.Optional("stop_ms", timing.stop_ms, 0, kHour);
  reader.Optional("holder_lease_ms", timing.holder_lease_ms, 0, kHour);
  reader.Optional("keep_ended_s", timing.keep_ended_s, 1, kHour);
  OptionalSeconds(reader, "maintenance_s", timing.maintenance_s);
  OptionalSeconds(reader, "move_s", timing.move_s);
  OptionalFactor(reader, "far_factor", timing.far_factor);
  reader.RejectUnknownKeys();
  return timing;
}

std::int64_t ReadFirstPort(const Json& ports) {
  const bool is_range = ports.is_array() && ports.size() == 2 && ports[0].is_number_integer() &&
                        ports[1].is_number_integer();
  if (!is_range) throw SettingsError("ports must be [first, last], the range of free ports");
  const auto first = ports[0].get<std::int64_t>();
  if (first < 1 || ports[1].get<std::int64_t>() <= first || first >= kLastPort) {
    throw SettingsError("ports must be a range of at least two valid ports");
  }
  return first;
}

std::string OptionalAddress(ObjectReader& reader, const std::string& key) {
  std::string text;
  reader.Optional(key, text);
  return text.empty() ? text : detail::CheckedAddress(text, reader.Path(key));
}

FleetSettings ReadFleet(const Json& json) {
  ObjectReader reader(json, "");
  FleetSettings settings;
  settings.node = reader.Text("node");
  const auto role = ValueOf<FleetRole>(kFleetRoleNames, reader.Text("role"));
  if (!role) throw SettingsError("role must be \"edge\" or \"core\"");
  settings.role = *role;
  settings.zone = reader.Text("zone");
  if (const Json* zones = reader.Find("zones")) {
    if (!zones->is_array()) throw SettingsError("zones must be a list of names");
    for (const Json& zone : *zones) settings.zones.push_back(ObjectReader::AsText(zone, "zones"));
  }
  settings.ip = reader.Text("ip");
  settings.first_port = ReadFirstPort(reader.Require("ports"));
  const Json& seeds = reader.Require("seeds");
  if (!seeds.is_array()) throw SettingsError("seeds must be a list of addresses");
  for (const Json& seed : seeds) {
    settings.seeds.push_back(detail::CheckedAddress(ObjectReader::AsText(seed, "seeds"), "seeds"));
  }
  if (const Json* forms = reader.Find("forms_group")) {
    if (!forms->is_boolean()) throw SettingsError("forms_group must be true or false");
    settings.forms_group = forms->get<bool>();
  }
  reader.Optional("data_folder", settings.data_folder);
  settings.client_address = OptionalAddress(reader, "client_address");
  settings.readiness_address = OptionalAddress(reader, "readiness_address");
  settings.control_address = OptionalAddress(reader, "control_address");
  settings.platform_address = OptionalAddress(reader, "platform_address");
  OptionalRate(reader, "vm_orders_per_s", settings.vm_orders_per_s);
  if (const Json* timing = reader.Find("timing")) settings.timing = ReadTiming(*timing);
  reader.RejectUnknownKeys();
  if (settings.role == FleetRole::kCore && settings.data_folder.empty()) {
    throw SettingsError("data_folder is required for a core node");
  }
  if (settings.role == FleetRole::kEdge && settings.client_address.empty()) {
    throw SettingsError("client_address is required for an edge node");
  }
  return settings;
}

}  // namespace

std::vector<std::string> FleetSettings::peer_seeds() const {
  std::vector<std::string> peers;
  for (const std::string& seed : seeds) {
    peers.push_back(seed.substr(0, seed.rfind(':') + 1) + std::to_string(first_port));
  }
  return peers;
}

FleetSettings ParseFleetSettings(const std::string& text) {
  return ReadFleet(detail::ParseCommentedJson(text));
}

FleetSettings ReadFleetSettings(const std::string& file) {
  return ParseFleetSettings(detail::ReadSettingsText(file));
}

}  // namespace godwitpaddle

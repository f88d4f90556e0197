#ifndef GODWITPADDLE_RUNTIME_SETTINGS_H_
#define GODWITPADDLE_RUNTIME_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "decision/fleet_state.h"
#include "runtime/log.h"

namespace godwitpaddle {

/// Settings that cannot be used. The message names the path of the value, such as
/// "limits.max_body_kb".
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct PlatformSettings {
  std::string adapter;  // name of a plug-in; empty: no platform
  std::string address;
};

struct LimitSettings {
  std::int64_t max_inflight = 10'000;    // callers' requests held by this node
  std::int64_t max_connections = 4'096;  // HTTP connections
  std::int64_t max_body_kb = 4'096;      // of one request
  std::int64_t max_buffered_mb = 32;     // request bodies being read or held
  std::int64_t answer_cache_mb = 32;
  std::int64_t max_deadline_ms = 600'000;
};

/// The settings file of one daemon.
struct Settings {
  NodeId node;
  std::string region;
  std::string zone;
  std::string peer_address;  // "IP:port" where other nodes reach it
  std::string http_address;
  std::vector<std::string> seeds;  // peer addresses of other nodes
  std::optional<std::string> data_folder;
  PlatformSettings platform;
  std::int64_t voter_target = 3;
  LimitSettings limits;
  LogOptions log;
};

/// Parses JSON with comments. Unknown, repeated and missing keys, wrong types and values out of
/// range throw SettingsError.
Settings ParseSettings(const std::string& text);

/// Reads a settings file. Throws SettingsError.
Settings ReadSettings(const std::string& file);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_SETTINGS_H_

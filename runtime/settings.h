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

/// Thrown for invalid settings. The message contains the path of the value, such as
/// "limits.max_body_kb".
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct PlatformSettings {
  std::string adapter;  // name of the plug-in; empty: no platform
  std::string address;  // "IP:port" of the platform
};

struct LimitSettings {
  std::int64_t max_inflight = 10'000;    // client requests in progress on this node
  std::int64_t max_connections = 4'096;  // HTTP connections of clients
  std::int64_t max_body_kb = 4'096;      // per request
  std::int64_t max_buffered_mb = 32;     // all request bodies in memory
  std::int64_t answer_cache_mb = 32;
  std::int64_t max_deadline_ms = 600'000;
};

/// Contents of the settings file of one daemon.
struct Settings {
  NodeId node;
  std::string region;
  std::string zone;
  std::string peer_address;                // "IP:port" at which other nodes reach this one
  std::string http_address;                // "IP:port" of the HTTP server
  std::vector<std::string> seeds;          // peer addresses of other nodes
  std::optional<std::string> data_folder;  // nothing: the node stores no data on disk
  PlatformSettings platform;
  std::int64_t voter_target = 3;  // desired number of voters, 3 or 5
  LimitSettings limits;
  LogOptions log;
};

/// Parses JSON with comments. Throws SettingsError for unknown, repeated or missing keys, wrong
/// types and values out of range.
Settings ParseSettings(const std::string& text);

/// Reads and parses a settings file. Throws SettingsError.
Settings ReadSettings(const std::string& file);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_SETTINGS_H_

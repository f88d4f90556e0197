#ifndef GODWITPADDLE_DAEMON_FLEET_SETTINGS_H_
#define GODWITPADDLE_DAEMON_FLEET_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "runtime/settings.h"

namespace godwitpaddle {

enum class FleetRole : std::uint8_t { kEdge, kCore };
inline constexpr EnumNames<2> kFleetRoleNames = {"edge", "core"};

/// Times that the platform sets.
struct FleetTiming {
  std::int64_t heartbeat_ms = 1'500;       // period of the workers' reports
  std::int64_t longest_lease_ms = 10'000;  // workers shorten longer ones
  std::int64_t stop_ms = 1'000;            // a stopped task is gone after this
  std::int64_t holder_lease_ms = 3'000;    // a new holder of VMs waits this long
  std::int64_t keep_ended_s = 120;         // ended jobs can be asked for this long
  double maintenance_s = 2;                // how long a maintained VM is away
  double move_s = 1.5;                     // how long a moved VM is away
};

/// The settings file of one node of job control.
struct FleetSettings {
  std::string node;
  FleetRole role = FleetRole::kEdge;
  std::string zone;
  std::string ip;
  std::int64_t first_port = 0;     // of those free for traffic between nodes
  std::vector<std::string> seeds;  // addresses of core nodes; the port is not used
  bool forms_group = false;        // the whole system starts for the first time
  std::string data_folder;         // of a core node
  std::string client_address;
  std::string readiness_address;
  std::string control_address;
  std::string platform_address;  // of the VM service; may be empty
  FleetTiming timing;

  std::string peer_address() const { return ip + ":" + std::to_string(first_port); }
  std::string metrics_address() const { return ip + ":" + std::to_string(first_port + 1); }
  /// Where the seeds take frames of other nodes.
  std::vector<std::string> peer_seeds() const;
};

/// Throws SettingsError.
FleetSettings ParseFleetSettings(const std::string& text);
FleetSettings ReadFleetSettings(const std::string& file);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_FLEET_SETTINGS_H_

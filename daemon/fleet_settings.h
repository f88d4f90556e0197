#ifndef GODWITPADDLE_DAEMON_FLEET_SETTINGS_H_
#define GODWITPADDLE_DAEMON_FLEET_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "runtime/settings.h"

namespace godwitpaddle {

enum class FleetRole : std::uint8_t { kEdge, kCore };
inline constexpr EnumNames<2> kFleetRoleNames = {"edge", "core"};

/// Periods and timeouts that the platform prescribes.
struct FleetTiming {
  std::int64_t heartbeat_ms = 1'500;       // period of the workers' heartbeats
  std::int64_t longest_lease_ms = 10'000;  // workers shorten leases that are longer
  std::int64_t stop_ms = 1'000;            // bound on the time to stop a task
  std::int64_t holder_lease_ms = 3'000;    // wait before a new leader may order VMs
  std::int64_t keep_ended_s = 120;         // ended jobs can be queried for this long
  double maintenance_s = 2;                // downtime of a VM in maintenance
  double move_s = 1.5;                     // downtime of a VM that moves to another pool
  /// Run time of a task on another rack than its data or its group, as a multiple of that near
  /// them; 1: tasks do not wait for a place near.
  double far_factor = 1;
};

/// Settings of one node of job control, as read from its settings file.
struct FleetSettings {
  std::string node;
  FleetRole role = FleetRole::kEdge;
  std::string zone;
  std::vector<std::string> zones;  // the availability zones of the deployment; empty: not told
  std::string ip;
  std::int64_t first_port = 0;     // peers connect to this port; the next port serves metrics
  std::vector<std::string> seeds;  // addresses of core nodes; their ports are ignored
  bool forms_group = false;        // first start: seeds with empty data folders form the group
  std::string data_folder;         // required for a core node
  std::string client_address;      // calls of clients; required for an edge node
  std::string readiness_address;   // readiness checks; empty: no such server
  std::string control_address;     // calls of workers and operators to a core node
  std::string platform_address;    // VM service of the platform; empty: no orders are sent
  double vm_orders_per_s = 0;      // orders that the VM service accepts; 0: any number
  FleetTiming timing;

  std::string peer_address() const { return ip + ":" + std::to_string(first_port); }
  std::string metrics_address() const { return ip + ":" + std::to_string(first_port + 1); }
  /// Addresses at which the seeds accept peer connections: their hosts with `first_port`.
  std::vector<std::string> peer_seeds() const;
};

/// Parses the text of a settings file. Throws SettingsError if it is invalid.
FleetSettings ParseFleetSettings(const std::string& text);
/// Reads and parses a settings file. Throws SettingsError if it cannot be read or is invalid.
FleetSettings ReadFleetSettings(const std::string& file);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_FLEET_SETTINGS_H_

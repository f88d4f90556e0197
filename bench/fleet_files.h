#ifndef GODWITPADDLE_BENCH_FLEET_FILES_H_
#define GODWITPADDLE_BENCH_FLEET_FILES_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "decision/commands.h"

namespace godwitpaddle {

/// Size and settings of a generated fleet.
struct FleetSizes {
  int vms = 2'000;
  int pools = 163;
  int teams = 430;
  int zones = 18;
  int regions = 5;
  int vms_per_rack = 4;
  int hold_down_s = 30;
  double min_available = 0.75;  // fraction of each pool's VMs
  int spare_pools = 1;          // number of spare pools: those with the highest numbers
};

/// Returns the fleet's configuration files by name: VMs are spread evenly over pools and
/// availability zones, and each pool has one queue and one wave.
inline std::map<std::string, std::string> FleetFiles(const FleetSizes& sizes) {
  nlohmann::json pools;
  nlohmann::json vms;
  nlohmann::json teams;
  for (int i = 0; i < sizes.pools; ++i) {
    const std::string name = "p" + std::to_string(i);
    const int size = sizes.vms / sizes.pools + (i < sizes.vms % sizes.pools ? 1 : 0);
    pools["pools"][name] = {{"service", "s"},
                            {"min_available", static_cast<int>(size * sizes.min_available)},
                            {"hold_down_s", sizes.hold_down_s},
                            {"spare", i >= sizes.pools - sizes.spare_pools}};
    pools["queues"][name] = {{"pool", name}};
    pools["waves"][name] = {{"pools", nlohmann::json::array({name})}};
  }
  for (int i = 0; i < sizes.vms; ++i) {
    const int position = i / sizes.pools;  // index of the VM within its pool
    const int zone = (i % sizes.pools + position / sizes.vms_per_rack) % sizes.zones;
    vms["vms"]["v" + std::to_string(i)] = {
        {"pool", "p" + std::to_string(i % sizes.pools)},
        {"region", "r" + std::to_string(zone % sizes.regions)},
        {"zone", "z" + std::to_string(zone)},
        {"rack", "z" + std::to_string(zone) + "-" + std::to_string(i % sizes.pools)},
        {"cores", 8},
        {"memory_mb", 16'384}};
  }
  for (int i = 0; i < sizes.teams; ++i) {
    teams["teams"]["t" + std::to_string(i)] = {{"share", 1}, {"limit", 60}};
  }
  return {{"10-pools.json", pools.dump()},
          {"20-vms.json", vms.dump()},
          {"30-teams.json", teams.dump()}};
}

/// Returns a fleet state in which the files have been submitted and approved.
inline FleetState MakeFleetState(const std::map<std::string, std::string>& files) {
  FleetState state;
  SubmitConfig submit{.change_id = "c", .author = "op"};
  DecideReview approve{.change_id = "a", .author = "customer", .approve = true};
  for (const auto& [name, text] : files) {
    submit.files[name] = text;
    approve.files.push_back(name);
  }
  Apply(state, 1, {.wall = 1, .body = submit});
  Apply(state, 2, {.wall = 1, .body = approve});
  return state;
}

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BENCH_FLEET_FILES_H_

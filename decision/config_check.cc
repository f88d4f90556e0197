#include "decision/config_check.h"

#include <map>
#include <string>

namespace godwitpaddle::detail {
namespace {

class Checker {
 public:
  Checker(const FleetConfig& config, std::vector<ConfigError>& errors)
      : config_(config), errors_(errors) {}

  void CheckPools() {
    std::map<PoolId, int> vms;
    for (const auto& [id, vm] : config_.vms) ++vms[vm.pool];
    for (const auto& [id, pool] : config_.pools) {
      const std::string path = "/pools/" + id;
      if (pool.service.empty()) AddError(path, "needs a service");
      if (vms[id] < pool.min_available) {
        AddError(path + "/min_available", "is " + std::to_string(pool.min_available) +
                                              ", but the pool has " + std::to_string(vms[id]) +
                                              " VMs");
      }
    }
  }

  void CheckVms() {
    for (const auto& [id, vm] : config_.vms) {
      const std::string path = "/vms/" + id;
      RequirePool(path + "/pool", vm.pool);
      if (vm.zone.empty()) AddError(path, "needs a zone");
    }
  }

  void CheckQueues() {
    for (const auto& [id, queue] : config_.queues) {
      const std::string path = "/queues/" + id;
      RequirePool(path + "/pool", queue.pool);
      if (queue.open && queue.team.empty()) AddError(path, "is open and needs a team to count for");
      if (queue.open && !queue.teams.empty()) {
        AddError(path + "/teams", "has no effect on an open queue");
      }
      if (!queue.team.empty()) RequireTeam(path + "/team", queue.team);
      for (const TeamId& team : queue.teams) RequireTeam(path + "/teams", team);
    }
  }

  void CheckTeams() {
    for (const auto& [id, team] : config_.teams) {
      if (!(team.share > 0)) AddError("/teams/" + id + "/share", "must be more than 0");
    }
  }

  void CheckWaves() {
    for (const auto& [id, wave] : config_.waves) {
      const std::string path = "/waves/" + id + "/pools";
      if (wave.pools.empty()) AddError(path, "must name at least one pool");
      for (const PoolId& pool : wave.pools) RequirePool(path, pool);
    }
  }

 private:
  void RequirePool(const std::string& path, const PoolId& pool) {
    if (config_.pools.count(pool) == 0) AddError(path, "there is no pool \"" + pool + "\"");
  }
  void RequireTeam(const std::string& path, const TeamId& team) {
    if (config_.teams.count(team) == 0) AddError(path, "there is no team \"" + team + "\"");
  }
  void AddError(const std::string& path, const std::string& reason) {
    errors_.push_back({.path = path, .reason = reason});
  }

  const FleetConfig& config_;
  std::vector<ConfigError>& errors_;
};

}  // namespace

void CheckConfig(const FleetConfig& config, std::vector<ConfigError>& errors) {
  Checker checker(config, errors);
  checker.CheckPools();
  checker.CheckVms();
  checker.CheckQueues();
  checker.CheckTeams();
  checker.CheckWaves();
}

}  // namespace godwitpaddle::detail

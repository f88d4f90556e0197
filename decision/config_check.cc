#include "decision/config_check.h"

#include <map>
#include <string>

namespace godwitpaddle::detail {
namespace {

class Checker {
 public:
  Checker(const FleetConfig& config, std::vector<ConfigError>& errors)
      : config_(config), errors_(errors) {}

  void Pools() {
    std::map<PoolId, int> vms;
    for (const auto& [id, vm] : config_.vms) ++vms[vm.pool];
    for (const auto& [id, pool] : config_.pools) {
      const std::string path = "/pools/" + id;
      if (pool.service.empty()) Add(path, "needs a service");
      if (vms[id] < pool.min_available) {
        Add(path + "/min_available", "is " + std::to_string(pool.min_available) +
                                         ", but the pool has " + std::to_string(vms[id]) + " VMs");
      }
    }
  }

  void Vms() {
    for (const auto& [id, vm] : config_.vms) {
      const std::string path = "/vms/" + id;
      Pool(path + "/pool", vm.pool);
      if (vm.zone.empty()) Add(path, "needs a zone");
    }
  }

  void Queues() {
    for (const auto& [id, queue] : config_.queues) {
      const std::string path = "/queues/" + id;
      Pool(path + "/pool", queue.pool);
      if (queue.open && queue.team.empty()) Add(path, "is open and needs a team to count for");
      if (queue.open && !queue.teams.empty()) {
        Add(path + "/teams", "has no effect on an open queue");
      }
      if (!queue.team.empty()) Team(path + "/team", queue.team);
      for (const TeamId& team : queue.teams) Team(path + "/teams", team);
    }
  }

  void Teams() {
    for (const auto& [id, team] : config_.teams) {
      if (!(team.share > 0)) Add("/teams/" + id + "/share", "must be more than 0");
    }
  }

  void Waves() {
    for (const auto& [id, wave] : config_.waves) {
      const std::string path = "/waves/" + id + "/pools";
      if (wave.pools.empty()) Add(path, "must name at least one pool");
      for (const PoolId& pool : wave.pools) Pool(path, pool);
    }
  }

 private:
  void Pool(const std::string& path, const PoolId& pool) {
    if (config_.pools.count(pool) == 0) Add(path, "there is no pool \"" + pool + "\"");
  }
  void Team(const std::string& path, const TeamId& team) {
    if (config_.teams.count(team) == 0) Add(path, "there is no team \"" + team + "\"");
  }
  void Add(const std::string& path, const std::string& reason) {
    errors_.push_back({.path = path, .reason = reason});
  }

  const FleetConfig& config_;
  std::vector<ConfigError>& errors_;
};

}  // namespace

void CheckConfig(const FleetConfig& config, std::vector<ConfigError>& errors) {
  Checker checker(config, errors);
  checker.Pools();
  checker.Vms();
  checker.Queues();
  checker.Teams();
  checker.Waves();
}

}  // namespace godwitpaddle::detail

#include <algorithm>
#include <nlohmann/json.hpp>

#include "node/admin.h"

namespace godwitpaddle {
namespace {

using Json = nlohmann::json;

Json PoolJson(const FleetState& state, const FleetView& view, const PoolId& id,
              const PoolConfig& config) {
  const auto count = [&state, &id](auto&& wanted) {
    return std::count_if(state.vms.begin(), state.vms.end(), [&](const auto& entry) {
      return entry.second.pool == id && wanted(entry.second);
    });
  };
  Json pool = {
      {"service", config.service},
      {"spare", config.spare},
      {"min_available", config.min_available},
      {"vms", count([](const VmRecord&) { return true; })},
      {"available", AvailableVms(state, id)},
      {"lost", count([](const VmRecord& vm) { return !vm.healthy; })},
      {"in_operation", count([](const VmRecord& vm) { return vm.operation.has_value(); })}};
  if (const auto owner = state.owners.find(id); owner != state.owners.end()) {
    pool["owner"] = owner->second.owner;
    pool["epoch"] = owner->second.epoch;
  }
  if (const auto use = view.pools.find(id); use != view.pools.end()) {
    pool["queued"] = use->second.queued;
    pool["running"] = use->second.running;
    pool["ready_slots"] = use->second.ready_slots;
    pool["arrivals_per_s"] = use->second.arrivals_per_s;
    pool["mean_run_s"] = use->second.mean_run_s;
  }
  return pool;
}

Json TeamsJson(const FleetState& state, const FleetView& view) {
  Json teams = Json::object();
  for (const auto& [id, config] : state.config.teams) {
    int running = 0;
    int wanted = 0;
    for (const auto& [incarnation, node] : view.nodes) {
      const auto use = node.teams.find(id);
      if (use == node.teams.end()) continue;
      running += use->second.running;
      wanted += use->second.wanted;
    }
    int granted = 0;
    if (const auto allotments = state.allotments.find(id); allotments != state.allotments.end()) {
      for (const auto& [incarnation, allotment] : allotments->second) granted += allotment.granted;
    }
    teams[id] = {{"share", config.share},
                 {"limit", config.limit},
                 {"running", running},
                 {"wanted", wanted},
                 {"granted", granted}};
  }
  return teams;
}

Json WaveStatusJson(const FleetState& state) {
  Json waves = Json::object();
  for (const auto& [id, wave] : state.waves) {
    waves[id] = {{"state", NameOf(kWaveStateNames, wave.state)},
                 {"reason", wave.reason},
                 {"run", wave.run_number},
                 {"remaining", wave.remaining.size()},
                 {"done", wave.done.size()},
                 {"failed", wave.failed},
                 {"started", wave.started},
                 {"ended", wave.ended}};
  }
  return waves;
}

// VMs that are lost or have an operation.
Json VmsJson(const FleetState& state) {
  Json vms = Json::object();
  for (const auto& [id, vm] : state.vms) {
    if (vm.healthy && !vm.operation) continue;
    Json entry = {{"pool", vm.pool}, {"zone", vm.zone}, {"healthy", vm.healthy}};
    if (vm.operation) {
      entry["operation"] = {{"id", vm.operation->id},
                            {"kind", NameOf(kVmOperationKindNames, vm.operation->kind)},
                            {"phase", NameOf(kVmPhaseNames, vm.operation->phase)},
                            {"phase_since", vm.operation->phase_since},
                            {"wave", vm.operation->wave},
                            {"target", vm.operation->target},
                            {"error", vm.operation->error}};
    }
    vms[id] = std::move(entry);
  }
  return vms;
}

Json NodesJson(const FleetState& state, const FleetView& view, Micros now) {
  Json nodes = Json::object();
  for (const auto& [incarnation, record] : state.nodes) {
    Json node = {{"node", record.node},
                 {"region", record.region},
                 {"zone", record.zone},
                 {"address", record.peer_address},
                 {"lapsed", record.lease_expired}};
    if (const auto node_view = view.nodes.find(incarnation); node_view != view.nodes.end()) {
      node["applied_index"] = node_view->second.applied_index;
      node["draining"] = node_view->second.draining;
      node["granted_ms_ago"] = (now - node_view->second.last_granted) / kMillisecond;
    }
    nodes[incarnation] = std::move(node);
  }
  return nodes;
}

Json ReplicasJson(const replication::Replica& replica) {
  Json replicas = Json::object();
  for (const auto& [id, member] : replica.membership()) {
    replicas[id] = {{"node", member.node},
                    {"zone", member.zone},
                    {"address", member.address},
                    {"role", member.role == replication::Role::kVoter ? "voter" : "learner"},
                    {"has_disk", member.has_disk},
                    {"leader", replica.leader() == id}};
  }
  return replicas;
}

Json BurnJson(const std::vector<BurnRate>& burn) {
  Json lines = Json::array();
  for (const BurnRate& line : burn) {
    lines.push_back({{"queue", line.queue},
                     {"window_s", line.window / kSecond},
                     {"in_time", line.counts.in_time},
                     {"late", line.counts.late},
                     {"refused", line.counts.refused},
                     {"failed", line.counts.failed},
                     {"objective", line.objective},
                     {"burn", line.rate}});
  }
  return lines;
}

}  // namespace

std::string StatusJson(const FleetState& state, const FleetView& view,
                       const replication::Replica& replica, const std::vector<BurnRate>& burn,
                       Micros now) {
  Json pools = Json::object();
  for (const auto& [id, config] : state.config.pools) {
    pools[id] = PoolJson(state, view, id, config);
  }
  const Json status = {{"fleet", state.config.fleet.name},
                       {"leader", view.leader_node},
                       {"term", replica.term()},
                       {"commit_index", replica.commit_index()},
                       {"applied_index", state.applied_index},
                       {"revision", state.revision},
                       {"in_force", state.in_force_version},
                       {"in_force_index", state.in_force_index},
                       {"pending_files", state.pending.size()},
                       {"claims", state.claims.size()},
                       {"pools", pools},
                       {"teams", TeamsJson(state, view)},
                       {"waves", WaveStatusJson(state)},
                       {"vms", VmsJson(state)},
                       {"nodes", NodesJson(state, view, now)},
                       {"replicas", ReplicasJson(replica)},
                       {"burn", BurnJson(burn)}};
  return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace godwitpaddle

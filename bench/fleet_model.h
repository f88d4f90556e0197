#ifndef GODWITPADDLE_BENCH_FLEET_MODEL_H_
#define GODWITPADDLE_BENCH_FLEET_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "bench/fleet_files.h"
#include "decision/commands.h"
#include "decision/planners.h"

namespace godwitpaddle {

/// A fleet for policy scenarios: the name and number of VMs of each pool. Each rack holds up to
/// four VMs of one pool; the racks are assigned to the availability zones in rotation.
struct Deployment {
  std::string name;
  std::vector<std::pair<std::string, int>> pools;
  std::string spare;  // pool that lends its VMs to other pools
  int zones = 4;
  PolicyWeights weights;
};

inline Deployment FederationDeployment() {
  return {.name = "federation",
          .pools = {{"quoting", 12},
                    {"dyeing-batch", 10},
                    {"stock-ledger", 9},
                    {"export-permit", 8},
                    {"notice", 11}},
          .spare = "notice",
          .weights = {.share = 2, .rollout = 2, .buffer = 1, .moves = 1}};
}

inline Deployment QureshiDeployment() {
  return {.name = "qureshi",
          .pools = {{"book-linen", 10},
                    {"plan-laundering", 8},
                    {"track-returns", 9},
                    {"bill-clients", 8},
                    {"dispatch-vans", 12}},
          .spare = "dispatch-vans",
          .weights = {.share = 1, .rollout = 1, .buffer = 2, .moves = 2}};
}

/// The target fleet: 163 pools and 2,000 VMs in 18 availability zones.
inline Deployment TargetDeployment() {
  Deployment target{.name = "target", .spare = "p162", .zones = 18};
  for (int i = 0; i < 163; ++i) {
    target.pools.emplace_back("p" + std::to_string(i), i < 2'000 % 163 ? 13 : 12);
  }
  return target;
}

/// Returns the deployment as one configuration file. Up to a quarter of each pool's VMs may be
/// unavailable, and one wave covers all pools.
inline std::string DeploymentFile(const Deployment& deployment, int max_parallel) {
  nlohmann::json file;
  int racks = 0;
  for (const auto& [pool, size] : deployment.pools) {
    file["pools"][pool] = {
        {"service", pool}, {"min_available", size - size / 4}, {"spare", pool == deployment.spare}};
    file["waves"]["all"]["pools"].push_back(pool);
    for (int i = 0; i < size; ++i) {
      if (i % 4 == 0) ++racks;
      file["vms"][pool + "-" + std::to_string(i)] = {
          {"pool", pool},
          {"zone", "z" + std::to_string(racks % deployment.zones)},
          {"rack", "r" + std::to_string(racks)}};
    }
  }
  file["waves"]["all"]["max_parallel"] = max_parallel;
  const PolicyWeights& weights = deployment.weights;
  file["fleet"]["weights"] = {{"share", weights.share},
                              {"rollout", weights.rollout},
                              {"buffer", weights.buffer},
                              {"moves", weights.moves}};
  return file.dump();
}

/// Durations of the phases of an operation on one VM.
struct VmTimes {
  Micros drain = 0;     // until the running tasks have finished
  Micros platform = 0;  // reboot or move by the platform
  Micros start = 0;     // until the backend server sends its first announcement
};

/// Simulates VMs and a platform in virtual time, with the planners in control. The planners see the
/// exact state of the VMs, one step late.
class FleetModel {
 public:
  struct Vm {
    VmTimes times;
    Micros down_until = 0;
    int incarnation = 0;
  };
  struct Faults {
    double operation_failure_rate = 0;
    Micros vm_loss_interval = 0;        // mean time between VM losses in the fleet; 0: none
    Micros leader_change_interval = 0;  // mean time between leader changes; 0: none
  };

  FleetModel(const Deployment& deployment, std::uint64_t seed, int max_parallel = 0,
             Micros step_duration = kSecond / 2)
      : rng(seed), step(step_duration) {
    state = MakeFleetState({{"10-fleet.json", DeploymentFile(deployment, max_parallel)}});
    for (int i = 0; i < 3; ++i) {
      const std::string node = "n" + std::to_string(i);
      Propose(NodeJoined{node + "-0a", {.node = node}});
    }
    int next = 0;
    for (const auto& [pool, config] : state.config.pools) {
      Propose(AssignPool{pool, next++ % 2 == 0 ? "n1-0a" : "n2-0a", 1});
    }
    for (const auto& [id, vm] : state.config.vms) {
      Propose(SetVmHealth{id, true});
      vms[id].times = {
          .drain = Between(1, 20), .platform = Between(50, 70), .start = Between(4, 8)};
    }
    view.leader_node = "n0";
    now = 10 * kSecond;
  }

  ApplyResult Propose(CommandBody body) {
    return Apply(state, state.applied_index + 1, {.wall = wall(), .body = std::move(body)});
  }

  /// Advances the time by one step and executes the wave planner's plan. `plan_more` may add to the
  /// plan before it is executed.
  template <typename PlanMore>
  void Step(PlanMore plan_more) {
    now += step;
    InjectFaults();
    UpdateView();
    Plan plan;
    PlanWaves(state, view, now, wall(), plan);
    plan_more(plan);
    for (CommandBody& body : plan.commands) Propose(std::move(body));
    for (const PlatformCall& call : plan.calls) ExecuteCall(call);
  }

  WallMs wall() const { return 1'764'812'520'000 + now / kMillisecond; }
  Micros Between(int low_s, int high_s) {
    return low_s * kSecond + static_cast<Micros>(UniformBelow(rng, (high_s - low_s) * kSecond));
  }

  Rng rng;
  Micros step;
  Faults faults;
  FleetState state;
  FleetView view;
  Micros now = 0;
  std::map<VmId, Vm> vms;

 private:
  struct Operation {
    Micros ends = 0;
    bool fails = false;
  };

  bool HappensInStep(Micros every) {
    return every > 0 &&
           UniformBelow(rng, static_cast<std::uint64_t>(every)) < static_cast<std::uint64_t>(step);
  }

  void InjectFaults() {
    if (HappensInStep(faults.vm_loss_interval)) {
      auto vm = vms.begin();
      std::advance(vm, UniformBelow(rng, vms.size()));
      TakeDown(vm->second, now + Between(60, 300));
    }
    if (HappensInStep(faults.leader_change_interval)) {
      view.leader_since = now;
      view.ready_changed.clear();
    }
  }

  static void TakeDown(Vm& vm, Micros until) {
    vm.down_until = std::max(vm.down_until, until);
    ++vm.incarnation;
  }

  void UpdateView() {
    for (const auto& [incarnation, node] : state.nodes) {
      view.nodes[incarnation] = {.last_granted = now, .applied_index = state.applied_index};
    }
    for (const auto& [id, vm] : vms) {
      const auto record = state.vms.find(id);
      if (record == state.vms.end()) continue;
      const auto& operation = record->second.operation;
      const bool ready = vm.down_until <= now;
      const bool idle = operation && operation->phase == VmPhase::kDraining &&
                        wall() - operation->phase_since >= vm.times.drain / kMillisecond;
      const auto [use, added] = view.vms.try_emplace(id);
      if (added || use->second.ready != ready) view.ready_changed[id] = now;
      use->second = {.ready = ready,
                     .running = ready && !idle ? 1 : 0,
                     .server_incarnation = std::to_string(vm.incarnation)};
    }
  }

  void ExecuteCall(const PlatformCall& call) {
    const auto [it, added] = operations_.try_emplace(call.operation_id);
    Vm& vm = vms.at(call.vm);
    if (added) {
      it->second.ends = now + vm.times.platform;
      it->second.fails =
          faults.operation_failure_rate > 0 && UniformUnit(rng) < faults.operation_failure_rate;
      TakeDown(vm, it->second.ends + vm.times.start);
    } else if (now >= it->second.ends) {
      Propose(AdvanceVmOperation{.vm = call.vm,
                                 .operation_id = call.operation_id,
                                 .from = VmPhase::kStopping,
                                 .to = it->second.fails ? VmPhase::kFailed : VmPhase::kVerifying,
                                 .error = it->second.fails ? "the platform failed" : ""});
    }
  }

  std::map<std::string, Operation> operations_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BENCH_FLEET_MODEL_H_

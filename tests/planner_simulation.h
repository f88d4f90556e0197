#ifndef GODWITPADDLE_TESTS_PLANNER_SIMULATION_H_
#define GODWITPADDLE_TESTS_PLANNER_SIMULATION_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "decision/commands.h"
#include "decision/planners.h"

namespace godwitpaddle {

/// Faults to inject: probabilities per opportunity, unless a unit is given.
struct FaultRates {
  double report_lost = 0;      // a report, or the leader's reply to it
  Micros report_delay = 0;     // longest delay of a report
  double command_lost = 0;     // a command of the planners that is never committed
  double node_isolated = 0;    // per node and step: no messages for up to 12 s
  double vm_lost = 0;          // per VM and step: down for up to 60 s
  double vm_silent = 0;        // per VM and step: no announcements for up to 20 s while it runs
  double operation_fails = 0;  // per operation of the platform
  double leader_changes = 0;   // per step of the simulation
};

/// Runs the planners in virtual time against simulated nodes, each with its own applied state, VMs
/// and a platform. Every step checks the invariants: team limits, VM budgets, and that no planned
/// stop ends a running task.
class PlannerSimulation {
 public:
  static constexpr Micros kStep = 50 * kMillisecond;

  /// A running task.
  struct Task {
    TeamId team;
    VmId vm;
    Micros ends = 0;
  };
  /// One incarnation of a node.
  struct SimNode {
    NodeRecord record;
    FleetState applied;
    Micros isolated_until = 0;
    Micros lease_until = 0;  // end of the node lease by the node's own count
    Micros next_report = 0;
    bool draining = false;
    std::map<TeamId, int> demand;  // requests that would run at this node at the same time
    std::vector<Task> tasks;
    // Time of the last announcement of each VM that the node received as the pool's owner.
    std::map<VmId, Micros> last_announcements;
    // Epochs of the pools that the node owned when it last applied entries.
    std::map<PoolId, std::uint64_t> owned_epoch;
  };
  struct SimVm {
    Micros down_until = 0;
    Micros silent_until = 0;
    Micros silent_since = 0;
    int incarnation = 0;  // incarnation of the backend server
    Micros next_announcement = 0;
  };
  struct Operation {
    Micros ends = 0;
    bool fails = false;
  };

  PlannerSimulation(std::uint64_t seed, const std::string& config, int nodes) : rng(seed) {
    Propose(SubmitConfig{"c0", 0, "op", {{"10-base.json", config}}});
    REQUIRE(Propose(DecideReview{"a0", "customer", true, {"10-base.json"}}).ok());
    for (int i = 0; i < nodes; ++i) AddNode("n" + std::to_string(i));
    view.leader_node = "n0";
    for (const auto& [id, vm] : state.vms) vms[id] = {};
  }

  /// Adds a new incarnation of the node, which joins with its first report.
  Incarnation AddNode(const NodeId& node) {
    Incarnation incarnation = node + "-" + std::to_string(++incarnations_);
    SimNode& sim = this->nodes[incarnation];
    sim.record = {.node = node};
    sim.next_report = now;
    return incarnation;
  }

  /// Commits and applies a command, and checks the state's invariants.
  ApplyResult Propose(CommandBody body) {
    const FleetState before{.revision = state.revision, .in_force_version = state.in_force_version};
    const bool starts = std::holds_alternative<StartVmOperation>(body);
    log.push_back({wall(), std::move(body)});
    ApplyResult result = Apply(state, log.size(), log.back());
    const auto violation = FindViolation(state);
    if (violation) FAIL(*violation);
    REQUIRE(state.in_force_version >= before.in_force_version);
    REQUIRE(state.revision >= before.revision);
    if (result.ok()) CheckBudget(starts);
    return result;
  }

  WallMs wall() const { return 1'764'812'520'000 + now / kMillisecond; }

  /// Advances the simulation by `duration` and calls `each_step` after every step.
  void Run(
      Micros duration, const std::function<void()>& each_step = [] {}) {
    for (const Micros end = now + duration; now < end; now += kStep) {
      InjectFaults();
      Announce();
      for (auto& [incarnation, node] : nodes) StepNode(incarnation, node);
      DeliverReports();
      PlanAndCommit();
      CheckTeamLimits();
      each_step();
    }
  }

  int Running(const TeamId& team) const {
    int sum = 0;
    for (const auto& [incarnation, node] : nodes) sum += RunningAt(node, team);
    return sum;
  }
  static int RunningAt(const SimNode& node, const TeamId& team) {
    return static_cast<int>(std::count_if(node.tasks.begin(), node.tasks.end(),
                                          [&](const Task& task) { return task.team == team; }));
  }
  int RunningOn(const VmId& vm) const {
    int sum = 0;
    for (const auto& [incarnation, node] : nodes) {
      for (const Task& task : node.tasks) sum += task.vm == vm ? 1 : 0;
    }
    return sum;
  }
  bool IsUp(const VmId& vm) const { return vms.at(vm).down_until <= now; }
  /// Makes `node` the leader, with an empty view of the fleet.
  void ChangeLeader(const NodeId& node) {
    view = {.leader_since = now, .leader_node = node};
    move_state = {};
    in_flight_.clear();
  }

  Rng rng;
  FaultRates faults;
  FleetState state;
  std::vector<Command> log;
  FleetView view;
  MovePlannerState move_state;
  Micros now = 100 * kSecond;
  std::map<Incarnation, SimNode> nodes;
  std::map<VmId, SimVm> vms;
  std::map<std::string, Operation> operations;  // operations of the platform, by id
  std::map<PoolId, PoolUsage> pool_usage;       // usage of each pool, as its owner reports it
  std::size_t commands = 0;                     // number of commands issued by the planners
  std::size_t allotment_commands = 0;
  std::size_t moves = 0;

 private:
  struct Report {
    Micros arrives = 0;
    Micros sent = 0;
    Incarnation from;
    std::uint64_t applied_index = 0;
    NodeReport report;
  };

  bool Happens(double probability) { return probability > 0 && UniformUnit(rng) < probability; }
  Micros RandomDuration(Micros longest) {
    return longest <= 0 ? 0 : static_cast<Micros>(UniformBelow(rng, longest));
  }

  void InjectFaults() {
    for (auto& [incarnation, node] : nodes) {
      if (Happens(faults.node_isolated)) node.isolated_until = now + RandomDuration(12 * kSecond);
    }
    for (auto& [id, vm] : vms) {
      if (Happens(faults.vm_lost)) StopVm(id, now + RandomDuration(60 * kSecond));
      if (vm.silent_until <= now && Happens(faults.vm_silent)) {
        vm.silent_until = now + RandomDuration(20 * kSecond);
        vm.silent_since = now;
      }
      // A server that receives no lease renewals stops its tasks.
      if (vm.silent_until > now && now - vm.silent_since > kTaskLease) EndTasks(id);
    }
    if (Happens(faults.leader_changes)) ChangeLeader("n" + std::to_string(UniformBelow(rng, 4)));
  }

  void StopVm(const VmId& id, Micros until) {
    vms[id].down_until = until;
    ++vms[id].incarnation;
    EndTasks(id);
  }

  void EndTasks(const VmId& id) {
    for (auto& [incarnation, node] : nodes) {
      std::erase_if(node.tasks, [&](const Task& task) { return task.vm == id; });
    }
  }

  static bool Owns(const Incarnation& incarnation, const SimNode& node, const PoolId& pool) {
    const auto it = node.applied.owners.find(pool);
    return it != node.applied.owners.end() && it->second.owner == incarnation;
  }

  void Announce() {
    for (auto& [id, vm] : vms) {
      if (!IsUp(id) || vm.silent_until > now || now < vm.next_announcement) continue;
      vm.next_announcement = now + kSecond;
      for (auto& [incarnation, node] : nodes) {
        if (node.isolated_until > now) continue;
        const auto record = node.applied.vms.find(id);
        if (record == node.applied.vms.end()) continue;
        if (Owns(incarnation, node, record->second.pool)) node.last_announcements[id] = now;
      }
    }
  }

  void StepNode(const Incarnation& incarnation, SimNode& node) {
    std::erase_if(node.tasks, [&](const Task& task) { return task.ends <= now; });
    // Backend servers stop the tasks of an owner whose leases are not renewed.
    if (now > node.lease_until + kTaskLease) node.tasks.clear();
    if (node.isolated_until > now) return;
    const bool lags = Happens(0.5);
    while (node.applied.applied_index < log.size() && !lags) {
      const std::uint64_t index = node.applied.applied_index + 1;
      Apply(node.applied, index, log[index - 1]);
    }
    for (const auto& [pool, owner] : node.applied.owners) {
      if (owner.owner != incarnation || node.owned_epoch[pool] == owner.epoch) continue;
      node.owned_epoch[pool] = owner.epoch;
      for (const auto& [id, vm] : node.applied.vms) {
        if (vm.pool == pool) node.last_announcements.erase(id);
      }
    }
    if (now < node.lease_until) StartTasks(incarnation, node);
    if (now >= node.next_report) SendReport(incarnation, node);
  }

  void StartTasks(const Incarnation& incarnation, SimNode& node) {
    for (const auto& [team, wanted] : node.demand) {
      int running = RunningAt(node, team);
      const auto held = node.applied.allotments.find(team);
      if (held == node.applied.allotments.end()) continue;
      const auto it = held->second.find(incarnation);
      if (it == held->second.end()) continue;
      const int max_running = std::min({wanted, it->second.granted, it->second.target});
      const std::vector<VmId> vms_to_use = UsableVms(incarnation, node);
      for (; running < max_running && !vms_to_use.empty(); ++running) {
        const VmId& vm = vms_to_use[UniformBelow(rng, vms_to_use.size())];
        const Micros longest = Happens(0.1) ? 20 * kSecond : 2 * kSecond;
        node.tasks.push_back({team, vm, now + kSecond / 10 + RandomDuration(longest)});
      }
    }
  }

  std::vector<VmId> UsableVms(const Incarnation& incarnation, const SimNode& node) const {
    std::vector<VmId> usable;
    for (const auto& [id, vm] : node.applied.vms) {
      if (!Owns(incarnation, node, vm.pool) || vm.operation || !vm.healthy || !IsUp(id)) continue;
      if (now - LastAnnouncement(node, id) <= 3 * kSecond) usable.push_back(id);
    }
    return usable;
  }

  static Micros LastAnnouncement(const SimNode& node, const VmId& id) {
    const auto it = node.last_announcements.find(id);
    return it == node.last_announcements.end() ? -kMinute : it->second;
  }

  void SendReport(const Incarnation& incarnation, SimNode& node) {
    node.next_report = now + 300 * kMillisecond;
    if (Happens(faults.report_lost)) return;
    Report sent{.arrives = now + RandomDuration(faults.report_delay),
                .sent = now,
                .from = incarnation,
                .applied_index = node.applied.applied_index};
    sent.report.draining = node.draining;
    std::map<TeamId, TeamUsage>& teams = sent.report.teams;
    for (const auto& [team, wanted] : node.demand) {
      const int running = RunningAt(node, team);
      teams[team] = {.running = running, .wanted = std::max(running, wanted)};
    }
    for (const auto& [id, vm] : node.applied.vms) {
      if (!Owns(incarnation, node, vm.pool)) continue;
      const bool ready = now - LastAnnouncement(node, id) <= 3 * kSecond;
      sent.report.vms[id] = {
          .ready = ready,
          .running = ready ? RunningOn(id) : 0,
          .server_incarnation = ready ? std::to_string(vms[id].incarnation) : ""};
    }
    in_flight_.push_back(std::move(sent));
  }

  void DeliverReports() {
    std::vector<Report> later;
    for (Report& report : in_flight_) {
      if (report.arrives > now) {
        later.push_back(std::move(report));
      } else {
        ReceiveReport(report);
      }
    }
    in_flight_ = std::move(later);
  }

  void ReceiveReport(const Report& report) {
    SimNode& node = nodes.at(report.from);
    const auto record = state.nodes.find(report.from);
    if (record != state.nodes.end() && record->second.lease_expired) return;
    if (record == state.nodes.end() && !Propose(NodeJoined{report.from, node.record}).ok()) return;
    NodeView& seen = view.nodes[report.from];
    if (report.applied_index < seen.applied_index) return;
    seen.last_granted = now;
    seen.applied_index = report.applied_index;
    seen.draining = report.report.draining;
    seen.teams = report.report.teams;
    for (const auto& [id, use] : report.report.vms) {
      const auto vm = state.vms.find(id);
      if (vm == state.vms.end() || state.owners[vm->second.pool].owner != report.from) continue;
      const auto [it, added] = view.vms.try_emplace(id);
      if (added || it->second.ready != use.ready) view.ready_changed[id] = now;
      it->second = use;
    }
    view.pools = pool_usage;
    const bool answered = node.isolated_until <= now && !Happens(faults.report_lost);
    if (answered) node.lease_until = std::max(node.lease_until, report.sent + kNodeLease);
  }

  void PlanAndCommit() {
    Plan plan;
    PlanNodes(state, view, now, plan);
    PlanOwners(state, view, now, plan);
    PlanAllotments(state, view, now, plan);
    PlanWaves(state, view, now, wall(), plan);
    PlanMoves(state, view, now, move_state, plan);
    for (CommandBody& body : plan.commands) {
      ++commands;
      allotment_commands += std::holds_alternative<SetAllotments>(body) ? 1 : 0;
      if (const auto* start = std::get_if<StartVmOperation>(&body)) {
        moves += start->operation.kind == VmOperationKind::kMove ? 1 : 0;
      }
      if (!Happens(faults.command_lost)) Propose(std::move(body));
    }
    for (const PlatformCall& call : plan.calls) CallPlatform(call);
    RestartExpiredNodes();
  }

  void CallPlatform(const PlatformCall& call) {
    const auto [it, added] = operations.try_emplace(call.operation_id);
    if (added) {
      // A planned operation must not stop a VM that runs tasks.
      CAPTURE(call.vm, call.operation_id);
      REQUIRE(RunningOn(call.vm) == 0);
      it->second = {.ends = now + 10 * kSecond + RandomDuration(20 * kSecond),
                    .fails = Happens(faults.operation_fails)};
      StopVm(call.vm, it->second.ends);
    } else if (now >= it->second.ends) {
      Propose(
          AdvanceVmOperation{.vm = call.vm,
                             .operation_id = call.operation_id,
                             .from = VmPhase::kStopping,
                             .to = it->second.fails ? VmPhase::kFailed : VmPhase::kVerifying,
                             .error = it->second.fails ? "simulated failure of the platform" : ""});
    }
  }

  /// Starts a new incarnation of each node whose lease has expired and that is reachable again.
  /// Such a node has no tasks, since the task lease has expired as well.
  void RestartExpiredNodes() {
    std::vector<Incarnation> ready;
    for (const auto& [incarnation, node] : nodes) {
      const auto record = state.nodes.find(incarnation);
      const bool expired = record != state.nodes.end() ? record->second.lease_expired
                                                       : node.lease_until > 0 && node.tasks.empty();
      if (expired && node.isolated_until <= now && node.tasks.empty()) ready.push_back(incarnation);
    }
    for (const Incarnation& incarnation : ready) {
      const SimNode old = std::move(nodes.at(incarnation));
      nodes.erase(incarnation);
      std::erase_if(in_flight_, [&](const Report& report) { return report.from == incarnation; });
      nodes[AddNode(old.record.node)].demand = old.demand;
    }
  }

  void CheckTeamLimits() {
    for (const auto& [team, config] : state.config.teams) {
      const auto over = state.over_limit.find(team);
      const int limit = over == state.over_limit.end() ? config.limit : over->second;
      CAPTURE(team, now);
      REQUIRE(GrantedSum(state, team) <= limit);
      REQUIRE(Running(team) <= std::max(limit, running_over_limit_[team]));
      // Tasks that run when the limit is lowered may finish.
      running_over_limit_[team] = Running(team) > limit ? Running(team) : 0;
    }
  }

  void CheckBudget(bool starts) const {
    if (!starts) return;
    const auto& start = std::get<StartVmOperation>(log.back().body);
    const VmRecord& vm = state.vms.at(start.vm);
    if (vm.healthy) {
      REQUIRE(AvailableVms(state, vm.pool) >= state.config.pools.at(vm.pool).min_available);
    }
  }

  int incarnations_ = 0;
  std::vector<Report> in_flight_;
  std::map<TeamId, int> running_over_limit_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_TESTS_PLANNER_SIMULATION_H_

#include "decision/planners.h"

#include <catch2/catch.hpp>
#include <string>

#include "tests/planner_simulation.h"

namespace godwitpaddle {
namespace {

std::string Config(int pools, const std::string& more = "") {
  std::string text = R"({"teams": {"dyers": {"limit": 12}}, "waves": {"monthly": {"pools": ["p0"]}},
    "pools": {)";
  std::string vms;
  for (int i = 0; i < pools; ++i) {
    const std::string pool = "p" + std::to_string(i);
    text += (i > 0 ? ", \"" : "\"") + pool +
            R"(": {"service": "s", "min_available": 2, "hold_down_s": 5, "slots_per_vm": 8)" +
            (i == 1 ? ", \"spare\": true}" : "}");
    for (int j = 0; j < 4; ++j) {
      vms.append(vms.empty() ? "\"" : ", \"").append(pool).append("v" + std::to_string(j));
      vms.append(R"(": {"pool": ")").append(pool);
      vms.append(R"(", "zone": ")").append(j < 2 ? "a" : "b").append(R"("})");
    }
  }
  return text + "}, \"vms\": {" + vms + "}" + more + "}";
}

std::map<Incarnation, int> PoolsByOwner(const FleetState& state) {
  std::map<Incarnation, int> counts;
  for (const auto& [pool, owner] : state.owners) ++counts[owner.owner];
  return counts;
}

TEST_CASE("pools are assigned to owners") {
  PlannerSimulation sim(1, Config(9), 4);
  sim.Run(15 * kSecond);  // until the VMs are healthy
  const auto counts = PoolsByOwner(sim.state);
  // Guards against pools that become unavailable together with the leader, and against uneven
  // loads.
  SECTION("the assignment is even, and the leader's node gets none") {
    CHECK(counts.count("n0-1") == 0);
    for (const char* node : {"n1-2", "n2-3", "n3-4"}) CHECK(counts.at(node) == 3);
  }
  SECTION("without a change the planners issue no commands") {
    const std::size_t before = sim.commands;
    sim.Run(10 * kSecond);
    CHECK(sim.commands == before);
  }
  SECTION("a draining node hands over its pools") {
    sim.nodes.at("n1-2").draining = true;
    sim.Run(5 * kSecond);
    CHECK(PoolsByOwner(sim.state).count("n1-2") == 0);
    CHECK(PoolsByOwner(sim.state).count("") == 0);
  }
  SECTION("a pool is assigned only after its previous owner has applied the release") {
    REQUIRE(sim.Propose(ReleasePool{"p0", sim.state.owners.at("p0").epoch}).ok());
    Plan plan;
    PlanOwners(sim.state, sim.view, sim.now, plan);
    CHECK(plan.commands.empty());
    sim.view.nodes.at(sim.state.owners.at("p0").released_by).applied_index = sim.log.size();
    PlanOwners(sim.state, sim.view, sim.now, plan);
    REQUIRE(plan.commands.size() == 1);
    CHECK(std::get<AssignPool>(plan.commands[0]).epoch == 2);
  }
  SECTION("an isolated node loses its pools after 1.5 s, not before") {
    sim.nodes.at("n1-2").isolated_until = sim.now + kMinute;
    sim.Run(kSecond);
    CHECK(PoolsByOwner(sim.state).count("n1-2") == 1);
    sim.Run(kSecond);
    CHECK(PoolsByOwner(sim.state).count("n1-2") == 0);
    CHECK(sim.state.nodes.at("n1-2").lease_expired);
    sim.Run(6 * kSecond);
    CHECK(sim.state.nodes.count("n1-2") == 0);
  }
  SECTION("the leader's node gets pools when fewer than two others are live") {
    for (const char* node : {"n2-3", "n3-4"}) sim.nodes.at(node).isolated_until = sim.now + kMinute;
    sim.Run(8 * kSecond);
    CHECK(PoolsByOwner(sim.state).size() == 2);
    CHECK(PoolsByOwner(sim.state).count("n0-1") == 1);
  }
}

TEST_CASE("allotments follow the demand of the nodes") {
  PlannerSimulation sim(2, Config(9), 4);
  sim.Run(5 * kSecond);
  auto& first = sim.nodes.at("n1-2");
  auto& second = sim.nodes.at("n2-3");
  const auto allotment_of = [&](const Incarnation& node) {
    const auto team = sim.state.allotments.find("dyers");
    if (team == sim.state.allotments.end() || team->second.count(node) == 0) return Allotment{};
    return team->second.at(node);
  };
  first.demand["dyers"] = 12;
  sim.Run(2 * kSecond);
  CHECK(allotment_of("n1-2").granted == 12);
  // Guards against an allotment that remains with a node that does not use it.
  SECTION("an unused allotment moves to another node within a second") {
    first.demand["dyers"] = 0;
    sim.Run(25 * kSecond);
    CHECK(allotment_of("n1-2").granted == 12);  // no other node has demand
    second.demand["dyers"] = 6;
    sim.Run(kSecond);
    CHECK(allotment_of("n2-3").granted >= 6);
  }
  SECTION("allotments are divided by demand and then do not change") {
    second.demand["dyers"] = 12;
    sim.Run(30 * kSecond);
    CHECK(allotment_of("n1-2").target == 6);
    CHECK(allotment_of("n2-3").target == 6);
    const std::size_t before = sim.allotment_commands;
    sim.Run(10 * kSecond);
    CHECK(sim.allotment_commands == before);
  }
  SECTION("the allotment of a node whose lease expired counts until its tasks have ended") {
    first.isolated_until = sim.now + kMinute;
    second.demand["dyers"] = 12;
    sim.Run(4 * kSecond);
    CHECK(allotment_of("n1-2").granted == 12);
    CHECK(allotment_of("n2-3").granted == 0);
    sim.Run(5 * kSecond);
    CHECK(allotment_of("n2-3").granted == 12);
  }
  SECTION("a lowered limit lowers the targets at once, whatever is running") {
    sim.Propose(
        SubmitConfig{"c9", 1, "op", {{"20.json", R"({"teams": {"dyers": {"limit": 3}}})"}}});
    sim.Propose(DecideReview{"a9", "customer", true, {"20.json"}});
    sim.Run(PlannerSimulation::kStep);
    CHECK(allotment_of("n1-2").target == 3);
    sim.Run(30 * kSecond);
    CHECK(allotment_of("n1-2").granted == 3);
  }
  SECTION("a new leader cuts no allotments before it has received reports") {
    sim.ChangeLeader("n3");
    for (auto& [incarnation, node] : sim.state.nodes) sim.view.nodes[incarnation];
    Plan plan;
    PlanAllotments(sim.state, sim.view, sim.now, plan);
    CHECK(plan.commands.empty());
  }
}

TEST_CASE("a wave reboots every VM within the budget") {
  PlannerSimulation sim(3, Config(9), 4);
  sim.Run(15 * kSecond);
  for (auto& [incarnation, node] : sim.nodes) node.demand["dyers"] = 4;
  REQUIRE(sim.Propose(ControlWave{"", "monthly", WaveAction::kStart}).ok());
  const WaveRecord& wave = sim.state.waves["monthly"];
  int max_in_operation = 0;
  const auto count_operations = [&] {
    int in_operation = 0;
    for (const auto& [id, vm] : sim.state.vms) in_operation += vm.operation ? 1 : 0;
    max_in_operation = std::max(max_in_operation, in_operation);
  };
  const auto incarnation = [&](const VmId& vm) { return sim.vms.at(vm).incarnation; };
  SECTION("it reboots two VMs at a time, zone by zone, and stops no running task") {
    sim.Run(3 * kMinute, count_operations);
    CHECK(wave.state == WaveState::kDone);
    CHECK(wave.done.size() == 4);
    CHECK(max_in_operation == 2);
    for (const char* vm : {"p0v0", "p0v1", "p0v2", "p0v3"}) CHECK(incarnation(vm) == 1);
  }
  // Guards against steps that a new leader skips or repeats.
  SECTION("the wave continues after a change of leader in any phase") {
    const std::set<VmPhase> all = {VmPhase::kDraining, VmPhase::kStopping, VmPhase::kVerifying,
                                   VmPhase::kHoldDown};
    std::set<VmPhase> seen;
    sim.Run(4 * kMinute, [&] {
      for (const auto& [id, vm] : sim.state.vms) {
        if (!vm.operation || !seen.insert(vm.operation->phase).second) continue;
        sim.ChangeLeader("n" + std::to_string(seen.size() % 4));
      }
    });
    CHECK(seen == all);
    CHECK(wave.state == WaveState::kDone);
    for (const char* vm : {"p0v0", "p0v1", "p0v2", "p0v3"}) CHECK(incarnation(vm) == 1);
  }
  SECTION("a lost VM counts against the budget, so fewer VMs are drained meanwhile") {
    sim.vms.at("p0v3").down_until = sim.now + kMinute;
    sim.Run(kMinute, count_operations);
    CHECK_FALSE(sim.state.vms.at("p0v3").healthy);
    CHECK(AvailableVms(sim.state, "p0") >= 2);
    sim.Run(4 * kMinute, count_operations);
    CHECK(wave.state == WaveState::kDone);
  }
  SECTION("a failed operation is retried once") {
    sim.faults.operation_fails = 1;
    sim.Run(10 * kSecond);  // the first two operations start
    sim.faults.operation_fails = 0;
    sim.Run(5 * kMinute);
    // Both VMs of the first zone failed, so the wave pauses: the failures may have a common cause.
    CHECK(wave.state == WaveState::kPaused);
    CHECK(wave.reason.find("2 failures: p0v0 p0v1") != std::string::npos);
    REQUIRE(sim.Propose(ControlWave{"", "monthly", WaveAction::kResume}).ok());
    sim.Run(5 * kMinute);
    CHECK(wave.state == WaveState::kDone);
    CHECK(wave.done.size() == 4);
  }
  SECTION("a pause puts draining VMs back into service") {
    sim.Run(PlannerSimulation::kStep);
    REQUIRE(sim.state.vms.at("p0v0").operation->phase == VmPhase::kDraining);
    REQUIRE(sim.Propose(ControlWave{"", "monthly", WaveAction::kPause, "by hand"}).ok());
    sim.Run(kSecond);
    CHECK_FALSE(sim.state.vms.at("p0v0").operation);
    CHECK(wave.remaining.size() == 4);
  }
}

TEST_CASE("changes of VM health are debounced") {
  PlannerSimulation sim(4, Config(2), 3);
  sim.Run(15 * kSecond);
  CHECK(AvailableVms(sim.state, "p0") == 4);
  auto& vm = sim.vms.at("p0v0");
  SECTION(
      "a VM that is silent for a few seconds stays healthy, and recovery takes longer than loss") {
    vm.silent_until = sim.now + 4 * kSecond;
    sim.Run(10 * kSecond);
    CHECK(sim.state.vms.at("p0v0").healthy);
    vm.silent_until = sim.now + 15 * kSecond;
    sim.Run(10 * kSecond);
    CHECK_FALSE(sim.state.vms.at("p0v0").healthy);
    sim.Run(8 * kSecond);
    CHECK_FALSE(sim.state.vms.at("p0v0").healthy);
    sim.Run(5 * kSecond);
    CHECK(sim.state.vms.at("p0v0").healthy);
  }
  SECTION("the VMs of a pool stay healthy when its owner's lease expires") {
    sim.nodes.at(sim.state.owners.at("p0").owner).isolated_until = sim.now + kMinute;
    sim.Run(20 * kSecond, [&] { REQUIRE(AvailableVms(sim.state, "p0") == 4); });
  }
}

TEST_CASE("spare pools lend VMs when the gain exceeds the cost") {
  PlannerSimulation sim(5, Config(2), 3);
  sim.Run(15 * kSecond);
  const auto pool_size = [&](const PoolId& pool) {
    int vms = 0;
    for (const auto& [id, vm] : sim.state.vms) vms += vm.pool == pool ? 1 : 0;
    return vms;
  };
  SECTION("a burst of some seconds moves no VM") {
    sim.pool_usage["p0"].queued = 5 * 8 * 4;
    sim.Run(8 * kSecond);
    sim.pool_usage["p0"].queued = 0;
    sim.Run(2 * kMinute);
    CHECK(sim.moves == 0);
  }
  SECTION(
      "a persistent shortage moves VMs down to the lender's budget, and they return afterwards") {
    sim.pool_usage["p0"].queued = 5 * 8 * 4;
    sim.Run(10 * kMinute);
    CHECK(pool_size("p0") == 6);
    CHECK(pool_size("p1") == 2);
    sim.pool_usage["p0"].queued = 8;
    sim.Run(10 * kMinute);
    CHECK(pool_size("p0") == 4);
    CHECK(sim.moves == 4);
    for (const auto& [id, vm] : sim.state.vms) {
      CHECK(vm.pool == sim.state.config.vms.at(id).pool);
    }
  }
  SECTION("a pool that is not spare lends no VMs") {
    sim.pool_usage["p1"].queued = 5 * 8 * 4;
    sim.Run(5 * kMinute);
    CHECK(sim.moves == 0);
  }
}

}  // namespace
}  // namespace godwitpaddle

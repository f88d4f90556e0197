#include "decision/planners.h"

#include <catch2/catch.hpp>
#include <string>

#include "tests/planner_world.h"

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

TEST_CASE("pools get owners") {
  PlannerWorld world(1, Config(9), 4);
  world.Run(15 * kSecond);  // the VMs are healthy by then
  const auto counts = PoolsByOwner(world.state);
  // Guards against pools that stop with the leader, and against a node with far more than others.
  SECTION("evenly, and none at the leader's node") {
    CHECK(counts.count("n0-1") == 0);
    for (const char* node : {"n1-2", "n2-3", "n3-4"}) CHECK(counts.at(node) == 3);
  }
  SECTION("and keep them: without a change there are no commands") {
    const std::size_t before = world.commands;
    world.Run(10 * kSecond);
    CHECK(world.commands == before);
  }
  SECTION("a draining node hands its pools over") {
    world.nodes.at("n1-2").draining = true;
    world.Run(5 * kSecond);
    CHECK(PoolsByOwner(world.state).count("n1-2") == 0);
    CHECK(PoolsByOwner(world.state).count("") == 0);
  }
  SECTION("a release is not followed by an assignment before the old owner applied it") {
    REQUIRE(world.Propose(ReleasePool{"p0", world.state.owners.at("p0").epoch}).ok());
    Plan plan;
    PlanOwners(world.state, world.view, world.now, plan);
    CHECK(plan.commands.empty());
    world.view.nodes.at(world.state.owners.at("p0").released_by).applied_index = world.log.size();
    PlanOwners(world.state, world.view, world.now, plan);
    REQUIRE(plan.commands.size() == 1);
    CHECK(std::get<AssignPool>(plan.commands[0]).epoch == 2);
  }
  SECTION("a node that is cut off loses them after 1.5 s, not before") {
    world.nodes.at("n1-2").cut_until = world.now + kMinute;
    world.Run(kSecond);
    CHECK(PoolsByOwner(world.state).count("n1-2") == 1);
    world.Run(kSecond);
    CHECK(PoolsByOwner(world.state).count("n1-2") == 0);
    CHECK(world.state.nodes.at("n1-2").lease_expired);
    world.Run(6 * kSecond);
    CHECK(world.state.nodes.count("n1-2") == 0);
  }
  SECTION("the leader's node helps when fewer than two others are live") {
    for (const char* node : {"n2-3", "n3-4"}) world.nodes.at(node).cut_until = world.now + kMinute;
    world.Run(8 * kSecond);
    CHECK(PoolsByOwner(world.state).size() == 2);
    CHECK(PoolsByOwner(world.state).count("n0-1") == 1);
  }
}

TEST_CASE("allotments follow what nodes want") {
  PlannerWorld world(2, Config(9), 4);
  world.Run(5 * kSecond);
  auto& first = world.nodes.at("n1-2");
  auto& second = world.nodes.at("n2-3");
  const auto held = [&](const Incarnation& node) {
    const auto team = world.state.allotments.find("dyers");
    if (team == world.state.allotments.end() || team->second.count(node) == 0) return Allotment{};
    return team->second.at(node);
  };
  first.demand["dyers"] = 12;
  world.Run(2 * kSecond);
  CHECK(held("n1-2").granted == 12);
  // Guards against allotment that stays where it is not used.
  SECTION("unused allotment moves within a second") {
    first.demand["dyers"] = 0;
    world.Run(25 * kSecond);
    CHECK(held("n1-2").granted == 12);  // nobody else wants it
    second.demand["dyers"] = 6;
    world.Run(kSecond);
    CHECK(held("n2-3").granted >= 6);
  }
  SECTION("a running team shares by what is wanted, and settles") {
    second.demand["dyers"] = 12;
    world.Run(30 * kSecond);
    CHECK(held("n1-2").target == 6);
    CHECK(held("n2-3").target == 6);
    const std::size_t before = world.allotment_commands;
    world.Run(10 * kSecond);
    CHECK(world.allotment_commands == before);
  }
  SECTION("a lapsed node's allotment counts until its tasks are gone") {
    first.cut_until = world.now + kMinute;
    second.demand["dyers"] = 12;
    world.Run(4 * kSecond);
    CHECK(held("n1-2").granted == 12);
    CHECK(held("n2-3").granted == 0);
    world.Run(5 * kSecond);
    CHECK(held("n2-3").granted == 12);
  }
  SECTION("a lowered limit lowers targets at once, whatever runs") {
    world.Propose(
        SubmitConfig{"c9", 1, "op", {{"20.json", R"({"teams": {"dyers": {"limit": 3}}})"}}});
    world.Propose(DecideReview{"a9", "customer", true, {"20.json"}});
    world.Run(PlannerWorld::kStep);
    CHECK(held("n1-2").target == 3);
    world.Run(30 * kSecond);
    CHECK(held("n1-2").granted == 3);
  }
  SECTION("a new leader without reports cuts nothing") {
    world.NewLeader("n3");
    for (auto& [incarnation, node] : world.state.nodes) world.view.nodes[incarnation];
    Plan plan;
    PlanAllotments(world.state, world.view, world.now, plan);
    CHECK(plan.commands.empty());
  }
}

TEST_CASE("a wave reboots every VM within the budget") {
  PlannerWorld world(3, Config(9), 4);
  world.Run(15 * kSecond);
  for (auto& [incarnation, node] : world.nodes) node.demand["dyers"] = 4;
  REQUIRE(world.Propose(ControlWave{"", "monthly", WaveAction::kStart}).ok());
  const WaveRecord& wave = world.state.waves["monthly"];
  int most = 0;
  const auto watch = [&] {
    int out = 0;
    for (const auto& [id, vm] : world.state.vms) out += vm.operation ? 1 : 0;
    most = std::max(most, out);
  };
  const auto life = [&](const VmId& vm) { return world.vms.at(vm).life; };
  SECTION("two at a time and one zone after the other, with nothing cut off") {
    world.Run(3 * kMinute, watch);
    CHECK(wave.state == WaveState::kDone);
    CHECK(wave.done.size() == 4);
    CHECK(most == 2);
    for (const char* vm : {"p0v0", "p0v1", "p0v2", "p0v3"}) CHECK(life(vm) == 1);
  }
  // Guards against steps that are lost or done twice by the next leader.
  SECTION("whoever leads: a new leader at any step goes on") {
    const std::set<VmPhase> all = {VmPhase::kDraining, VmPhase::kStopping, VmPhase::kVerifying,
                                   VmPhase::kHoldDown};
    std::set<VmPhase> seen;
    world.Run(4 * kMinute, [&] {
      for (const auto& [id, vm] : world.state.vms) {
        if (!vm.operation || !seen.insert(vm.operation->phase).second) continue;
        world.NewLeader("n" + std::to_string(seen.size() % 4));
      }
    });
    CHECK(seen == all);
    CHECK(wave.state == WaveState::kDone);
    for (const char* vm : {"p0v0", "p0v1", "p0v2", "p0v3"}) CHECK(life(vm) == 1);
  }
  SECTION("an unplanned loss counts: fewer are drained meanwhile") {
    world.vms.at("p0v3").down_until = world.now + kMinute;
    world.Run(kMinute, watch);
    CHECK_FALSE(world.state.vms.at("p0v3").healthy);
    CHECK(AvailableVms(world.state, "p0") >= 2);
    world.Run(4 * kMinute, watch);
    CHECK(wave.state == WaveState::kDone);
  }
  SECTION("a failed operation is tried again once") {
    world.faults.operation_fails = 1;
    world.Run(10 * kSecond);  // the first two operations start
    world.faults.operation_fails = 0;
    world.Run(5 * kMinute);
    // Both VMs of the first zone failed at once: that is no chance.
    CHECK(wave.state == WaveState::kPaused);
    CHECK(wave.reason.find("2 failures: p0v0 p0v1") != std::string::npos);
    REQUIRE(world.Propose(ControlWave{"", "monthly", WaveAction::kResume}).ok());
    world.Run(5 * kMinute);
    CHECK(wave.state == WaveState::kDone);
    CHECK(wave.done.size() == 4);
  }
  SECTION("a pause puts draining VMs back into service") {
    world.Run(PlannerWorld::kStep);
    REQUIRE(world.state.vms.at("p0v0").operation->phase == VmPhase::kDraining);
    REQUIRE(world.Propose(ControlWave{"", "monthly", WaveAction::kPause, "by hand"}).ok());
    world.Run(kSecond);
    CHECK_FALSE(world.state.vms.at("p0v0").operation);
    CHECK(wave.remaining.size() == 4);
  }
}

TEST_CASE("health changes are debounced") {
  PlannerWorld world(4, Config(2), 3);
  world.Run(15 * kSecond);
  CHECK(AvailableVms(world.state, "p0") == 4);
  auto& vm = world.vms.at("p0v0");
  SECTION("a few silent seconds are no loss, more are; the way back takes longer") {
    vm.silent_until = world.now + 4 * kSecond;
    world.Run(10 * kSecond);
    CHECK(world.state.vms.at("p0v0").healthy);
    vm.silent_until = world.now + 15 * kSecond;
    world.Run(10 * kSecond);
    CHECK_FALSE(world.state.vms.at("p0v0").healthy);
    world.Run(8 * kSecond);
    CHECK_FALSE(world.state.vms.at("p0v0").healthy);
    world.Run(5 * kSecond);
    CHECK(world.state.vms.at("p0v0").healthy);
  }
  SECTION("a lapsed owner is no loss of its VMs") {
    world.nodes.at(world.state.owners.at("p0").owner).cut_until = world.now + kMinute;
    world.Run(20 * kSecond, [&] { REQUIRE(AvailableVms(world.state, "p0") == 4); });
  }
}

TEST_CASE("spare pools lend VMs when it pays") {
  PlannerWorld world(5, Config(2), 3);
  world.Run(15 * kSecond);
  const auto size = [&](const PoolId& pool) {
    int vms = 0;
    for (const auto& [id, vm] : world.state.vms) vms += vm.pool == pool ? 1 : 0;
    return vms;
  };
  SECTION("a burst of some seconds moves nothing") {
    world.pool_use["p0"].queued = 5 * 8 * 4;
    world.Run(8 * kSecond);
    world.pool_use["p0"].queued = 0;
    world.Run(2 * kMinute);
    CHECK(world.moves == 0);
  }
  SECTION("a lasting shortage does, down to the lender's budget, and calm brings them home") {
    world.pool_use["p0"].queued = 5 * 8 * 4;
    world.Run(10 * kMinute);
    CHECK(size("p0") == 6);
    CHECK(size("p1") == 2);
    world.pool_use["p0"].queued = 8;
    world.Run(10 * kMinute);
    CHECK(size("p0") == 4);
    CHECK(world.moves == 4);
    for (const auto& [id, vm] : world.state.vms) {
      CHECK(vm.pool == world.state.config.vms.at(id).pool);
    }
  }
  SECTION("the other way there is no lending: p0 is guarded") {
    world.pool_use["p1"].queued = 5 * 8 * 4;
    world.Run(5 * kMinute);
    CHECK(world.moves == 0);
  }
}

}  // namespace
}  // namespace godwitpaddle

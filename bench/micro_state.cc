#include <benchmark/benchmark.h>

#include <string>

#include "bench/fleet_files.h"
#include "decision/commands.h"
#include "decision/planners.h"

namespace godwitpaddle {
namespace {

constexpr int kNodes = 9;
constexpr WallMs kWall = 1'764'812'520'000;

/// Returns the state of the target fleet: all VMs are healthy, all nodes have joined and all pools
/// have an owner.
FleetState TargetState(int teams) {
  FleetState state = MakeFleetState(FleetFiles({.teams = teams}));
  std::uint64_t index = 2;
  const auto apply = [&](CommandBody body) { Apply(state, ++index, {kWall, std::move(body)}); };
  for (const auto& [id, vm] : state.config.vms) apply(SetVmHealth{id, true});
  for (int i = 0; i < kNodes; ++i) {
    const std::string node = "n" + std::to_string(i);
    apply(NodeJoined{node + "-0a", {.node = node}});
  }
  int next = 0;
  for (const auto& [pool, config] : state.config.pools) {
    apply(AssignPool{pool, "n" + std::to_string(next++ % kNodes) + "-0a", 1});
  }
  return state;
}

/// Returns a view in which every node reports `wanted` requests of each team and all VMs are ready.
FleetView ViewOf(const FleetState& state, int wanted) {
  FleetView view{.leader_since = 1, .leader_node = "none"};
  for (const auto& [incarnation, node] : state.nodes) {
    NodeView& node_view = view.nodes[incarnation];
    node_view.last_granted = kMinute;
    node_view.applied_index = state.applied_index;
    for (const auto& [team, config] : state.config.teams) node_view.teams[team] = {wanted, wanted};
  }
  for (const auto& [id, vm] : state.vms) view.vms[id] = {.ready = true, .server_incarnation = "s"};
  return view;
}

void BmMerge(benchmark::State& run) {
  const auto files = FleetFiles({});
  while (run.KeepRunning()) benchmark::DoNotOptimize(MergeConfig(files));
}
BENCHMARK(BmMerge)->Unit(benchmark::kMillisecond);

void BmApplyConfigChange(benchmark::State& run) {
  FleetState state = TargetState(430);
  std::uint64_t index = state.applied_index;
  int limit = 60;
  while (run.KeepRunning()) {
    const std::string id = std::to_string(index);
    const std::string text = R"({"teams": {"t7": {"limit": )" + std::to_string(++limit) + "}}}";
    Apply(state, ++index,
          {kWall, SubmitConfig{"c" + id, state.revision, "op", {{"40.json", text}}}});
    Apply(state, ++index, {kWall, DecideReview{"a" + id, "customer", true, {"40.json"}}});
  }
}
BENCHMARK(BmApplyConfigChange)->Unit(benchmark::kMillisecond);

void BmApplyHealth(benchmark::State& run) {
  FleetState state = TargetState(430);
  std::uint64_t index = state.applied_index;
  while (run.KeepRunning()) Apply(state, ++index, {kWall, SetVmHealth{"v7", index % 2 == 0}});
}
BENCHMARK(BmApplyHealth);

void BmFindViolation(benchmark::State& run) {
  const FleetState state = TargetState(430);
  while (run.KeepRunning()) benchmark::DoNotOptimize(FindViolation(state));
}
BENCHMARK(BmFindViolation)->Unit(benchmark::kMicrosecond);

template <typename Planner>
void RunPlanner(benchmark::State& run, int teams, Planner planner) {
  FleetState state = TargetState(teams);
  FleetView view = ViewOf(state, 3);
  for (int i = 0; i < 3; ++i) {  // lets the plan stabilise
    Plan plan;
    planner(state, view, plan);
    for (CommandBody& body : plan.commands) {
      Apply(state, state.applied_index + 1, {kWall, std::move(body)});
    }
  }
  while (run.KeepRunning()) {
    Plan plan;
    planner(state, view, plan);
    benchmark::DoNotOptimize(plan);
  }
}

void BmPlanAllotments(benchmark::State& run) {
  RunPlanner(run, static_cast<int>(run.range(0)),
             [](const auto& state, const auto& view, Plan& plan) {
               PlanAllotments(state, view, kMinute, plan);
             });
}
BENCHMARK(BmPlanAllotments)->Arg(6)->Arg(430)->Unit(benchmark::kMicrosecond);

void BmPlanOwners(benchmark::State& run) {
  RunPlanner(run, 430, [](const auto& state, const auto& view, Plan& plan) {
    PlanOwners(state, view, kMinute, plan);
  });
}
BENCHMARK(BmPlanOwners)->Unit(benchmark::kMicrosecond);

void BmPlanWaves(benchmark::State& run) {
  RunPlanner(run, 430, [](const auto& state, const auto& view, Plan& plan) {
    PlanWaves(state, view, kMinute, kWall, plan);
  });
}
BENCHMARK(BmPlanWaves)->Unit(benchmark::kMicrosecond);

void BmPlanMoves(benchmark::State& run) {
  RunPlanner(run, 430, [](const auto& state, const auto& view, Plan& plan) {
    MovePlannerState memory;
    PlanMoves(state, view, kMinute, memory, plan);
  });
}
BENCHMARK(BmPlanMoves)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace godwitpaddle

BENCHMARK_MAIN();

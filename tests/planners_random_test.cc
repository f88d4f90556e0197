#include <catch2/catch.hpp>
#include <string>

#include "base/codec.h"
#include "tests/planner_simulation.h"

namespace godwitpaddle {
namespace {

constexpr const char* kConfig = R"({
  "pools": {"quoting": {"service": "quoting", "min_available": 3, "hold_down_s": 5},
            "dyeing": {"service": "dyeing", "min_available": 2, "hold_down_s": 5,
                       "one_zone_at_a_time": false},
            "notice": {"service": "notice", "min_available": 1, "spare": true, "hold_down_s": 5}},
  "vms": {"q1": {"pool": "quoting", "zone": "a"}, "q2": {"pool": "quoting", "zone": "a"},
          "q3": {"pool": "quoting", "zone": "b"}, "q4": {"pool": "quoting", "zone": "b"},
          "q5": {"pool": "quoting", "zone": "c"},
          "d1": {"pool": "dyeing", "zone": "a"}, "d2": {"pool": "dyeing", "zone": "b"},
          "d3": {"pool": "dyeing", "zone": "c"}, "d4": {"pool": "dyeing", "zone": "c"},
          "n1": {"pool": "notice", "zone": "a"}, "n2": {"pool": "notice", "zone": "b"},
          "n3": {"pool": "notice", "zone": "c"}},
  "teams": {"dyers": {"limit": 24}, "weavers": {"limit": 12}, "exporters": {"limit": 1}},
  "waves": {"monthly": {"pools": ["quoting", "dyeing", "notice"]}}})";

void ChangeDemand(PlannerSimulation& sim) {
  for (auto& [incarnation, node] : sim.nodes) {
    for (const char* team : {"dyers", "weavers", "exporters"}) {
      if (UniformUnit(sim.rng) < 0.01) {
        node.demand[team] = static_cast<int>(UniformBelow(sim.rng, 16));
      }
    }
  }
  for (const char* pool : {"quoting", "dyeing", "notice"}) {
    if (UniformUnit(sim.rng) < 0.002) {
      sim.pool_usage[pool].queued = static_cast<int>(UniformBelow(sim.rng, 80));
    }
  }
}

void ChangeLimit(PlannerSimulation& sim) {
  const std::string limit = std::to_string(2 + UniformBelow(sim.rng, 24));
  const std::string id = std::to_string(sim.log.size());
  const std::string text = R"({"teams": {"dyers": {"limit": )" + limit + "}}}";
  sim.Propose(SubmitConfig{"c" + id, sim.state.revision, "op", {{"20-t.json", text}}});
  sim.Propose(DecideReview{"a" + id, "customer", true, {"20-t.json"}});
}

/// Acts as the operator: resumes the wave if the planner paused it, and requires a stated reason.
void ResumePausedWave(PlannerSimulation& sim) {
  const WaveRecord& wave = sim.state.waves["monthly"];
  if (wave.state != WaveState::kPaused) return;
  REQUIRE_FALSE(wave.reason.empty());
  sim.Propose(ControlWave{"", "monthly", WaveAction::kResume});
}

// Guards against planners that exceed team limits or VM budgets or stop running tasks when reports
// are late, lost or outdated, and against a wave that makes no progress without a stated reason.
TEST_CASE("invariants hold and every wave ends under random faults") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    PlannerSimulation sim(seed, kConfig, 4);
    sim.faults = {.report_lost = 0.1,
                  .report_delay = 200 * kMillisecond,
                  .command_lost = 0.1,
                  .node_isolated = 0.0005,
                  .vm_lost = 0.0001,
                  .vm_silent = 0.0003,
                  .operation_fails = 0.1,
                  .leader_changes = 0.001};
    sim.Run(15 * kSecond, [&] { ChangeDemand(sim); });
    REQUIRE(sim.Propose(ControlWave{"", "monthly", WaveAction::kStart}).ok());
    for (int minute = 0; minute < 5; ++minute) {
      ChangeLimit(sim);
      sim.Run(kMinute, [&] { ChangeDemand(sim); });
      ResumePausedWave(sim);
    }
    // Without further faults the wave must end.
    sim.faults = {};
    const WaveRecord& wave = sim.state.waves["monthly"];
    for (int minute = 0; minute < 30 && wave.state != WaveState::kDone; ++minute) {
      sim.Run(kMinute);
      ResumePausedWave(sim);
    }
    REQUIRE(wave.state == WaveState::kDone);
    CHECK(wave.done.size() + wave.failed.size() == 12);
    sim.Run(kMinute);
    // Replaying the log must give the state of every node.
    for (const auto& [incarnation, node] : sim.nodes) {
      FleetState replay;
      for (std::uint64_t i = 1; i <= node.applied.applied_index; ++i) {
        Apply(replay, i, sim.log[i - 1]);
      }
      CHECK(Encode(replay) == Encode(node.applied));
    }
  }
}

}  // namespace
}  // namespace godwitpaddle

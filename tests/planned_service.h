#ifndef GODWITPADDLE_TESTS_PLANNED_SERVICE_H_
#define GODWITPADDLE_TESTS_PLANNED_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs/planner.h"

/// A state with one service, "print", and a planner, for tests of plans without nodes.
namespace godwitpaddle::testing {

inline constexpr std::int64_t kPlanWallMs = 1'700'000'000'000;

struct PlannedService {
  jobs::State state;
  jobs::StartPlanner planner{state};
  std::int64_t wall_ms = kPlanWallMs;
  Micros now = 1'000 * kSecond;
  double far_factor = 1;

  /// `weights`: of the teams by name; the key of a team is its name.
  explicit PlannedService(const std::map<std::string, double>& weights) {
    jobs::Configuration configuration{.version = 1};
    configuration.services = {{.name = "print"}};
    configuration.queues = {{.name = "quotes",
                             .host = "shop",
                             .prefix = "/q/",
                             .service = "print",
                             .attempts = 2,
                             .stretch = 2,
                             .target_latency_ms = 600,
                             .timeout_ms = 1'000},
                            {.name = "open",
                             .host = "shop",
                             .prefix = "/o/",
                             .service = "print",
                             .attempts = 2,
                             .stretch = 2,
                             .target_latency_ms = 600,
                             .timeout_ms = 1'000,
                             .open = true}};
    for (const auto& [name, weight] : weights) {
      configuration.teams.push_back({.name = name, .keys = {name}, .weight = weight});
    }
    state.Apply(jobs::Configure{.configuration = configuration});
    planner.Reset();
  }

  void AddWorker(const std::string& id, const std::string& rack, const jobs::Resources& capacity) {
    state.Apply(jobs::RecordWorker{.record = {.id = id,
                                              .incarnation_ms = 1,
                                              .service = "print",
                                              .labels = {"a", rack},
                                              .capacity = capacity}});
  }
  /// Submits a job of one step. A job of no team goes to the open queue.
  void Submit(jobs::JobId job, const std::string& team, const jobs::Step& step) {
    state.Apply(jobs::Submit{.job = job,
                             .queue = team.empty() ? "open" : "quotes",
                             .key = team,
                             .wall_ms = wall_ms,
                             .spec = {.steps = {step}},
                             .host = "shop",
                             .prefix = team.empty() ? "/o/" : "/q/"});
    planner.OnJobChanged(job);
  }
  /// Makes a plan and applies its starts.
  jobs::StartPlan Plan() {
    jobs::StartPlan plan = planner.Plan({.usable_workers =
                                             [this](const std::string&) {
                                               std::vector<jobs::UsableWorker> workers;
                                               for (const auto& [id, worker] : state.workers()) {
                                                 workers.push_back({.worker = &worker});
                                               }
                                               return workers;
                                             },
                                         .wall_ms = wall_ms,
                                         .now = now,
                                         .max_starts = 512,
                                         .far_factor = far_factor});
    for (const jobs::Assign& start : plan.starts) {
      state.Apply(start);
      planner.OnStartApplied(start);
    }
    return plan;
  }
  /// Ends the task's run as done.
  void End(const jobs::TaskId& id) {
    const jobs::Task& task = *state.FindTask(id);
    state.Apply(jobs::RecordEnd{
        .worker = task.worker, .task = id, .run = task.run, .kind = jobs::EndKind::kDone});
    planner.OnJobChanged(id.job);
  }
  void Wait(std::int64_t ms) {
    wall_ms += ms;
    now += ms * kMillisecond;
  }
  /// Number of tasks of the job that are assigned.
  std::uint32_t Assigned(jobs::JobId job) const { return state.FindJob(job)->assigned; }
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_PLANNED_SERVICE_H_

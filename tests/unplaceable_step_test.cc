#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "jobs/planner.h"

// Tests which waiting steps the planner names as needing more workers.
namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kWallMs = 1'700'000'000'000;
constexpr Resources kVm{.cpu = 64'000, .memory_mb = 128'000};
constexpr std::int64_t kPlanPauseMs = 100;
constexpr const char* kTeamKey = "k1";
constexpr Resources kTeamLimit{.cpu = 50'000};

/// Workers of one service, and a planner.
struct PlannedService {
  State state;
  StartPlanner planner{state};
  JobId last_job = 0;
  std::uint64_t ends = 0;

  explicit PlannedService(int workers) {
    Configuration configuration{.version = 1};
    configuration.services = {{.name = "print"}};
    configuration.queues = {{.name = "quotes",
                             .host = "shop",
                             .prefix = "/q/",
                             .service = "print",
                             .attempts = 3,
                             .timeout_ms = 1'000,
                             .open = true}};
    configuration.queues.push_back(configuration.queues[0]);
    configuration.queues[1].name = "mills";
    configuration.queues[1].open = false;
    configuration.teams = {{.name = "mill", .keys = {kTeamKey}, .limit = kTeamLimit}};
    state.Apply(Configure{.configuration = configuration});
    for (int i = 0; i < workers; ++i) {
      state.Apply(RecordWorker{.record = {.id = "w" + std::to_string(i),
                                          .incarnation_ms = 1,
                                          .service = "print",
                                          .capacity = kVm}});
    }
  }

  JobId Submit(const Step& step, const std::string& queue = "quotes") {
    state.Apply(jobs::Submit{.job = ++last_job,
                             .queue = queue,
                             .key = kTeamKey,
                             .wall_ms = kWallMs,
                             .spec = {.steps = {step}}});
    planner.OnJobChanged(last_job);
    return last_job;
  }
  /// Submits a job with one task and starts it on the worker.
  TaskId Occupy(const WorkerId& worker, Step step) {
    step.count = 1;
    const TaskId task{.job = Submit(step)};
    REQUIRE(state.Apply(Assign{.task = task, .run = 1, .worker = worker}) ==
            ApplyOutcome::kApplied);
    planner.OnJobChanged(task.job);
    return task;
  }
  std::vector<Assign> Plan(std::int64_t after_ms, std::int64_t clock_ahead_ms = 0) {
    const auto usable = [this](const std::string&) {
      std::vector<UsableWorker> all;
      for (const auto& [id, worker] : state.workers()) all.push_back({.worker = &worker});
      return all;
    };
    return planner
        .Plan({.usable_workers = usable,
               .wall_ms = kWallMs + after_ms + clock_ahead_ms,
               .now = after_ms * kMillisecond})
        .starts;
  }
  /// Plans for a while and returns the job for which the service needs more workers; 0: none.
  JobId NamedAfter(std::int64_t duration_ms) {
    for (std::int64_t ms = 0; ms <= duration_ms; ms += kPlanPauseMs) Plan(ms);
    const auto found = planner.unplaceable().find("print");
    return found == planner.unplaceable().end() ? 0 : found->second.job;
  }
};

constexpr std::int64_t kLongEnoughMs = 3'000;

}  // namespace

// Guards against a job that gets no worker because a smaller one, which only has to wait for short
// tasks, stands before it.
TEST_CASE("a small step without room does not hide a larger one that fits on no worker") {
  PlannedService test(2);
  for (const WorkerId worker : {"w0", "w1"}) {
    test.Occupy(worker, {.size = {.cpu = 1'000, .memory_mb = 100'000}, .long_running = true});
    test.Occupy(worker, {.size = {.cpu = 63'000, .memory_mb = 1'000}, .estimate_ms = 500});
  }
  test.Submit({.size = {.cpu = 2'000, .memory_mb = 2'000}, .estimate_ms = 500});
  const JobId large =
      test.Submit({.size = {.cpu = 3'000, .memory_mb = 60'000}, .estimate_ms = 600});
  CHECK(test.NamedAfter(kLongEnoughMs) == large);
}

// Guards against a large job that waits beside half-empty workers for as long as short tasks keep
// coming, each of which leaves it too little room.
TEST_CASE("a step that fits on no worker because of short tasks") {
  PlannedService test(4);
  const auto occupy = [&](std::int64_t cpu) {
    for (int i = 0; i < 4; ++i) {
      test.Occupy("w" + std::to_string(i), {.size = {.cpu = cpu}, .estimate_ms = 500});
    }
  };
  SECTION("needs a worker while most of the room is free") {
    occupy(25'000);
    const JobId large = test.Submit({.size = {.cpu = 40'000}, .estimate_ms = 600});
    CHECK(test.NamedAfter(kLongEnoughMs) == large);
  }
  SECTION("waits if no other VM would have its label") {
    occupy(25'000);
    test.Submit({.size = {.cpu = 40'000}, .estimate_ms = 600, .required_label = "press"});
    CHECK(test.NamedAfter(kLongEnoughMs) == 0);
  }
  SECTION("waits if its team may not run all of a gang") {
    occupy(25'000);
    const Step gang{.count = 3, .size = {.cpu = 20'000}, .estimate_ms = 600, .gang = true};
    test.Submit(gang, "mills");
    CHECK(test.NamedAfter(kLongEnoughMs) == 0);
  }
  SECTION("waits while the workers are well used") {
    occupy(50'000);
    test.Submit({.size = {.cpu = 40'000}, .estimate_ms = 600});
    CHECK(test.NamedAfter(kLongEnoughMs) == 0);
  }
}

// Guards against waits that seem long, or never long enough, because the time of day was set.
TEST_CASE("a step of the time of day does not change how long a step has waited") {
  PlannedService test(1);
  test.Occupy("w0", {.size = {.cpu = 60'000}, .estimate_ms = 500, .long_running = true});
  test.Submit({.size = {.cpu = 40'000}, .estimate_ms = 600});
  const std::int64_t step_ms = GENERATE(-10'000, 10'000);
  test.Plan(0);
  test.Plan(kPlanPauseMs, step_ms);
  CHECK(test.planner.unplaceable().at("print").waited() == kPlanPauseMs * kMillisecond);
}

// Guards against jobs that wait beside free room until the time of day has reached that of their
// acceptance again.
TEST_CASE("a job starts although the time of day was set back after its acceptance") {
  PlannedService test(1);
  test.Submit({.size = {.cpu = 1'000}, .estimate_ms = 600});
  CHECK(test.Plan(0, -5'000).size() == 1);
}

// Guards against suspects that wait for an empty worker because a gang that cannot start was tried
// on it before.
TEST_CASE("a gang that does not fit leaves empty workers to suspects") {
  PlannedService test(2);
  constexpr std::int64_t kSuspectCpu = 10'000;
  const TaskId suspect{.job = test.Submit({.size = {.cpu = kSuspectCpu}, .estimate_ms = 60'000})};
  for (std::uint32_t run = 1; run <= 2; ++run) {
    const WorkerId worker = "w" + std::to_string(run - 1);
    test.state.Apply(Assign{.task = suspect, .run = run, .worker = worker});
    // The worker comes back after a crash, and the run is lost.
    test.state.Apply(RecordWorker{
        .record = {.id = worker, .incarnation_ms = 1 + run, .service = "print", .capacity = kVm}});
    test.state.Apply(RecordEnd{.worker = worker,
                               .incarnation_ms = 1 + run,
                               .task = suspect,
                               .run = run,
                               .kind = EndKind::kLost,
                               .wall_ms = kWallMs});
  }
  REQUIRE(test.state.FindTask(suspect)->crashes.size() == 2);
  test.Submit({.count = 3, .size = {.cpu = 40'000}, .estimate_ms = 500, .gang = true});
  const std::vector<Assign> starts = test.Plan(0);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].task == suspect);
}

}  // namespace godwitpaddle::jobs

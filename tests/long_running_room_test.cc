#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "jobs/planner.h"

// Tests how long a long-running task waits for a worker that other tasks keep away from it.
namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kCrashMs = 1'700'000'000'000;
/// A long-running task runs again within 9 s. Up to 4.2 s of these pass before the loss is known.
constexpr std::int64_t kMaxWaitMs = 4'000;
constexpr JobId kJob = 1;

/// Two workers, and a long-running job with more tasks than workers that have crashed with them.
struct CrashedService {
  State state;
  StartPlanner planner{state};

  CrashedService() {
    Configuration configuration{.version = 1};
    configuration.services = {{.name = "print"}};
    configuration.queues = {
        {.name = "quotes", .prefix = "/q/", .service = "print", .attempts = 3, .open = true}};
    state.Apply(Configure{.configuration = configuration});
    Record("a", 1);
    Record("b", 1);
    Submit submit{.job = kJob, .queue = "quotes", .wall_ms = kCrashMs - 60'000};
    submit.spec.steps = {{.count = 6, .size = {.cpu = 1'000}, .long_running = true}};
    state.Apply(submit);
    for (std::uint32_t index = 0; index < 6; ++index) {
      const WorkerId worker = index < 3 ? "a" : "b";
      state.Apply(Assign{.task = {.job = kJob, .index = index}, .run = 1, .worker = worker});
    }
    Record("a", 2);
    Record("b", 2);
    for (std::uint32_t index = 0; index < 6; ++index) {
      state.Apply(RecordEnd{.worker = index < 3 ? "a" : "b",
                            .incarnation_ms = 2,
                            .task = {.job = kJob, .index = index},
                            .run = 1,
                            .kind = EndKind::kLost,
                            .wall_ms = kCrashMs,
                            .begun = true});
    }
  }

  void Record(const WorkerId& id, std::int64_t incarnation_ms) {
    state.Apply(RecordWorker{.record = {.id = id,
                                        .incarnation_ms = incarnation_ms,
                                        .service = "print",
                                        .capacity = {.cpu = 16'000}}});
  }

  std::vector<UsableWorker> Usable() const {
    std::vector<UsableWorker> all;
    for (const auto& [id, worker] : state.workers()) all.push_back({.worker = &worker});
    return all;
  }

  /// Plans at this time after the crash and applies the starts.
  void PlanAt(std::int64_t after_ms, const std::vector<UsableWorker>& usable) {
    const StartPlan plan =
        planner.Plan({.usable_workers = [&](const std::string&) { return usable; },
                      .wall_ms = kCrashMs + after_ms,
                      .now = after_ms * kMillisecond});
    for (const Assign& start : plan.starts) {
      REQUIRE(state.Apply(start) == ApplyOutcome::kApplied);
      planner.OnStartApplied(start);
    }
  }

  std::uint32_t Assigned() const { return state.FindJob(kJob)->assigned; }
};

}  // namespace

// Guards against long-running tasks that wait for as long as others, which may have crashed a
// worker, have each worker for themselves.
TEST_CASE("more long-running tasks than workers run again soon after a crash of all workers") {
  CrashedService test;
  test.planner.Reset();
  test.planner.OnJobChanged(kJob);
  for (std::int64_t ms = 0; ms <= kMaxWaitMs; ms += 100) test.PlanAt(ms, test.Usable());
  CHECK(test.Assigned() == 6);
}

// Guards against a long-running task that starts on a worker whose loss would be known late.
TEST_CASE("a long-running task rather starts where no long lease is held") {
  CrashedService test;
  std::vector<UsableWorker> usable = test.Usable();
  usable.at(0).long_lease = true;
  test.planner.Reset();
  test.planner.OnJobChanged(kJob);
  SECTION("if such a worker has room") {
    for (std::int64_t ms = 0; ms <= kMaxWaitMs; ms += 100) test.PlanAt(ms, usable);
    CHECK(test.state.FindWorker("b")->tasks.size() >= 5);
  }
  SECTION("else on any") {
    usable.pop_back();
    for (std::int64_t ms = 0; ms <= kMaxWaitMs; ms += 100) test.PlanAt(ms, usable);
    CHECK(test.Assigned() == 6);
  }
}

}  // namespace godwitpaddle::jobs

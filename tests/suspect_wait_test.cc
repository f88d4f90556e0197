#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "jobs/planner.h"

// Tests how long a task waits that may have crashed its worker, while other workers have room.
namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kCrashMs = 1'700'000'000'000;
/// A job must not have nothing running for longer than this while there is room for it.
constexpr std::int64_t kMaxIdleMs = 3'000;
constexpr std::uint32_t kWorkers = 4;
constexpr JobId kCrashedJob = 1;
constexpr JobId kOtherJob = 2;

WorkerId NameOfWorker(std::uint32_t index) { return "w" + std::to_string(index); }

/// Workers that crashed under the tasks of one job, one on each, and are back with another job's
/// tasks.
struct CrashedWorkers {
  State state;
  StartPlanner planner{state};
  std::int64_t incarnation_ms = 1;

  CrashedWorkers() {
    Configuration configuration{.version = 1};
    configuration.services = {{.name = "print"}};
    configuration.queues = {{.name = "quotes",
                             .host = "shop",
                             .prefix = "/q/",
                             .service = "print",
                             .attempts = 3,
                             .timeout_ms = 1'000,
                             .open = true}};
    state.Apply(Configure{.configuration = configuration});
    for (std::uint32_t i = 0; i < kWorkers; ++i) Record(i);
  }

  void Record(std::uint32_t worker) {
    state.Apply(RecordWorker{.record = {.id = NameOfWorker(worker),
                                        .incarnation_ms = incarnation_ms,
                                        .service = "print",
                                        .capacity = {.cpu = 16'000}}});
  }

  void Submit(JobId job, bool long_running) {
    state.Apply(jobs::Submit{.job = job,
                             .queue = "quotes",
                             .wall_ms = kCrashMs,
                             .spec = {.steps = {{.count = kWorkers,
                                                 .size = {.cpu = 1'000},
                                                 .estimate_ms = 600,
                                                 .long_running = long_running,
                                                 .max_per_worker = 1}}}});
  }

  /// Starts one task of the job on each worker.
  void Start(JobId job, std::uint32_t run) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      REQUIRE(state.Apply(Assign{
                  .task = {.job = job, .index = i}, .run = run, .worker = NameOfWorker(i)}) ==
              ApplyOutcome::kApplied);
    }
  }

  /// Each worker crashes under the job's task and is back at once.
  void Crash(JobId job, std::uint32_t run) {
    ++incarnation_ms;
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      Record(i);
      state.Apply(MakeLoss(job, run, i));
    }
  }

  RecordEnd MakeLoss(JobId job, std::uint32_t run, std::uint32_t index) const {
    return {.worker = NameOfWorker(index),
            .incarnation_ms = incarnation_ms,
            .task = {.job = job, .index = index},
            .run = run,
            .kind = EndKind::kLost,
            .wall_ms = kCrashMs};
  }

  /// Returns the number of starts that a plan makes at this time after the crash.
  std::size_t PlanAt(std::int64_t after_ms) {
    planner.Reset();
    const auto usable = [this](const std::string&) {
      std::vector<UsableWorker> all;
      for (const auto& [id, worker] : state.workers()) all.push_back({.worker = &worker});
      return all;
    };
    return planner
        .Plan({.usable_workers = usable,
               .wall_ms = kCrashMs + after_ms,
               .now = after_ms * kMillisecond})
        .starts.size();
  }
};

// Guards against tasks that stay idle beside free room after an outage of a rack, because each
// waits for an empty worker.
TEST_CASE("a task whose worker has crashed once") {
  CrashedWorkers test;
  const bool lasts = GENERATE(true, false);
  CAPTURE(lasts);
  test.Submit(kCrashedJob, lasts);
  test.Start(kCrashedJob, 1);
  test.Crash(kCrashedJob, 1);
  REQUIRE(test.state.FindTask({.job = kCrashedJob})->suspect());
  SECTION("starts at once on an empty worker") { CHECK(test.PlanAt(0) == kWorkers); }
  SECTION("starts at once beside tasks that last: no wait would empty a worker") {
    test.Submit(kOtherJob, true);
    test.Start(kOtherJob, 1);
    CHECK(test.PlanAt(0) == kWorkers);
  }
  SECTION("waits for a worker whose tasks end") {
    test.Submit(kOtherJob, false);
    test.Start(kOtherJob, 1);
    CHECK(test.PlanAt(0) == 0);
    SECTION("and starts on it") {
      RecordEnd end = test.MakeLoss(kOtherJob, 1, 2);
      end.number = 1;
      end.kind = EndKind::kDone;
      test.state.Apply(end);
      CHECK(test.PlanAt(500) >= 1);
    }
    SECTION("but not for as long as a job may be idle") {
      CHECK(test.PlanAt(kMaxIdleMs - 500) == kWorkers);
    }
  }
}

// Guards against a wait for what is not known yet, which kept tasks idle beside free room after two
// losses, although three crashes are needed to give a task up.
TEST_CASE("a task whose runs were lost without a known crash") {
  CrashedWorkers test;
  test.Submit(kCrashedJob, false);
  constexpr std::uint32_t kMostFree = 3;  // may be crashes; two more starts are allowed after three
  for (std::uint32_t run = 1; run <= kMostFree; ++run) {
    test.Start(kCrashedJob, run);
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      test.state.Apply(test.MakeLoss(kCrashedJob, run, i));
    }
    CAPTURE(run);
    CHECK(test.PlanAt(0) == kWorkers);
  }
  SECTION("is held once another start might be one too many") {
    test.Start(kCrashedJob, kMostFree + 1);
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      test.state.Apply(test.MakeLoss(kCrashedJob, kMostFree + 1, i));
    }
    CHECK(test.PlanAt(0) == 0);
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

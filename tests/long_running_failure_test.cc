#include <catch2/catch.hpp>

#include "tests/manual_worker_fleet.h"

// Tests what the failures of long-running tasks say about their worker.
namespace godwitpaddle::testing {
namespace {

constexpr jobs::TaskId kTask = {.job = 77};

/// Starts the task on worker "a"; its run ends as failed after this time.
void StartAndFail(ManualWorkerFleet& lab, Micros after) {
  REQUIRE(lab.Assign(kTask, "a") == jobs::ApplyOutcome::kApplied);
  const std::uint32_t run = lab.state.FindTask(kTask)->run;
  WorkerIncarnation& worker = lab.workers.at("a");
  const jobs::OrderEffect start = lab.Take<jobs::StartOrder>("a");
  worker.running = {{.task = kTask, .run = run, .speed_percent = 100}};
  lab.Answer(start, jobs::OrderOutcome::kDone);
  lab.Wait(after);
  worker.running.clear();
  worker.ended = {{.number = run, .task = kTask, .run = run, .kind = jobs::EndKind::kFailed}};
  lab.Wait(200 * kMillisecond);
  REQUIRE(lab.Waiting(kTask));
}

}  // namespace

// Guards against sound workers that get no tasks for up to 16 s because long-running tasks, which
// may fail at any time, have failed there: nothing that ends as done sets their count back.
TEST_CASE("a worker on which a long-running task has failed three times") {
  ManualWorkerFleet lab;
  jobs::Submit submit{.job = kTask.job, .queue = "quotes", .wall_ms = lab.Wall()};
  submit.spec.steps = {{.count = 1, .size = {.cpu = 1'000}, .long_running = true}};
  lab.state.Apply(submit);
  lab.AddWorker("a", "vm-a");
  SECTION("after some work gets further tasks") {
    for (int i = 0; i < 3; ++i) StartAndFail(lab, 6 * kSecond);
    CHECK(lab.fleet.IsUsable("a", lab.now));
  }
  SECTION("at once gets none for a while") {
    for (int i = 0; i < 3; ++i) StartAndFail(lab, 10 * kMillisecond);
    CHECK_FALSE(lab.fleet.IsUsable("a", lab.now));
  }
}

}  // namespace godwitpaddle::testing

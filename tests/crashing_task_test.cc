#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/print_cluster.h"

// Tests tasks that crash each worker that starts them.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;
using jobs::JobPhase;

constexpr jobs::JobId kDeadlyJob = 1;
constexpr jobs::TaskId kDeadlyTask = {.job = kDeadlyJob};

jobs::JobCall MakeDeadlyJob(jobs::JobId job = kDeadlyJob) {
  jobs::JobCall call = MakePrintJob(job, 1, 1'000);
  call.spec.payload += " deadly";
  return call;
}

/// A cluster with workers of four tasks each, and innocent jobs besides the deadly ones.
struct CrashCluster {
  JobCluster cluster;
  jobs::JobId next_job = 100;

  explicit CrashCluster(JobClusterOptions options = {}, std::size_t workers = 6)
      : cluster(options) {
    StartPrintCluster(cluster, workers, 4);
  }

  void Submit(const jobs::JobCall& call) {
    REQUIRE(cluster.CallAndWait(cluster.edge(0), call).code == AnswerCode::kOk);
  }

  /// Submits an innocent job of two tasks every 200 ms meanwhile.
  void RunWithTraffic(Micros time) {
    const Micros until = cluster.now() + time;
    while (cluster.now() < until) {
      cluster.Call(cluster.edge(0), MakePrintJob(next_job++, 2, 400), [](const jobs::Answer&) {});
      cluster.RunFor(200 * kMillisecond);
    }
  }

  const jobs::State& state() {
    REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 10 * kSecond));
    return cluster.state(*cluster.Leader());
  }

  JobPhase PhaseOf(jobs::JobId job) { return state().FindJob(job)->phase; }

  std::size_t CountInnocent(JobPhase phase) {
    std::size_t count = 0;
    for (const auto& [id, job] : state().jobs()) {
      if (id >= 100 && job.phase == phase) ++count;
    }
    return count;
  }

  void CheckNoViolations() {
    for (const std::string& violation : cluster.violations) UNSCOPED_INFO(violation);
    CHECK(cluster.violations.empty());
  }
};

// Guards against a task that crashes one worker after the other: its runs that were lost with their
// workers counted for nothing, and it was started without end.
TEST_CASE("a task that crashes each worker that starts it is given up") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  options.crash_away = GENERATE(Micros{1}, Micros{3}, Micros{6}) * kSecond;
  options.crash_renames = GENERATE(false, true);
  CAPTURE(options.seed, options.crash_away, options.crash_renames);
  CrashCluster test(options);
  test.RunWithTraffic(2 * kSecond);
  test.Submit(MakeDeadlyJob());
  SECTION("and its job is shown as failed, while the jobs beside it complete") {
    test.RunWithTraffic(50 * kSecond);
    test.cluster.RunFor(10 * kSecond);
    CHECK(test.PhaseOf(kDeadlyJob) == JobPhase::kFailed);
    CHECK(test.CountInnocent(JobPhase::kFailed) == 0);
    CHECK(test.CountInnocent(JobPhase::kRunning) + test.CountInnocent(JobPhase::kQueued) == 0);
  }
  SECTION("also by leaders that did not see the crashes") {
    for (int i = 0; i < 10; ++i) {
      test.RunWithTraffic(5 * kSecond);
      const auto leader = test.cluster.Leader();
      if (!leader) continue;
      test.cluster.Kill(*leader);
      test.cluster.After(2 * kSecond, [&, leader] { test.cluster.Start(*leader); });
    }
    test.cluster.RunFor(30 * kSecond);
    CHECK(test.PhaseOf(kDeadlyJob) == JobPhase::kFailed);
    CHECK(test.CountInnocent(JobPhase::kFailed) == 0);
  }
  CHECK(test.cluster.CrashesUnder(kDeadlyTask) >= 2);
  test.CheckNoViolations();
}

// Guards against an innocent job that is shown as failed: its task had worked for seconds each time
// when its worker crashed, so it did not crash the worker by starting.
TEST_CASE("a task that had worked for seconds is not the cause of its worker's crash") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  CrashCluster test(options);
  test.Submit(MakePrintJob(1, 1, 60'000));
  for (int crash = 0; crash < 2; ++crash) {
    test.cluster.RunFor(10 * kSecond);
    const jobs::Task* task = test.state().FindTask({.job = 1});
    REQUIRE(task != nullptr);
    REQUIRE(task->phase == jobs::TaskPhase::kAssigned);
    const jobs::WorkerId worker = task->worker;
    test.cluster.CrashWorker(worker);
    test.cluster.RunFor(3 * kSecond);
    test.cluster.RestartWorker(worker);
    test.cluster.RunFor(5 * kSecond);
  }
  CHECK(test.PhaseOf(1) != JobPhase::kFailed);
  test.CheckNoViolations();
}

// Guards against the exemption of gangs, whose lost runs have no limit.
TEST_CASE("a gang that crashes its workers is given up too") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  CAPTURE(options.seed);
  CrashCluster test(options);
  jobs::JobCall job = MakeDeadlyJob();
  job.spec.steps[0].gang = true;
  job.spec.steps[0].count = 2;
  test.RunWithTraffic(2 * kSecond);
  test.Submit(job);
  test.RunWithTraffic(50 * kSecond);
  CHECK(test.PhaseOf(kDeadlyJob) == JobPhase::kFailed);
  CHECK(test.CountInnocent(JobPhase::kFailed) == 0);
  test.CheckNoViolations();
}

// Guards against a long-running task that is started without end although it crashes its workers.
TEST_CASE("a long-running task that crashes its workers is started ever more rarely") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  CAPTURE(options.seed);
  CrashCluster test(options);
  jobs::JobCall job = MakeDeadlyJob();
  job.spec.steps[0].long_running = true;
  test.RunWithTraffic(2 * kSecond);
  test.Submit(job);
  test.RunWithTraffic(50 * kSecond);
  CHECK(test.state().FindJob(kDeadlyJob)->active());
  CHECK(test.cluster.CrashesUnder(kDeadlyTask) >= 3);
  CHECK(test.CountInnocent(JobPhase::kFailed) == 0);
  test.CheckNoViolations();
}

// Guards against sound long-running tasks that are stopped because another task of their job was
// hit by one crash after the other.
TEST_CASE("a long-running job goes on when the workers of one task crash again and again") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  CAPTURE(options.seed);
  CrashCluster test(options);
  jobs::JobCall job = MakePrintJob(kDeadlyJob, 4, 500'000);
  job.spec.steps[0].long_running = true;
  job.spec.steps[0].max_per_worker = 1;
  job.spec.steps[0].max_unavailable = 1;
  test.Submit(job);
  test.RunWithTraffic(2 * kSecond);
  const auto is_assigned = [&](std::uint32_t index) {
    const jobs::Task* task = test.state().FindTask({.job = kDeadlyJob, .index = index});
    return task != nullptr && task->phase == jobs::TaskPhase::kAssigned;
  };
  for (int crash = 0; crash < 6; ++crash) {
    REQUIRE(test.cluster.RunUntilTrue([&] { return is_assigned(0); }, 60 * kSecond));
    test.cluster.RunFor(kSecond);
    const jobs::WorkerId worker = test.state().FindTask({.job = kDeadlyJob})->worker;
    test.cluster.CrashWorker(worker);
    test.cluster.RunFor(kSecond);
    test.cluster.RestartWorker(worker);
    test.cluster.RunFor(2 * kSecond);
    CHECK(test.state().FindJob(kDeadlyJob)->active());
    for (std::uint32_t index = 1; index < 4; ++index) {
      CAPTURE(crash, index);
      REQUIRE(is_assigned(index));
      CHECK(test.state().FindTask({.job = kDeadlyJob, .index = index})->run == 1);
    }
  }
  test.CheckNoViolations();
}

// Guards against a long-running task that is given up, or that waits, because others crash the
// workers on which it works.
TEST_CASE("a long-running task survives the crashes of its workers under other tasks") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  CAPTURE(options.seed);
  CrashCluster test(options, 4);
  jobs::JobCall lasting = MakePrintJob(50, 4, 500'000);
  lasting.spec.steps[0].long_running = true;
  test.Submit(lasting);
  for (jobs::JobId job = 1; job <= 8; ++job) {
    test.Submit(MakeDeadlyJob(job));
    test.RunWithTraffic(8 * kSecond);
  }
  test.cluster.RunFor(40 * kSecond);
  for (jobs::JobId job = 1; job <= 8; ++job) CHECK(test.PhaseOf(job) == JobPhase::kFailed);
  CHECK(test.PhaseOf(50) == JobPhase::kRunning);
  CHECK(test.state().FindJob(50)->assigned == 4);
  CHECK(test.CountInnocent(JobPhase::kFailed) == 0);
  test.CheckNoViolations();
}

// Guards against tasks that are blamed for workers which were only cut off, drained or without
// power.
TEST_CASE("a task is not blamed") {
  JobClusterOptions options;
  options.seed = GENERATE(1, 2, 3);
  CAPTURE(options.seed);
  CrashCluster test(options);
  const auto ids = [&] {
    std::vector<jobs::WorkerId> all;
    for (const auto& [id, worker] : test.cluster.workers()) {
      if (worker.alive) all.push_back(id);
    }
    return all;
  };
  test.Submit(MakePrintJob(kDeadlyJob, 1, 6'000));
  const auto work = [&](const auto& disturb) {
    for (int i = 0; i < 6; ++i) {
      test.RunWithTraffic(2 * kSecond);
      disturb();
      test.RunWithTraffic(7 * kSecond);
    }
    test.cluster.RunFor(30 * kSecond);
  };
  SECTION("for workers that are cut off") {
    work([&] {
      for (const jobs::WorkerId& id : ids()) test.cluster.CutWorker(id, 6 * kSecond);
    });
    for (const auto& [id, job] : test.state().jobs()) {
      for (const jobs::StepRun& step : job.steps) {
        for (const jobs::Task& task : step.tasks) CHECK(task.crashes.empty());
      }
    }
  }
  SECTION("for workers that drain") {
    work([&] {
      int count = 0;
      for (const jobs::WorkerId& id : ids()) {
        if (++count <= 3) test.cluster.DrainWorker(id);
      }
    });
  }
  SECTION("for one power loss of all workers") {
    test.RunWithTraffic(2 * kSecond);
    for (const jobs::WorkerId& id : ids()) {
      test.cluster.CrashWorker(id);
      test.cluster.After(4 * kSecond, [&test, id] { test.cluster.RestartWorker(id); });
    }
    test.RunWithTraffic(20 * kSecond);
    test.cluster.RunFor(30 * kSecond);
  }
  CHECK(test.CountInnocent(JobPhase::kFailed) == 0);
  CHECK(test.CountInnocent(JobPhase::kRunning) + test.CountInnocent(JobPhase::kQueued) == 0);
  test.CheckNoViolations();
}

}  // namespace
}  // namespace godwitpaddle::testing

#include <catch2/catch.hpp>

#include "tests/manual_worker_fleet.h"

// Tests the runs that a leader keeps of a gang after the end of one of its tasks has ended all of
// them in the state, which keeps no details of a completed job.
namespace godwitpaddle::testing {
namespace {

using jobs::EndKind;
using jobs::OrderOutcome;

/// A gang of two tasks on two workers. The first worker has answered its start.
struct Gang {
  ManualWorkerFleet lab;
  jobs::JobId job = 0;

  Gang() {
    job = lab.next_job++;
    jobs::Submit submit{.job = job, .queue = "quotes", .wall_ms = lab.Wall()};
    submit.spec.payload = "text";
    submit.spec.steps = {{.count = 2, .size = {.cpu = 1'000}, .estimate_ms = 1'000, .gang = true}};
    lab.state.Apply(submit);
    lab.AddWorker("a", "vm-a");
    lab.AddWorker("b", "vm-b");
    lab.Assign(Task(0), "a");
    lab.Assign(Task(1), "b");
    lab.Answer(lab.Take<jobs::StartOrder>("a"), OrderOutcome::kDone);
    lab.workers.at("a").running = {{.task = Task(0), .run = 1}};
  }

  jobs::TaskId Task(std::uint32_t index) const { return {.job = job, .index = index}; }
  /// The first worker lists that its run is done, as the gang is.
  void EndOnFirstWorker() {
    lab.workers.at("a").running.clear();
    lab.workers.at("a").ended = {{.number = 1, .task = Task(0), .run = 1, .kind = EndKind::kDone}};
  }
  /// Checks that the gang is done, and that the leader keeps no run of it and starts none again.
  void CheckEnded() {
    CHECK(lab.state.FindJob(job)->phase == jobs::JobPhase::kCompleted);
    CHECK(lab.Pending<jobs::StartOrder>("b") == 0);
    CHECK(lab.fleet.CompareNextRuns().empty());
    CHECK_FALSE(lab.fleet.RunTime("b", Task(1), 1, lab.now).has_value());
  }
};

}  // namespace

// Guards against a leader that ends when a worker with an inherited run of an ended gang restarts.
TEST_CASE("a gang that ends while the leader changes") {
  Gang gang;
  ManualWorkerFleet& lab = gang.lab;
  lab.Answer(lab.Take<jobs::StartOrder>("b"), OrderOutcome::kDone);
  lab.workers.at("b").running = {{.task = gang.Task(1), .run = 1}};
  lab.Wait(200 * kMillisecond);
  gang.EndOnFirstWorker();
  SECTION("and the other worker restarts under its id") {
    lab.Restart("b");
    lab.ChangeLeader();
    lab.Wait(2 * kSecond);
    gang.CheckEnded();
    CHECK(lab.LastReason() == "unlisted");
  }
  SECTION("and the other worker lists its end too") {
    lab.workers.at("b").running.clear();
    lab.workers.at("b").ended = {
        {.number = 1, .task = gang.Task(1), .run = 1, .kind = EndKind::kDone}};
    lab.ChangeLeader();
    lab.Wait(2 * kSecond);
    gang.CheckEnded();
  }
  SECTION("and the other worker is replaced by a newer one on its VM") {
    lab.silent_workers = {"b"};
    lab.ChangeLeader();
    lab.AddWorker("c", "vm-b").incarnation_ms = lab.Wall();
    lab.Report(lab.workers.at("c"));
    lab.Wait(2 * kSecond);
    gang.CheckEnded();
  }
}

// Guards against a start that is sent again, without a payload, for a task of an ended gang.
TEST_CASE("a gang that ends before the start of one of its tasks is answered") {
  Gang gang;
  ManualWorkerFleet& lab = gang.lab;
  lab.Answer(lab.Take<jobs::StartOrder>("b"), {.outcome = OrderOutcome::kUnknown});
  gang.EndOnFirstWorker();
  lab.Restart("b");
  lab.Wait(2 * kSecond);
  CHECK(lab.Pending<jobs::StartOrder>("b") == 0);
  REQUIRE(lab.Pending<jobs::StopOrder>("b") == 1);
  lab.Answer(lab.Take<jobs::StopOrder>("b"), OrderOutcome::kDone);
  lab.Wait(2 * kSecond);
  gang.CheckEnded();
}

}  // namespace godwitpaddle::testing

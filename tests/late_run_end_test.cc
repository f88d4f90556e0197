#include <catch2/catch.hpp>

#include "tests/manual_worker_fleet.h"

// Tests the ends that a worker lists for a run after the leader has abandoned that run.
namespace godwitpaddle::testing {
namespace {

using jobs::EndKind;
using jobs::RenewLeaseOrder;

using jobs::OrderEffect;
using jobs::OrderOutcome;
using jobs::StartOrder;
using jobs::StopOrder;

// Guards against a task that starts again, or never ends, when the worker lists the end of its run
// after the leader has abandoned the run; and against an end that counts twice.
TEST_CASE("an end of an abandoned run") {
  SingleWorkerFleet test;
  test.AddWorker("worker-2", "vm-2");
  test.StartAndList();
  test.Silence();
  test.Answer(test.NextLeaseRenewal(), OrderOutcome::kUnknown);
  while (test.Assigned(test.task)) test.Wait(100 * kMillisecond);
  REQUIRE(test.LastReason() == "lapsed");
  const auto acknowledged_ends = [&test] {
    return test.state.FindWorker(kWorker)->acknowledged_ends;
  };
  const auto answer_lists = [&test] {
    test.silent_workers.clear();
    if (test.Pending<RenewLeaseOrder>(kWorker) > 0) {
      test.Answer(test.Take<RenewLeaseOrder>(kWorker), test.MakeLists(test.worker()));
    }
    test.Wait(kSecond);
  };
  SECTION("as done completes the waiting task") {
    test.ListAsEnded(EndKind::kDone);
    answer_lists();
    CHECK(test.PhaseOf(test.task) == jobs::TaskPhase::kDone);
    CHECK(test.state.FindJob(ManualWorkerFleet::kJob)->phase == jobs::JobPhase::kCompleted);
    CHECK(acknowledged_ends() == 1);
    CHECK(test.worker().ended.empty());  // the worker discarded it when it was acknowledged
  }
  SECTION("as done, while another run is assigned") {
    REQUIRE(test.Assign(test.task, "worker-2") == jobs::ApplyOutcome::kApplied);
    const OrderEffect start = test.Take<StartOrder>("worker-2");
    test.workers.at("worker-2").running = {{.task = test.task, .run = 2, .speed_percent = 100}};
    test.Answer(start, OrderOutcome::kDone);
    test.Wait(100 * kMillisecond);
    test.ListAsEnded(EndKind::kDone);
    answer_lists();
    REQUIRE(test.Assigned(test.task));
    CHECK(acknowledged_ends() == 1);
    SECTION("stops that run, after which the task is done") {
      REQUIRE(test.Pending<StopOrder>("worker-2") == 1);
      test.Answer(test.Take<StopOrder>("worker-2"), OrderOutcome::kDone);
      test.workers.at("worker-2").running.clear();
      test.Wait(kSecond);
      CHECK(test.PhaseOf(test.task) == jobs::TaskPhase::kDone);
      CHECK(test.state.FindJob(ManualWorkerFleet::kJob)->phase == jobs::JobPhase::kCompleted);
    }
    SECTION("stops that run under the next leader too") {
      test.ChangeLeader();
      test.Wait(kSecond);
      CHECK(test.Pending<StopOrder>("worker-2") == 1);
      CHECK(test.Assigned(test.task));
    }
    SECTION("does not lead to a third run when the worker of that run is lost") {
      test.silent_workers = {"worker-2"};
      test.Wait(10 * kSecond);
      CHECK(test.PhaseOf(test.task) == jobs::TaskPhase::kDone);
    }
  }
  SECTION("as failed counts as one of the attempts") {
    test.ListAsEnded(EndKind::kFailed);
    answer_lists();
    CHECK(test.Waiting(test.task));
    CHECK(test.state.FindTask(test.task)->failed_runs == 1);
  }
}

// Guards against a job that fails before its attempts are used up, because a failed end counts
// again when the worker lists it to the next leader.
TEST_CASE("a failed end that is listed again") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect renewal = test.NextLeaseRenewal();
  test.ListAsEnded(EndKind::kFailed);
  test.Answer(renewal, test.MakeLists(test.worker()));
  REQUIRE(test.state.FindTask(test.task)->failed_runs == 1);
  SECTION("counts only once after a change of leader") {
    test.ChangeLeader();
    test.silent_workers.clear();
    test.Wait(kSecond);
    CHECK(test.state.FindTask(test.task)->failed_runs == 1);
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

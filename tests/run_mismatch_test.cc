#include <catch2/catch.hpp>
#include <vector>

#include "tests/manual_worker_fleet.h"

// Tests that the leader notices tasks that are assigned to workers without its knowing of the run.
namespace godwitpaddle::testing {

// Guards against a task that counts as running for good although no worker runs it, and nobody asks
// for it.
TEST_CASE("the state and the leader's runs are compared") {
  ManualWorkerFleet test;
  test.AddWorker("w1", "vm-1");
  test.AddWorker("w2", "vm-2");
  const jobs::TaskId task = test.FirstTask();
  SECTION("they agree after a start") {
    test.Assign(task, "w1");
    CHECK(test.fleet.CompareNextRuns().empty());
  }
  SECTION("a start that the leader was not told of is found") {
    test.state.Apply(jobs::Assign{.task = task, .run = 1, .worker = "w2"});
    const std::vector<jobs::RunMismatch> found = test.fleet.CompareNextRuns();
    REQUIRE(found.size() == 1);
    CHECK(found[0].worker == "w2");
    CHECK(found[0].task == task);
    CHECK(found[0].assigned_run == 1);
    CHECK(found[0].known_run == 0);
    SECTION("and the next leader knows it") {
      test.ChangeLeader();
      CHECK(test.fleet.CompareNextRuns().empty());
    }
  }
}

}  // namespace godwitpaddle::testing

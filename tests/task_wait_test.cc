#include <catch2/catch.hpp>

#include "control/wait_report.h"
#include "jobs/unapplied_starts.h"
#include "tests/manual_worker_fleet.h"

// Tests the reasons that are reported for tasks that wait.
namespace godwitpaddle::testing {

// Guards against a report that cannot tell a start which is on its way from a forgotten task.
TEST_CASE("a waiting task beside a worker with room for one task") {
  ManualWorkerFleet lab;
  lab.AddWorker("a", "vm-a");
  lab.Submit(1);
  const jobs::TaskId first = lab.FirstTask();
  const jobs::TaskId second{.job = ManualWorkerFleet::kJob + 1};
  jobs::UnappliedStarts unapplied;
  jobs::WaitReport report(lab.state, lab.fleet, unapplied,
                          [] { return std::unordered_set<std::string_view>(); });
  const auto reason = [&](const jobs::TaskId& task) {
    return report.Explain(task, lab.now, lab.Wall()).reason;
  };
  auto small = lab.MakeReport(lab.workers.at("a"));
  small.record.capacity = {.cpu = 1'000};
  lab.Deliver(small);
  REQUIRE(reason(first) == jobs::WaitReason::kNone);
  REQUIRE(reason(second) == jobs::WaitReason::kNone);
  SECTION("while its start is planned") {
    unapplied.Add({.task = first, .run = 1, .worker = "a"}, *lab.state.FindJob(first.job));
    CHECK(reason(first) == jobs::WaitReason::kPlanned);
    SECTION("which takes the room from other tasks") {
      CHECK(reason(second) == jobs::WaitReason::kNoRoom);
    }
  }
}

}  // namespace godwitpaddle::testing

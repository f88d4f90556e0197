#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "tests/manual_worker_fleet.h"
#include "tests/print_cluster.h"

// Tests reports of writers that are no workers, and what a report of a worker proves of others.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

/// A report of a worker that does not exist, from the VM.
jobs::HeartbeatCall MakeForeignReport(const std::string& service, const jobs::VmId& vm,
                                      std::int64_t incarnation_ms) {
  return {.record = {.id = "agent-1",
                     .incarnation_ms = incarnation_ms,
                     .address = "127.0.0.9:9",
                     .service = service,
                     .zone = "a",
                     .vm = vm,
                     .labels = {"a", "r1"},
                     .capacity = {.cpu = 8'000}},
          .sequence = 1,
          .clock_ms = 1'000};
}

// Guards against core processes that end one after the other, and against tasks that run twice,
// because a report of a writer that is no worker reached the replicated state.
TEST_CASE("a report that names a service of no configuration") {
  JobCluster cluster({.seed = 7});
  StartPrintCluster(cluster, 4, 4);
  REQUIRE(cluster.CallAndWait(cluster.edge(0), MakePrintJob(1, 4, 6'000)).code == AnswerCode::kOk);
  cluster.RunFor(kSecond);
  const jobs::VmId vm = cluster.state(*cluster.Leader()).workers().begin()->second.record.vm;
  const auto incarnation = GENERATE(std::int64_t{-1}, JobCluster::kWallStart + 1'000);
  CAPTURE(incarnation);
  for (int i = 0; i < 3; ++i) {
    const auto answer = cluster.CallAndWait(i, MakeForeignReport("node-agent", vm, incarnation));
    CHECK(answer.code == AnswerCode::kInvalid);
    cluster.RunFor(kSecond);
  }
  SECTION("leaves no trace in the state") {
    for (std::size_t core = 0; core < cluster.cores(); ++core) {
      CHECK(cluster.state(core).FindWorker("agent-1") == nullptr);
      CHECK(cluster.state(core).worker_count() == 4);
    }
  }
  SECTION("does not disturb the tasks of the workers") {
    cluster.RunFor(8 * kSecond);
    CHECK(cluster.state(*cluster.Leader()).FindJob(1)->phase == jobs::JobPhase::kCompleted);
    CHECK(cluster.violations.empty());
  }
}

// Guards against a second run beside the first: the report of a newer worker on the VM counted as
// proof that the earlier one had ended, although nobody answered at its address.
TEST_CASE("a report of a newer worker on the same VM that answers no order proves nothing") {
  SingleWorkerFleet test;
  test.StartAndList();
  const auto work_on = [&] {
    for (int i = 0; i < 6; ++i) {
      test.Wait(kSecond);
      test.Report(test.worker());
    }
    CHECK(test.Assigned(test.task));
    CHECK(test.LastReason().empty());
  };
  test.Deliver(MakeForeignReport("print", "vm-1", test.Wall()));
  work_on();
  SECTION("nor does it to the next leader") {
    test.ChangeLeader();
    work_on();
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

#include <catch2/catch.hpp>
#include <string>

#include "tests/job_cluster.h"

namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

jobs::ConfigureCall MakeConfiguration() {
  jobs::Configuration configuration{.version = 1, .document = "version 1"};
  configuration.services = {{.name = "print"}};
  configuration.queues = {{.name = "quotes",
                           .host = "shop",
                           .prefix = "/q/",
                           .service = "print",
                           .attempts = 3,
                           .stretch = 2,
                           .target_latency_ms = 600,
                           .timeout_ms = 3'000}};
  configuration.teams = {{.name = "mill", .keys = {"k1"}}};
  return {.configuration = configuration};
}

/// Tasks of one core that take this long.
jobs::JobCall MakeJob(jobs::JobId job, std::uint32_t tasks, std::int64_t duration_ms) {
  jobs::JobCall call{.kind = jobs::JobCallKind::kSubmit,
                     .host = "shop",
                     .path = "/q/" + jobs::FormatJob(job),
                     .key = "k1"};
  call.spec.payload = "1000 " + std::to_string(duration_ms);
  call.spec.steps = {{.count = tasks, .size = {.cpu = 1'000}, .estimate_ms = duration_ms}};
  return call;
}

void StartCluster(JobCluster& cluster, std::size_t workers) {
  REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond));
  cluster.RunFor(kSecond);
  REQUIRE(cluster.CallAndWait(0, MakeConfiguration()).code == AnswerCode::kOk);
  for (std::size_t i = 0; i < workers; ++i) cluster.AddWorker("print", {.cpu = 4'000});
  cluster.RunFor(2 * kSecond);
}

/// The leader has VM 1 maintained, and is lost before it hears of it.
void LoseMaintenanceAnswer(JobCluster& cluster) {
  cluster.options().lost_vm_answers = 1;
  const jobs::StartWave wave{.wave = 1, .vms = {"vm-1"}, .duration_ms = 60'000, .max_down = 1};
  REQUIRE(cluster.CallAndWait(0, jobs::WaveCall{.wave = wave}).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return !cluster.maintained.empty(); }, 10 * kSecond));
  cluster.Kill(*cluster.Leader());
  cluster.options().lost_vm_answers = 0;
}

bool HasRunningTasks(const FakeWorker& worker) { return !worker.running().empty(); }

// Guards against a second run of a task whose worker was believed to be taken down, because the
// platform said of an order that was done before, for the worker before, that it is done.
TEST_CASE("an answer about a VM says nothing about the worker that is there now") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  LoseMaintenanceAnswer(cluster);
  SECTION("so that the tasks of that worker do not start again elsewhere") {
    REQUIRE(
        cluster.RunUntilTrue([&] { return cluster.workers().contains("worker-4"); }, 10 * kSecond));
    cluster.RunFor(200 * kMillisecond);
    REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 12, 6'000)).code == AnswerCode::kOk);
    REQUIRE(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-4")); },
                                 2 * kSecond));
    cluster.AddWorker("print", {.cpu = 8'000});  // room elsewhere
    cluster.RunFor(20 * kSecond);
    REQUIRE(cluster.maintained.size() == 1);
    for (const std::string& violation : cluster.violations) UNSCOPED_INFO(violation);
    CHECK(cluster.violations.empty());
  }
}

// Guards against a second run of a task whose worker said goodbye, or seemed to: a late farewell of
// a former incarnation names the same worker.
TEST_CASE("a farewell does not prove that nothing runs any more") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 6, 3'000)).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-1")); },
                               2 * kSecond));
  SECTION("while the worker goes on, and its answers are lost for a while") {
    cluster.Call(0, jobs::LeaveCall{.worker = "worker-1"}, [](const jobs::Answer&) {});
    cluster.CutWorker("worker-1", 1'500 * kMillisecond);
    cluster.RunFor(20 * kSecond);
    for (const std::string& violation : cluster.violations) UNSCOPED_INFO(violation);
    CHECK(cluster.violations.empty());
  }
}

// Guards against tasks of a cancelled job that go on for good, because the leader that was to stop
// them is lost right after the cancel is durable.
TEST_CASE("a cancelled job is stopped by the next leader") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 6, 30'000)).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-1")); },
                               2 * kSecond));
  SECTION("though the former one could not reach the workers") {
    const std::size_t leader = *cluster.Leader();
    for (const auto& [id, worker] : cluster.workers()) {
      cluster.CutWorker(id, 400 * kMillisecond);
    }
    jobs::JobCall cancel{.kind = jobs::JobCallKind::kCancel,
                         .host = "shop",
                         .path = "/q/" + jobs::FormatJob(1),
                         .key = "k1"};
    REQUIRE(cluster.CallAndWait(cluster.edge(0), cancel).code == AnswerCode::kOk);
    cluster.Kill(leader);
    cluster.RunFor(4 * kSecond);
    for (const auto& [id, worker] : cluster.workers()) CHECK_FALSE(HasRunningTasks(worker));
  }
}

// Guards against a start on a worker that has said that it is about to leave, and was told that
// this is known: seen when starts without an answer were repeated there.
TEST_CASE("a start is not repeated on a worker that leaves") {
  JobCluster cluster({});
  StartCluster(cluster, 1);
  SECTION("though it was assigned before") {
    FakeWorker& worker = cluster.workers().at("worker-1");
    cluster.CutWorker("worker-1", kSecond);
    REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 2, 300)).code == AnswerCode::kOk);
    cluster.RunFor(200 * kMillisecond);
    worker.record().phase = jobs::WorkerPhase::kDraining;
    const jobs::HeartbeatCall report{.record = worker.record(),
                                     .sequence = ++worker.sequence,
                                     .clock_ms = worker.Clock(cluster.now())};
    REQUIRE(cluster.CallAndWait(0, report).code == AnswerCode::kOk);
    bool started = false;
    cluster.RunUntilTrue([&] { return started = HasRunningTasks(worker); }, 5 * kSecond);
    CHECK_FALSE(started);
    SECTION("and runs on the next one") {
      cluster.AddWorker("print", {.cpu = 4'000});
      CHECK(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-2")); },
                                 6 * kSecond));
    }
  }
}

// Guards against workers that have ended and stay known: moves and maintenance of their VM then
// look at the wrong worker.
TEST_CASE("a worker is forgotten once a newer one reports from its VM") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  const jobs::HeartbeatCall late{
      .record = cluster.workers().at("worker-1").record(), .sequence = 100, .clock_ms = 5'000};
  const auto is_known = [&](const jobs::WorkerId& id) {
    return cluster.state(*cluster.Leader()).FindWorker(id) != nullptr;
  };
  const jobs::StartWave wave{.wave = 1, .vms = {"vm-1"}, .duration_ms = 60'000, .max_down = 1};
  REQUIRE(cluster.CallAndWait(0, jobs::WaveCall{.wave = wave}).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return is_known("worker-4"); }, 10 * kSecond));
  cluster.RunFor(200 * kMillisecond);
  CHECK_FALSE(is_known("worker-1"));
  SECTION("and a late report does not bring it back") {
    REQUIRE(cluster.CallAndWait(0, late).code == AnswerCode::kOk);
    cluster.RunFor(200 * kMillisecond);
    CHECK_FALSE(is_known("worker-1"));
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

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

/// A job of `tasks` tasks that take one core and `duration_ms` each.
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

/// Lets the leader order maintenance of vm-1, and kills it before it receives the platform's
/// answer.
void LoseMaintenanceAnswer(JobCluster& cluster) {
  cluster.options().lost_vm_answers = 1;
  const jobs::StartWave wave{.wave = 1, .vms = {"vm-1"}, .duration_ms = 60'000, .max_down = 1};
  REQUIRE(cluster.CallAndWait(0, jobs::WaveCall{.wave = wave}).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return !cluster.maintained.empty(); }, 10 * kSecond));
  cluster.Kill(*cluster.Leader());
  cluster.options().lost_vm_answers = 0;
}

bool HasRunningTasks(const FakeWorker& worker) { return !worker.running().empty(); }

// Guards against a second run of a task after the leader takes its worker for lost: the platform
// answers that an order for the VM is done, but carried it out earlier, on the previous worker.
TEST_CASE("an answer about a VM proves nothing about the worker that runs on it now") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  LoseMaintenanceAnswer(cluster);
  SECTION("so the tasks of that worker do not start again on other workers") {
    REQUIRE(
        cluster.RunUntilTrue([&] { return cluster.workers().contains("worker-4"); }, 10 * kSecond));
    cluster.RunFor(200 * kMillisecond);
    REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 12, 6'000)).code == AnswerCode::kOk);
    REQUIRE(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-4")); },
                                 2 * kSecond));
    cluster.AddWorker("print", {.cpu = 8'000});  // capacity on another worker
    cluster.RunFor(20 * kSecond);
    REQUIRE(cluster.maintained.size() == 1);
    for (const std::string& violation : cluster.violations) UNSCOPED_INFO(violation);
    CHECK(cluster.violations.empty());
  }
}

// Guards against a second run of a task whose worker sent, or seemed to send, a leave call: a late
// one from an earlier incarnation names the same worker.
TEST_CASE("a leave call does not prove that the runs of the worker have ended") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 6, 3'000)).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-1")); },
                               2 * kSecond));
  SECTION("when the worker keeps running and its answers are lost for 1.5 s") {
    cluster.Call(0, jobs::LeaveCall{.worker = "worker-1"}, [](const jobs::Answer&) {});
    cluster.CutWorker("worker-1", 1'500 * kMillisecond);
    cluster.RunFor(20 * kSecond);
    for (const std::string& violation : cluster.violations) UNSCOPED_INFO(violation);
    CHECK(cluster.violations.empty());
  }
}

// Guards against tasks of a cancelled job that run forever, because the leader that should stop
// them is lost right after the cancel command became durable.
TEST_CASE("a cancelled job is stopped by the next leader") {
  JobCluster cluster({});
  StartCluster(cluster, 3);
  REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(1, 6, 30'000)).code == AnswerCode::kOk);
  REQUIRE(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-1")); },
                               2 * kSecond));
  SECTION("although the previous one could not reach the workers") {
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

// Guards against a start on a worker that drains and whose report of that was acknowledged: starts
// without an answer were sent to such a worker again.
TEST_CASE("a start is not sent again to a draining worker") {
  JobCluster cluster({});
  StartCluster(cluster, 1);
  SECTION("although its run was assigned before the worker began to drain") {
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
    SECTION("and the task runs on the next worker") {
      cluster.AddWorker("print", {.cpu = 4'000});
      CHECK(cluster.RunUntilTrue([&] { return HasRunningTasks(cluster.workers().at("worker-2")); },
                                 6 * kSecond));
    }
  }
}

// Guards against workers that have ended but remain in the state: moves and maintenance of their VM
// would then refer to the wrong worker.
TEST_CASE("a worker is removed once a newer one reports from its VM") {
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
  SECTION("and a late heartbeat does not add it again") {
    REQUIRE(cluster.CallAndWait(0, late).code == AnswerCode::kOk);
    cluster.RunFor(200 * kMillisecond);
    CHECK_FALSE(is_known("worker-1"));
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

#include "tests/job_cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;
using jobs::JobCallKind;

jobs::ConfigureCall MakeConfiguration(std::uint64_t version, std::int64_t cpu_limit = 0) {
  jobs::Configuration configuration{.version = version};
  configuration.services = {{.name = "print"}, {.name = "dye"}};
  configuration.queues = {{.name = "quotes",
                           .host = "shop",
                           .prefix = "/quotes/",
                           .service = "print",
                           .attempts = 3,
                           .stretch = 2,
                           .target_latency_ms = 600,
                           .timeout_ms = 3'000}};
  configuration.teams = {{.name = "mill", .keys = {"k1"}, .limit = {.cpu = cpu_limit}}};
  configuration.document = "version " + std::to_string(version);
  return {.configuration = configuration};
}

jobs::JobCall MakeCall(JobCallKind kind, jobs::JobId job, const std::string& key = "k1") {
  jobs::JobCall call{
      .kind = kind, .host = "shop", .path = "/quotes/" + jobs::FormatJob(job), .key = key};
  if (kind == JobCallKind::kSubmit) {
    call.spec.payload = "1000 300";
    call.spec.steps = {{.count = 4, .size = {.cpu = 1'000}, .estimate_ms = 300},
                       {.count = 2, .size = {.cpu = 1'000}, .estimate_ms = 300, .depends_on = {0}}};
  }
  return call;
}

std::string PhaseOf(JobCluster& cluster, jobs::JobId job) {
  return cluster.CallAndWait(cluster.edge(1), MakeCall(JobCallKind::kQuery, job)).text;
}

void StartCluster(JobCluster& cluster, std::size_t workers = 4) {
  REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond));
  cluster.RunFor(kSecond);
  REQUIRE(cluster.CallAndWait(0, MakeConfiguration(1)).code == AnswerCode::kOk);
  for (std::size_t i = 0; i < workers; ++i) cluster.AddWorker("print", {.cpu = 8'000});
  cluster.RunFor(2 * kSecond);
}

// Guards against one malformed submit that takes down every core node: the number of its tasks
// overflowed to zero, so that it was accepted and each node tried to allocate them.
TEST_CASE("a job whose number of tasks overflows is refused") {
  JobCluster cluster({});
  StartCluster(cluster);
  constexpr std::uint32_t kHalfRange = 1U << 31U;
  jobs::JobCall call = MakeCall(JobCallKind::kSubmit, 1);
  call.spec.steps.assign(4, {.count = kHalfRange});
  call.spec.repeat_count = kHalfRange;
  CHECK(cluster.CallAndWait(cluster.edge(0), call).code == AnswerCode::kInvalid);
  SECTION("and the core nodes go on") {
    CHECK(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, 2)).code ==
          AnswerCode::kOk);
  }
}

// Guards against a step on a job's way from its acceptance to its end that fails without any fault.
TEST_CASE("a job without faults") {
  JobCluster cluster({});
  StartCluster(cluster);
  SECTION("is accepted, run step by step and reported as completed") {
    CHECK(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, 1)).code ==
          AnswerCode::kOk);
    CHECK(PhaseOf(cluster, 1) != "completed");
    cluster.RunFor(2 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
    SECTION("and a repeated submit with its id is idempotent") {
      CHECK(cluster.CallAndWait(cluster.edge(1), MakeCall(JobCallKind::kSubmit, 1)).code ==
            AnswerCode::kOk);
      CHECK(PhaseOf(cluster, 1) == "completed");
    }
  }
  SECTION("is refused without a key of a team") {
    CHECK(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, 2, "k9")).code ==
          AnswerCode::kBadKey);
    CHECK(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kQuery, 2)).code ==
          AnswerCode::kNoSuchJob);
  }
  SECTION("can be cancelled") {
    cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, 3));
    CHECK(cluster.CallAndWait(cluster.edge(1), MakeCall(JobCallKind::kCancel, 3)).code ==
          AnswerCode::kOk);
    cluster.RunFor(kSecond);
    CHECK(PhaseOf(cluster, 3) == "cancelled");
    for (const auto& [id, worker] : cluster.workers()) CHECK(worker.running().empty());
  }
  SECTION("that does not exist, or whose queue does not exist, is refused") {
    CHECK(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kCancel, 9)).code ==
          AnswerCode::kNoSuchJob);
    jobs::JobCall other = MakeCall(JobCallKind::kQuery, 9);
    other.host = "mall";
    CHECK(cluster.CallAndWait(cluster.edge(0), other).code == AnswerCode::kNoQueue);
  }
  CHECK(cluster.violations.empty());
}

// Guards against lost jobs that were acknowledged, and against tasks that run twice.
TEST_CASE("a job while nodes and workers fail") {
  JobCluster cluster({});
  StartCluster(cluster);
  REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, 1)).code ==
          AnswerCode::kOk);
  SECTION("survives a crash of the leader") {
    cluster.Kill(*cluster.Leader());
    cluster.RunFor(5 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  SECTION("survives a shutdown of the leader, which hands over leadership first") {
    const std::size_t old = *cluster.Leader();
    cluster.Shutdown(old);
    const Micros stopped = cluster.now();
    REQUIRE(cluster.RunUntilTrue(
        [&] { return cluster.Leader().has_value() && *cluster.Leader() != old; }, kSecond));
    // An election that starts because heartbeats are missing takes at least 600 ms.
    CHECK(cluster.now() - stopped < 300 * kMillisecond);
    cluster.RunFor(5 * kSecond);
    CHECK_FALSE(cluster.alive(old));
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  SECTION("survives two lost disks while the other core nodes lose power") {
    cluster.LoseDisk(*cluster.Leader());
    for (std::size_t node = 0, lost = 0; node < cluster.cores(); ++node) {
      if (!cluster.alive(node)) continue;
      if (lost++ == 0) {
        cluster.LoseDisk(node);
      } else {
        cluster.LosePower(node);
      }
    }
    for (std::size_t node = 0; node < cluster.cores(); ++node) cluster.Start(node);
    cluster.RunFor(8 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  SECTION("survives workers that are disconnected") {
    cluster.CutWorker("worker-1", 30 * kSecond);
    cluster.CutWorker("worker-2", 30 * kSecond);
    cluster.RunFor(8 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  SECTION("survives a worker that restarts with the same id") {
    cluster.CrashWorker("worker-1");
    cluster.RestartWorker("worker-1");
    cluster.RunFor(5 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  SECTION("survives a leader that freezes and resumes") {
    cluster.Freeze(*cluster.Leader(), 4 * kSecond);
    cluster.RunFor(8 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  CHECK(cluster.violations.empty());
}

// Guards against a task that is started on a second worker while an unanswered start may still be
// executed on the first.
TEST_CASE("orders that are answered late or never") {
  JobCluster cluster({.seed = 7});
  StartCluster(cluster);
  cluster.options().late_orders = 0.1;
  cluster.options().lost_answers = 0.1;
  for (jobs::JobId job = 1; job <= 30; ++job) {
    cluster.CallAndWait(cluster.edge(job % 2), MakeCall(JobCallKind::kSubmit, job));
  }
  cluster.RunFor(30 * kSecond);
  cluster.options().late_orders = 0;
  cluster.options().lost_answers = 0;
  cluster.RunFor(15 * kSecond);
  for (jobs::JobId job = 1; job <= 30; ++job) CHECK(PhaseOf(cluster, job) == "completed");
  CHECK(cluster.violations.empty());
}

// Guards against a configuration that reverts, and against reads older than the acknowledged one.
TEST_CASE("configurations") {
  JobCluster cluster({});
  StartCluster(cluster);
  SECTION("the highest version is in force, and an older one is acknowledged without effect") {
    CHECK(cluster.CallAndWait(1, MakeConfiguration(7)).code == AnswerCode::kOk);
    CHECK(cluster.CallAndWait(2, MakeConfiguration(5)).code == AnswerCode::kOk);
    CHECK(cluster.CallAndWait(3, jobs::ReadConfigurationCall{}).text == "version 7");
  }
  SECTION("other content under the version in force has no effect") {
    jobs::ConfigureCall other = MakeConfiguration(1);
    other.configuration.document = "other";
    CHECK(cluster.CallAndWait(1, other).code == AnswerCode::kOk);
    CHECK(cluster.CallAndWait(4, jobs::ReadConfigurationCall{}).text == "version 1");
  }
  SECTION("two teams with one key are refused") {
    jobs::ConfigureCall invalid = MakeConfiguration(8);
    invalid.configuration.teams.push_back({.name = "other", .keys = {"k1"}});
    CHECK(cluster.CallAndWait(1, invalid).code == AnswerCode::kInvalid);
    CHECK(cluster.CallAndWait(1, jobs::ReadConfigurationCall{}).text == "version 1");
  }
  SECTION("an isolated core node does not answer reads of it") {
    const std::size_t leader = *cluster.Leader();
    cluster.Isolate(leader, 10 * kSecond);
    cluster.RunFor(3 * kSecond);
    CHECK(cluster.CallAndWait(leader, jobs::ReadConfigurationCall{}).code ==
          AnswerCode::kUnavailable);
  }
  SECTION("a revoked key is refused") {
    jobs::ConfigureCall change = MakeConfiguration(9);
    change.configuration.teams[0].keys = {"k2"};
    CHECK(cluster.CallAndWait(1, change).code == AnswerCode::kOk);
    CHECK(cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, 5)).code ==
          AnswerCode::kBadKey);
  }
  CHECK(cluster.violations.empty());
}

// Guards against a team that uses more resources than its limit.
TEST_CASE("a team's limit holds over all workers") {
  JobCluster cluster({});
  StartCluster(cluster);
  REQUIRE(cluster.CallAndWait(0, MakeConfiguration(2, 3'000)).code == AnswerCode::kOk);
  for (jobs::JobId job = 1; job <= 4; ++job) {
    cluster.CallAndWait(cluster.edge(0), MakeCall(JobCallKind::kSubmit, job));
  }
  for (int round = 0; round < 200; ++round) {
    cluster.RunFor(10 * kMillisecond);
    std::size_t running = 0;
    for (const auto& [id, worker] : cluster.workers()) running += worker.running().size();
    CHECK(running <= 3);
  }
}

// Guards against a plan that ignores the starts of the previous plan because they are not applied
// yet.
TEST_CASE("a step's bound per worker holds under load") {
  JobCluster cluster({});
  StartCluster(cluster, 6);
  jobs::JobId job = 0;
  for (int round = 0; round < 400; ++round) {
    ++job;
    jobs::JobCall call = MakeCall(JobCallKind::kSubmit, job);
    call.spec.payload = "1500 " + std::to_string(20 + 7 * (job % 9));
    call.spec.steps = {
        {.count = 6, .size = {.cpu = 1'500}, .estimate_ms = 50, .max_per_worker = 1}};
    cluster.Call(cluster.edge(job % 2), call, [](const jobs::Answer&) {});
    cluster.RunFor(3 * kMillisecond);
    for (const auto& [id, worker] : cluster.workers()) {
      std::map<jobs::JobId, int> counts;
      for (const auto& [task, run] : worker.running()) ++counts[task.job];
      for (const auto& [one, count] : counts) CHECK(count <= 1);
    }
  }
}

// Guards against maintenance that stops a long-running task while another task of its step, on a
// silent worker, counts as available. This happened when a rack crashed during a wave.
TEST_CASE("a wave counts long-running tasks on silent workers as unavailable") {
  JobCluster cluster({});
  StartCluster(cluster);
  cluster.RunFor(4 * kSecond);
  jobs::JobCall call = MakeCall(JobCallKind::kSubmit, 1);
  call.spec.payload = "1000 600000";
  call.spec.steps = {{.count = 3,
                      .size = {.cpu = 1'000},
                      .long_running = true,
                      .max_per_worker = 1,
                      .max_unavailable = 1}};
  REQUIRE(cluster.CallAndWait(cluster.edge(0), call).code == AnswerCode::kOk);
  cluster.RunFor(2 * kSecond);
  std::vector<jobs::VmId> busy;
  for (const auto& [id, worker] : cluster.workers()) {
    if (!worker.running().empty()) busy.push_back(worker.record().vm);
  }
  REQUIRE(busy.size() == 3);
  const auto worker_on = [](const jobs::VmId& vm) { return "worker-" + vm.substr(3); };
  cluster.CrashWorker(worker_on(busy[0]));
  cluster.RunFor(2 * kSecond);  // the worker counts as silent; its lease has not expired
  const jobs::WaveCall wave{
      .wave = {.wave = 1, .vms = {busy[1]}, .duration_ms = 20'000, .max_down = 1}};
  REQUIRE(cluster.CallAndWait(0, wave).code == AnswerCode::kOk);
  cluster.RunFor(kSecond);
  const FakeWorker& next = cluster.workers().at(worker_on(busy[1]));
  CHECK(next.alive);
  CHECK(next.running().size() == 1);
  // The wave continues once the other task runs on another worker.
  cluster.RunFor(20 * kSecond);
  CHECK(cluster.CallAndWait(0, jobs::WaveQueryCall{.wave = 1}).text == "completed");
}

// Guards against a wave that takes down more VMs than it may, or omits one.
TEST_CASE("a wave maintains each VM once") {
  // Pools move VMs meanwhile, so the platform must carry out moves.
  JobCluster cluster({.model_vms = true});
  StartCluster(cluster);
  cluster.RunFor(4 * kSecond);
  jobs::WaveCall wave{
      .wave = {.wave = 1, .vms = {"vm-1", "vm-2", "vm-3"}, .duration_ms = 20'000, .max_down = 1}};
  REQUIRE(cluster.CallAndWait(0, wave).code == AnswerCode::kOk);
  CHECK(cluster.CallAndWait(1, jobs::WaveQueryCall{.wave = 1}).text == "running");
  cluster.RunFor(20 * kSecond);
  CHECK(cluster.CallAndWait(1, jobs::WaveQueryCall{.wave = 1}).text == "completed");
  CHECK(cluster.maintained.size() == 3);
}

// Guards against edge nodes that keep a dead leader after the next one serves: they sent calls to
// the dead one until it had been silent for 1.3 s.
TEST_CASE("edge nodes find the next leader soon") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    JobCluster cluster({.edges = 4, .seed = seed});
    StartCluster(cluster);
    const std::size_t first = *cluster.Leader();
    cluster.Kill(first);
    REQUIRE(cluster.RunUntilTrue(
        [&] { return cluster.Leader().has_value() && *cluster.Leader() != first; }, 5 * kSecond));
    cluster.RunFor(200 * kMillisecond);
    int accepted = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      cluster.Call(cluster.edge(i), MakeCall(JobCallKind::kSubmit, 100 + i),
                   [&](const jobs::Answer& answer) {
                     if (answer.code == AnswerCode::kOk) ++accepted;
                   });
    }
    cluster.RunFor(100 * kMillisecond);
    INFO("seed " << seed);
    CHECK(accepted == 4);
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

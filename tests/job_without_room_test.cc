#include <catch2/catch.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "tests/job_cluster.h"

// Tests that a pool grows for a job that fits on none of its workers.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

constexpr jobs::Resources kVm{.cpu = 64'000, .memory_mb = 128'000};
constexpr jobs::Resources kTask{.cpu = 14'250, .memory_mb = 24'368};
constexpr std::size_t kPoolVms = 3;
constexpr std::size_t kStandbyVms = 6;
constexpr jobs::JobId kService = 1;
constexpr jobs::JobId kJob = 2;
/// A job must not have nothing running for longer than 3 s while there is room for it; a VM is up
/// in its new pool within 3 s.
constexpr Micros kMaxWait = 6 * kSecond;
/// Two such tasks take the memory of a VM, and as much CPU as their team may use.
constexpr jobs::Resources kHalfVm{.cpu = 1'000, .memory_mb = kVm.memory_mb / 2};
constexpr const char* kSmallTeamKey = "k1";

jobs::JobCall MakeJob(jobs::JobId id, jobs::Step step, const std::string& prefix = "/q/") {
  jobs::JobCall call{
      .kind = jobs::JobCallKind::kSubmit, .host = "shop", .path = prefix + jobs::FormatJob(id)};
  call.spec.payload = std::to_string(step.size.cpu) + " " + std::to_string(step.estimate_ms);
  call.spec.steps = {std::move(step)};
  return call;
}

/// A pool each of whose VMs has a long-running task, and VMs that are switched off.
struct FullPool {
  JobCluster cluster;

  FullPool(std::uint64_t seed, jobs::Resources long_running)
      : cluster({.seed = seed, .model_vms = true}) {
    jobs::Configuration configuration{.version = 1, .document = "version 1"};
    configuration.services = {{.name = "print"}, {.name = "off", .standby = true}};
    configuration.queues = {{.name = "quotes",
                             .host = "shop",
                             .prefix = "/q/",
                             .service = "print",
                             .attempts = 3,
                             .stretch = 2,
                             .target_latency_ms = 600,
                             .timeout_ms = 3'000,
                             .open = true}};
    configuration.queues.push_back(configuration.queues[0]);
    configuration.queues[1].name = "mills";
    configuration.queues[1].prefix = "/mill/";
    configuration.queues[1].open = false;
    configuration.teams = {
        {.name = "mill", .keys = {kSmallTeamKey}, .limit = {.cpu = 2 * kHalfVm.cpu}}};
    cluster.standby_pools = {"off"};
    REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond));
    cluster.RunFor(kSecond);
    const jobs::ConfigureCall call{.configuration = configuration};
    REQUIRE(cluster.CallAndWait(0, call).code == AnswerCode::kOk);
    for (std::size_t i = 0; i < kPoolVms; ++i) cluster.AddWorker("print", kVm);
    for (std::size_t i = 0; i < kStandbyVms; ++i) cluster.AddStandbyVm("off", kVm);
    cluster.RunFor(2 * kSecond);
    Submit(MakeJob(kService, {.count = kPoolVms,
                              .size = long_running,
                              .estimate_ms = 600'000,
                              .long_running = true,
                              .max_per_worker = 1}));
    cluster.RunFor(4 * kSecond);
    REQUIRE(Assigned(kService) == kPoolVms);
    REQUIRE(cluster.moved == 0);
  }

  /// Starts the next leader's term while it cannot reach these workers.
  void ChangeLeader(const std::set<jobs::WorkerId>& unreachable, Micros duration) {
    for (const jobs::WorkerId& id : unreachable) cluster.CutWorker(id, duration);
    const std::size_t former = *cluster.Leader();
    cluster.Kill(former);
    REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond));
    cluster.Start(former);
  }

  void Submit(jobs::JobCall call) {
    const jobs::Answer answer = cluster.CallAndWait(cluster.edge(0), std::move(call));
    REQUIRE(answer.code == AnswerCode::kOk);
  }
  const jobs::Job& Job(jobs::JobId id) { return *cluster.state(*cluster.Leader()).FindJob(id); }
  std::uint32_t Assigned(jobs::JobId id) { return Job(id).assigned; }
  bool Runs(jobs::JobId id) {
    return cluster.RunUntilTrue([&] { return Assigned(id) > 0 || !Job(id).active(); }, kMaxWait);
  }
  bool Completes(jobs::JobId id) {
    return cluster.RunUntilTrue([&] { return !Job(id).active(); }, kMaxWait);
  }
};

}  // namespace

// Guards against a job that never runs because the pool's cores suffice, although no worker has
// room for its tasks.
TEST_CASE("a job that fits on no worker of its pool gets a VM") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  SECTION("where long-running tasks take the memory") {
    FullPool pool(seed, {.cpu = 8'000, .memory_mb = 110'000});
    pool.Submit(MakeJob(kJob, {.count = 2, .size = kTask, .estimate_ms = 640}));
    CHECK(pool.Runs(kJob));
    CHECK(pool.Completes(kJob));
  }
  SECTION("where the free cores lie on several workers") {
    FullPool pool(seed, {.cpu = 52'000, .memory_mb = 8'000});
    pool.Submit(MakeJob(kJob, {.count = 1, .size = kTask, .estimate_ms = 200}));
    CHECK(pool.Runs(kJob));
    CHECK(pool.Completes(kJob));
  }
}

// Guards against VMs that are moved for tasks which the limit of their team does not let start.
TEST_CASE("a job gets VMs only for the tasks that its team may run") {
  FullPool pool(GENERATE(1, 2, 3), {.cpu = 8'000, .memory_mb = 110'000});
  jobs::JobCall call =
      MakeJob(kJob, {.count = 12, .size = kHalfVm, .estimate_ms = 3'000}, "/mill/");
  call.key = kSmallTeamKey;
  pool.Submit(call);
  CHECK(pool.Runs(kJob));
  pool.cluster.RunFor(kSecond);
  CHECK(pool.cluster.moved == 1);
}

// Guards against VMs that are moved because a new leader has not heard from the workers yet.
TEST_CASE("a change of leader moves no VMs") {
  FullPool pool(GENERATE(1, 2, 3), {.cpu = 8'000, .memory_mb = 110'000});
  std::set<jobs::WorkerId> roomy;
  for (std::size_t i = 0; i < kPoolVms; ++i) {
    roomy.insert(pool.cluster.AddWorker("print", kVm).record().id);
  }
  pool.cluster.RunFor(kSecond);
  REQUIRE(pool.cluster.moved == 0);
  pool.ChangeLeader(roomy, 1'800 * kMillisecond);
  pool.Submit(MakeJob(kJob, {.count = 2, .size = kTask, .estimate_ms = 640}));
  CHECK(pool.Completes(kJob));
  CHECK(pool.cluster.moved == 0);
}

// Guards against a pool that names no need for workers because none of its own can be used.
TEST_CASE("a job whose pool has lost all workers gets VMs") {
  FullPool pool(GENERATE(1, 2, 3), {.cpu = 8'000, .memory_mb = 110'000});
  std::set<jobs::WorkerId> all;
  for (const auto& [id, worker] : pool.cluster.workers()) all.insert(id);
  for (const jobs::WorkerId& id : all) pool.cluster.CrashWorker(id);
  pool.cluster.RunFor(3 * kSecond);
  pool.Submit(MakeJob(kJob, {.count = 2, .size = kTask, .estimate_ms = 640}));
  CHECK(pool.Runs(kJob));
}

// Guards against later occurrences of a repeated job whose long-running tasks get no VMs.
TEST_CASE("each occurrence of a repeated long-running job gets VMs") {
  FullPool pool(GENERATE(1, 2, 3), {.cpu = 8'000, .memory_mb = 110'000});
  jobs::JobCall call = MakeJob(kJob, {.count = 1,
                                      .size = {.cpu = 8'000, .memory_mb = 110'000},
                                      .estimate_ms = 600'000,
                                      .long_running = true});
  call.spec.repeat_count = 2;
  call.spec.first_due_ms = pool.cluster.wall();
  call.spec.interval_ms = kMaxWait / kMillisecond;
  pool.Submit(call);
  CHECK(pool.Runs(kJob));
  pool.cluster.RunFor(2 * kMaxWait);
  CHECK(pool.Assigned(kJob) == 2);
}

// Guards against a pool that takes VM after VM for a job that no VM can run.
TEST_CASE("a job that no VM can run gets none") {
  FullPool pool(GENERATE(1, 2, 3), {.cpu = 8'000, .memory_mb = 110'000});
  jobs::Step step{.count = 2, .size = kTask, .estimate_ms = 640};
  SECTION("because its tasks are larger than a VM") { step.size.memory_mb = 2 * kVm.memory_mb; }
  SECTION("because no VM has its label") { step.required_label = "press"; }
  pool.Submit(MakeJob(kJob, step));
  CHECK_FALSE(pool.Runs(kJob));
  CHECK(pool.cluster.moved == 0);
}

}  // namespace godwitpaddle::testing

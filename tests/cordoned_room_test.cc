#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "tests/job_cluster.h"

// Tests that room on VMs that are to be moved to another pool is not withheld from the tasks of
// their present pool while the platform does not move them.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

constexpr jobs::Resources kVm{.cpu = 64'000, .memory_mb = 128'000};
constexpr jobs::Resources kTask{.cpu = 16'000, .memory_mb = 8'000};
constexpr std::uint32_t kTasksPerVm = 4;
constexpr std::size_t kIdleVms = 40;
constexpr std::size_t kBusyVms = 3;
constexpr jobs::JobId kBacklog = 1;
constexpr jobs::JobId kJob = 2;
/// Less than half of the pool.
constexpr std::uint32_t kNeededVms = 15;
/// A job must not have nothing running for longer than this while there is room for it.
constexpr Micros kMaxIdle = 3 * kSecond;

jobs::JobCall MakeJob(const std::string& queue, jobs::JobId id, std::uint32_t tasks) {
  constexpr std::int64_t kTaskMs = 20'000;
  jobs::JobCall call{.kind = jobs::JobCallKind::kSubmit,
                     .host = "shop",
                     .path = "/" + queue + "/" + jobs::FormatJob(id)};
  call.spec.payload = std::to_string(kTask.cpu) + " " + std::to_string(kTaskMs);
  call.spec.steps = {{.count = tasks, .size = kTask, .estimate_ms = kTaskMs}};
  return call;
}

jobs::Queue MakeQueue(const std::string& name) {
  return {.name = name,
          .host = "shop",
          .prefix = "/" + name + "/",
          .service = name,
          .attempts = 3,
          .stretch = 2,
          .target_latency_ms = 600,
          .timeout_ms = 3'000,
          .open = true};
}

/// A pool with idle VMs, which another pool with a backlog is to get.
struct TwoPools {
  JobCluster cluster;

  explicit TwoPools(std::uint64_t seed) : cluster({.seed = seed, .model_vms = true}) {
    jobs::Configuration configuration{.version = 1, .document = "version 1"};
    configuration.services = {{.name = "print"}, {.name = "bind"}};
    configuration.queues = {MakeQueue("print"), MakeQueue("bind")};
    REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond));
    cluster.RunFor(kSecond);
    const jobs::ConfigureCall call{.configuration = configuration};
    REQUIRE(cluster.CallAndWait(0, call).code == AnswerCode::kOk);
    for (std::size_t i = 0; i < kIdleVms; ++i) cluster.AddWorker("print", kVm);
    for (std::size_t i = 0; i < kBusyVms; ++i) cluster.AddWorker("bind", kVm);
    cluster.RunFor(4 * kSecond);
  }

  void Submit(const std::string& queue, jobs::JobId id, std::uint32_t tasks) {
    REQUIRE(cluster.CallAndWait(cluster.edge(0), MakeJob(queue, id, tasks)).code ==
            AnswerCode::kOk);
  }
  std::uint32_t Assigned(jobs::JobId id) {
    return cluster.state(*cluster.Leader()).FindJob(id)->assigned;
  }
  /// Number of workers of the service that are up.
  std::size_t Up(const std::string& service) {
    std::size_t up = 0;
    for (const auto& [id, worker] : cluster.workers()) {
      if (worker.alive && worker.record().service == service) ++up;
    }
    return up;
  }
};

}  // namespace

// Guards against tasks that wait beside idle workers whose VMs are to be moved, once the platform
// has no time for the moves.
TEST_CASE("a pool whose idle VMs are to be moved") {
  TwoPools pools(GENERATE(1, 2, 3));
  JobClusterOptions& faults = pools.cluster.options();
  constexpr std::uint32_t kBacklogTasks = kTasksPerVm * (kIdleVms + kBusyVms);
  const auto keeps_its_room = [&] {
    pools.Submit("bind", kBacklog, kBacklogTasks);
    pools.cluster.RunFor(2 * kSecond);
    pools.Submit("print", kJob, kTasksPerVm * kNeededVms);
    pools.cluster.RunFor(kMaxIdle);
    INFO(pools.Up("print") << " workers are up, " << pools.cluster.moved << " VMs were moved");
    REQUIRE(pools.Up("print") >= std::size_t{2} * kNeededVms);
    CHECK(pools.Assigned(kJob) == kTasksPerVm * kNeededVms);
  };
  SECTION("starts its tasks on them while the platform is busy") {
    faults.throttled_vm_calls = 1;
    keeps_its_room();
    SECTION("and gives them away once it is not, as far as it does not need them") {
      faults.throttled_vm_calls = 0;
      pools.cluster.RunFor(5 * kSecond);
      CHECK(pools.Assigned(kJob) == kTasksPerVm * kNeededVms);
      CHECK(pools.Up("print") <= kNeededVms + 3);
    }
  }
  SECTION("starts its tasks on the others while the platform does not answer") {
    faults.silent_vm_calls = 1;
    keeps_its_room();
  }
}

}  // namespace godwitpaddle::testing

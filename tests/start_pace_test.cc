#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <set>

#include "tests/print_cluster.h"

// Tests how long tasks wait for their starts while workers have room for all of them.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

constexpr std::size_t kWorkers = 100;
constexpr std::int64_t kTasksPerWorker = 40;
constexpr jobs::JobId kJobs = 10;
constexpr std::uint32_t kTasksPerJob = 200;
constexpr std::int64_t kTaskMs = 20'000;
/// The time that the queue of the tests grants a job beside its work.
constexpr Micros kTargetLatency = 600 * kMillisecond;
/// A start without an answer counts as unanswered after this time.
constexpr Micros kStartTimeout = 400 * kMillisecond;

/// A cluster whose workers have room for twice the tasks of the jobs that arrive together.
struct Burst {
  JobCluster cluster;
  std::set<jobs::WorkerId> cut;

  explicit Burst(JobClusterOptions options) : cluster(options) {
    StartPrintCluster(cluster, kWorkers, kTasksPerWorker);
  }

  /// Disconnects the workers that the planner chooses first.
  void Cut(std::size_t count) {
    for (const auto& [id, worker] : cluster.workers()) {
      if (cut.size() == count) return;
      cut.insert(id);
    }
    for (const jobs::WorkerId& id : cut) cluster.CutWorker(id, 30 * kSecond);
  }

  /// Submits all jobs and waits until they are accepted.
  void Submit() {
    std::uint64_t accepted = 0;
    for (jobs::JobId job = 1; job <= kJobs; ++job) {
      cluster.Call(cluster.edge(0), MakePrintJob(job, kTasksPerJob, kTaskMs),
                   [&](const jobs::Answer& answer) { accepted += answer.code == AnswerCode::kOk; });
    }
    REQUIRE(cluster.RunUntilTrue([&] { return accepted == kJobs; }, 2 * kSecond));
  }

  /// Number of tasks that are assigned to no worker.
  std::size_t Waiting() {
    std::size_t waiting = 0;
    for (jobs::JobId job = 1; job <= kJobs; ++job) {
      const jobs::StepRun& run = cluster.state(*cluster.Leader()).FindJob(job)->At(0, 0);
      waiting += run.tasks.size() - run.assigned;
    }
    return waiting;
  }
  std::size_t Running() {
    std::size_t running = 0;
    for (auto& [id, worker] : cluster.workers()) running += worker.running().size();
    return running;
  }
};

}  // namespace

// Guards against starts that wait, although all workers have room, because each plan waits until
// the starts of the last one are durable.
TEST_CASE("tasks start at the pace of the workers while disks are slow") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  Burst burst({.cores = 3, .seed = seed, .sync_time = 100 * kMillisecond});
  burst.Submit();
  burst.cluster.RunFor(kTargetLatency);
  CHECK(burst.Running() == kJobs * kTasksPerJob);
}

// Guards against starts on workers that answer, which wait for those that do not.
TEST_CASE("workers that do not answer hold back only their own tasks") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  Burst burst({.cores = 3, .seed = seed});
  burst.Cut(10);
  burst.Submit();
  burst.cluster.RunFor(kStartTimeout / 2);
  CHECK(burst.Waiting() == 0);
}

}  // namespace godwitpaddle::testing

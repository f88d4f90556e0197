#include <catch2/catch.hpp>
#include <string>

#include "tests/print_cluster.h"

// Tests which jobs count as pending, and how they are shown, before a worker has begun one of their
// tasks.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

constexpr jobs::JobId kFirstJob = 10;
constexpr std::uint64_t kJobs = 6;

struct QueueClient {
  JobCluster cluster;

  explicit QueueClient(std::uint64_t seed) : cluster({.seed = seed}) {
    StartPrintCluster(cluster, 2, 8);
  }

  void SubmitAll(std::int64_t duration_ms) {
    for (jobs::JobId job = kFirstJob; job < kFirstJob + kJobs; ++job) {
      REQUIRE(cluster.CallAndWait(cluster.edge(0), MakePrintJob(job, 1, duration_ms)).code ==
              AnswerCode::kOk);
    }
  }
  jobs::Answer Ask(const std::string& path) {
    return cluster.CallAndWait(cluster.edge(0), jobs::JobCall{.host = "shop", .path = path});
  }
  std::uint64_t Pending() { return Ask("/q/").number; }
  std::string PhaseOf(jobs::JobId job) { return Ask("/q/" + jobs::FormatJob(job)).text; }
};

// Guards against jobs that do not count as pending, and are shown as running, once a start was
// planned, although the worker refuses it.
TEST_CASE("jobs whose starts are all refused") {
  QueueClient test(GENERATE(1, 2, 3));
  test.cluster.options().unhealthy = 1;
  test.SubmitAll(10'000);
  const auto check = [&] {
    for (int i = 0; i < 40; ++i) {
      test.cluster.RunFor(130 * kMillisecond);
      CHECK(test.Pending() == kJobs);
      CHECK(test.PhaseOf(kFirstJob) == "queued");
    }
  };
  SECTION("are pending until a worker begins them") {
    check();
    test.cluster.options().unhealthy = 0;
    test.cluster.RunFor(3 * kSecond);
    CHECK(test.Pending() == 0);
    CHECK(test.PhaseOf(kFirstJob) == "running");
    test.cluster.RunFor(12 * kSecond);
    CHECK(test.PhaseOf(kFirstJob) == "completed");
  }
  SECTION("are pending for the next leader too") {
    test.cluster.RunFor(kSecond);
    test.cluster.Kill(*test.cluster.Leader());
    test.cluster.RunFor(5 * kSecond);
    check();
  }
}

// Guards against jobs that count as pending although a worker has begun them.
TEST_CASE("jobs that a worker has begun") {
  QueueClient test(GENERATE(1, 2, 3));
  test.SubmitAll(30'000);
  test.cluster.RunFor(kSecond);
  CHECK(test.Pending() == 0);
  CHECK(test.PhaseOf(kFirstJob) == "running");
  SECTION("are not pending for the next leader") {
    test.cluster.Kill(*test.cluster.Leader());
    test.cluster.RunFor(5 * kSecond);
    CHECK(test.Pending() == 0);
    CHECK(test.PhaseOf(kFirstJob) == "running");
  }
}

// Guards against jobs that do not count as pending while the worker has not answered the start.
TEST_CASE("jobs whose workers are cut off before they answer the start") {
  QueueClient test(GENERATE(1, 2, 3));
  for (auto& [id, worker] : test.cluster.workers()) test.cluster.CutWorker(id, 20 * kSecond);
  test.SubmitAll(2'000);
  for (int i = 0; i < 8; ++i) {
    test.cluster.RunFor(kSecond);
    CHECK(test.Pending() == kJobs);
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

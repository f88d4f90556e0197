#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "tests/job_cluster.h"

// Tests that core nodes elect a leader although their disks need longer for a vote than the usual
// election timeout.
namespace godwitpaddle::testing {
namespace {

/// How long an operator of a first start waits for the first configuration.
constexpr Micros kFirstStart = 30 * kSecond;

jobs::ConfigureCall MakeConfiguration() {
  jobs::ConfigureCall call{.configuration = {.version = 1, .document = "version 1"}};
  call.configuration.services = {{.name = "print"}};
  return call;
}

/// Whether the configuration is acknowledged in time to an operator who tries again.
bool Configures(JobCluster& cluster, Micros limit) {
  const Micros end = cluster.now() + limit;
  for (std::size_t node = 0; cluster.now() < end; ++node) {
    const jobs::Answer answer = cluster.CallAndWait(node % 3, MakeConfiguration(), 1'900);
    if (answer.code == jobs::AnswerCode::kOk) return cluster.now() <= end;
    cluster.RunFor(200 * kMillisecond);
  }
  return false;
}

}  // namespace

// Guards against a group that never forms because candidates give up before votes are durable.
TEST_CASE("a first start with slow disks") {
  const auto seed = GENERATE(range(1, 9));
  SECTION("of all core nodes") {
    const Micros sync_time = GENERATE(20, 300, 600, 1'000, 2'000) * kMillisecond;
    JobCluster cluster({.seed = static_cast<std::uint64_t>(seed), .sync_time = sync_time});
    INFO("seed " << seed << ", sync time " << sync_time / kMillisecond << " ms");
    CHECK(Configures(cluster, kFirstStart));
  }
  SECTION("of all but one") {
    const auto fast = static_cast<std::size_t>(GENERATE(0, 1, 2));
    JobCluster cluster(
        {.seed = static_cast<std::uint64_t>(seed), .sync_time = kSecond, .fast_disk = fast});
    INFO("seed " << seed << ", fast node " << fast);
    CHECK(Configures(cluster, kFirstStart));
  }
}

// Guards against a loss of the leader that leaves a group with slow disks without one.
TEST_CASE("a leader that is lost while all disks are slow") {
  const auto seed = GENERATE(range(1, 9));
  JobCluster cluster({.seed = static_cast<std::uint64_t>(seed)});
  REQUIRE(Configures(cluster, kFirstStart));
  cluster.RunFor(5 * kSecond);
  cluster.options().sync_time = kSecond;
  cluster.Kill(*cluster.Leader());
  cluster.RunFor(2 * kSecond);
  CHECK(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, kFirstStart));
  SECTION("and fast again") {
    cluster.options().sync_time = 5 * kMillisecond;
    cluster.RunFor(5 * kSecond);
    cluster.Kill(*cluster.Leader());
    // The usual election timeouts hold again.
    CHECK(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 3 * kSecond));
  }
}

}  // namespace godwitpaddle::testing

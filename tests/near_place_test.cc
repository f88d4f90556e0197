#include "jobs/near_place.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>

#include "tests/planned_service.h"

// Tests of how long tasks wait for a place near their data or their group.
namespace godwitpaddle::testing {
namespace {

using jobs::ExpectedWaitMs;
using jobs::NearPlace;
using jobs::WaitPays;

constexpr jobs::Resources kVm{.cpu = 4'000};
constexpr std::int64_t kTaskMs = 1'000;

jobs::Step MakeStep(std::uint32_t count) {
  return {.count = count, .size = {.cpu = 1'000}, .estimate_ms = kTaskMs};
}

/// One worker with room for four tasks on the rack "near", two on other racks.
struct ThreeRacks : PlannedService {
  ThreeRacks() : PlannedService({{"mill", 1}}) {
    far_factor = 3;
    AddWorker("w1", "near", kVm);
    AddWorker("w2", "r2", kVm);
    AddWorker("w3", "r3", kVm);
  }
  std::uint32_t AssignedNear(jobs::JobId job) const {
    std::uint32_t sum = 0;
    for (const jobs::Task& task : state.FindJob(job)->At(0, 0).tasks) {
      sum += task.worker == "w1" ? 1 : 0;
    }
    return sum;
  }
  std::set<std::string> RacksOf(jobs::JobId job) const {
    std::set<std::string> racks;
    for (const jobs::Task& task : state.FindJob(job)->At(0, 0).tasks) {
      if (!task.worker.empty()) racks.insert(state.FindWorker(task.worker)->record.rack());
    }
    return racks;
  }
};

jobs::Step NearStep(std::uint32_t count) {
  jobs::Step step = MakeStep(count);
  step.data_rack = "near";
  return step;
}

}  // namespace

// Guards against waits that cost more than they save.
TEST_CASE("a wait for a place near pays while it is shorter than the time that it saves") {
  const NearPlace place{
      .far_factor = 3, .run_ms = 1'000, .expected_ms = 500, .waited_ms = 0, .left_ms = 10'000};
  CHECK(WaitPays(place));
  SECTION("not if the place is expected too late") {
    NearPlace one = place;
    one.expected_ms = 2'000;
    CHECK_FALSE(WaitPays(one));
  }
  SECTION("nor once the task has waited for so long") {
    NearPlace one = place;
    one.waited_ms = 1'600;
    CHECK_FALSE(WaitPays(one));
  }
  SECTION("nor if it makes a job late that would be in time elsewhere") {
    NearPlace one = place;
    one.far_factor = 2;
    one.expected_ms = 900;
    one.left_ms = 2'000;
    CHECK(WaitPays(one));  // 1.9 s near, 2 s elsewhere
    one.waited_ms = 50;
    one.run_ms = 1'200;
    one.left_ms = 2'400;
    CHECK(WaitPays(one));  // 2.1 s near, 2.4 s elsewhere
    one.far_factor = 1.9;
    one.expected_ms = 1'020;
    one.left_ms = 2'215;
    CHECK(WaitPays(one));  // late on both racks, but sooner near
  }
  SECTION("nor for long while nothing of the job runs") {
    NearPlace one = place;
    one.far_factor = 10;
    one.expected_ms = 2'500;
    CHECK(WaitPays(one));
    one.job_is_idle = true;
    CHECK_FALSE(WaitPays(one));
  }
}

// Guards against a wait for a rack on which nothing ends.
TEST_CASE("the expected wait follows what runs near and who waits there already") {
  CHECK(ExpectedWaitMs(0, 10, 1'000) == Approx(100));
  CHECK(ExpectedWaitMs(4, 10, 1'000) == Approx(500));
  CHECK(std::isinf(ExpectedWaitMs(0, 0, 1'000)));
}

// Guards against tasks that start far from their data although a place near is about to be free,
// and against those that wait although it is not.
TEST_CASE("many jobs want the same rack") {
  ThreeRacks service;
  service.Submit(1, "mill", NearStep(4));
  CHECK(service.Plan().near.near_starts == 4);

  SECTION("some wait for a place there, the others start elsewhere at once") {
    service.Submit(2, "mill", NearStep(8));
    const jobs::StartPlan plan = service.Plan();
    CHECK(plan.near.far_starts > 0);
    CHECK(plan.near.far_starts < 8);
    service.Wait(500);
    for (std::uint32_t index = 0; index < 4; ++index) service.End({1, 0, 0, index});
    service.Plan();
    CHECK(service.AssignedNear(2) == 4);
  }
  SECTION("they start elsewhere once the wait has lasted as long as it can save") {
    service.Submit(2, "mill", NearStep(2));
    service.Plan();
    CHECK(service.Assigned(2) == 0);
    for (int i = 0; i < 25; ++i) {
      service.Wait(100);
      service.Plan();
    }
    CHECK(service.Assigned(2) == 2);
    CHECK(service.AssignedNear(2) == 0);
  }
  SECTION("they start elsewhere at once if the rack has no worker") {
    jobs::Step step = NearStep(2);
    step.data_rack = "nowhere";
    service.Submit(2, "mill", step);
    CHECK(service.Plan().near.far_starts == 2);
  }
  SECTION("nobody waits where tasks run as fast elsewhere") {
    service.far_factor = 1;
    service.Submit(2, "mill", NearStep(2));
    service.Plan();
    CHECK(service.Assigned(2) == 2);
  }
}

// Guards against a group that is spread over racks although one rack has room for all of it.
TEST_CASE("the tasks of a group run on one rack") {
  ThreeRacks service;
  service.AddWorker("w4", "r3", kVm);
  jobs::Step group = MakeStep(6);
  group.same_rack = true;

  SECTION("on the one with room for all") {
    service.Submit(1, "mill", group);
    service.Plan();
    CHECK(service.Assigned(1) == 6);
    CHECK(service.RacksOf(1) == std::set<std::string>{"r3"});
  }
  SECTION("a gang as a whole") {
    group.gang = true;
    service.Submit(1, "mill", group);
    service.Plan();
    CHECK(service.Assigned(1) == 6);
    CHECK(service.RacksOf(1) == std::set<std::string>{"r3"});
  }
  SECTION("a gang that no rack has room for starts on several") {
    group.gang = true;
    group.count = 10;
    service.Submit(1, "mill", group);
    for (int i = 0; i < 25; ++i) {
      service.Plan();
      service.Wait(100);
    }
    CHECK(service.Assigned(1) == 10);
  }
}

}  // namespace godwitpaddle::testing

#include "jobs/team_shares.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/planned_service.h"

// Tests of the teams' shares of a service that does not have room for all.
namespace godwitpaddle::testing {
namespace {

using jobs::Resources;
using jobs::TeamDemand;

constexpr Resources kVm{.cpu = 4'000, .memory_mb = 8'000};
constexpr Resources kTask{.cpu = 1'000, .memory_mb = 1'000};
constexpr std::int64_t kTaskMs = 1'000;
constexpr std::size_t kVms = 10;
constexpr std::uint32_t kRoom = 40;  // tasks on all VMs

double EntitledOf(const std::vector<jobs::TeamShare>& shares, jobs::TeamNumber team) {
  for (const jobs::TeamShare& share : shares) {
    if (share.team == team) return share.account.entitled;
  }
  return -1;
}

jobs::Step MakeStep(std::uint32_t count) {
  return {.count = count, .size = kTask, .estimate_ms = kTaskMs};
}

/// Three teams of equal weight, and VMs with room for kRoom tasks.
struct CrowdedService : PlannedService {
  CrowdedService() : PlannedService({{"clinic", 1}, {"depot", 1}, {"mill", 1}}) {
    for (std::size_t i = 0; i < kVms; ++i) AddWorker("w" + std::to_string(i), "r", kVm);
  }
  std::uint32_t AssignedOf(jobs::JobId first, jobs::JobId last) const {
    std::uint32_t sum = 0;
    for (jobs::JobId job = first; job <= last; ++job) sum += Assigned(job);
    return sum;
  }
};

}  // namespace

// Guards against shares by what is asked for instead of by weight.
TEST_CASE("a full service is divided by weight") {
  const std::vector<TeamDemand> demands{
      {.team = 1, .weight = 1, .wanted = {.cpu = 400'000, .memory_mb = 400'000}},
      {.team = 2, .weight = 3, .wanted = {.cpu = 400'000, .memory_mb = 400'000}},
      {.team = 3, .weight = 1, .wanted = {.cpu = 4'000, .memory_mb = 4'000}}};
  SECTION("a team that wants little gets all of it, the others share the rest") {
    const auto shares = jobs::DivideService(demands, 9, kVm);
    CHECK(EntitledOf(shares, 3) == Approx(1));
    CHECK(EntitledOf(shares, 1) == Approx(2));
    CHECK(EntitledOf(shares, 2) == Approx(6));
  }
  SECTION("nothing is divided if there is room for all") {
    CHECK(jobs::DivideService(demands, 300, kVm).empty());
  }
  SECTION("nor if all want more than there is, in proportion to their weights") {
    std::vector<TeamDemand> peak = demands;
    peak[0].wanted.cpu = 130'000;
    peak[2].wanted.cpu = 130'000;
    CHECK(jobs::DivideService(peak, 9, kVm).empty());
  }
  SECTION("nor if a small team wants a little more than its part") {
    std::vector<TeamDemand> few = demands;
    few[0].wanted.cpu = 130'000;
    few[2].wanted.cpu = 130'000;
    few.push_back({.team = 4, .weight = 0.01, .wanted = {.cpu = 3'000, .memory_mb = 0}});
    CHECK(jobs::DivideService(few, 9, kVm).empty());
  }
  SECTION("what counts of a team is the resource of which it takes most") {
    CHECK(jobs::InVms({.cpu = 1'000, .memory_mb = 6'000}, kVm) == Approx(0.75));
    CHECK(jobs::RoomInVms({.cpu = 4'000, .memory_mb = 2'000}, kVm) == Approx(0.25));
  }
  SECTION("a team can expect what the others leave") {
    CHECK(jobs::ExpectedVms({}, 1, 1, 9, kVm) == Approx(9));
    CHECK(jobs::ExpectedVms(demands, 1, 1, 9, kVm) == Approx(2));
    CHECK(jobs::ExpectedVms({demands[2]}, 1, 1, 9, kVm) == Approx(8));
  }
}

// Guards against a team that gets most of a full service because it sends most.
TEST_CASE("a crowd of one team's jobs does not keep the others waiting") {
  CrowdedService service;
  for (jobs::JobId job = 1; job <= 30; ++job) service.Submit(job, "mill", MakeStep(4));

  SECTION("the others start within their shares, though their jobs came later") {
    service.Wait(100);
    for (jobs::JobId job = 31; job <= 32; ++job) service.Submit(job, "clinic", MakeStep(4));
    service.Submit(33, "depot", MakeStep(4));
    const jobs::StartPlan plan = service.Plan();
    CHECK(plan.starts.size() == kRoom);
    CHECK(service.AssignedOf(31, 32) == 8);
    CHECK(service.AssignedOf(33, 33) == 4);
    CHECK(service.AssignedOf(1, 30) == kRoom - 12);
  }
  SECTION("what they do not use is lent, and given back as tasks end") {
    service.Plan();
    REQUIRE(service.AssignedOf(1, 30) == kRoom);
    service.Wait(300);
    for (jobs::JobId job = 31; job <= 40; ++job) service.Submit(job, "clinic", MakeStep(4));
    service.Plan();
    CHECK(service.AssignedOf(31, 40) == 0);
    for (jobs::JobId job = 1; job <= 5; ++job) {
      for (std::uint32_t index = 0; index < 4; ++index) service.End({job, 0, 0, index});
    }
    service.Plan();
    CHECK(service.AssignedOf(31, 40) == 20);
  }
  SECTION("jobs without a team are not kept waiting either") {
    service.Wait(100);
    service.Submit(49, "clinic", MakeStep(4));
    service.Submit(50, "", MakeStep(12));
    service.Plan();
    CHECK(service.Assigned(49) == 4);
    CHECK(service.Assigned(50) == 12);
  }
  SECTION("a team alone gets all the room") {
    CHECK(service.Plan().starts.size() == kRoom);
    CHECK(service.planner.ContendedShares(service.now).empty());
  }
}

// Guards against an order of starting that changes where there is room for all.
TEST_CASE("with room for all, jobs start as if there were no shares") {
  CrowdedService service;
  service.Submit(1, "mill", MakeStep(8));
  service.Submit(2, "clinic", MakeStep(8));
  const jobs::StartPlan plan = service.Plan();
  CHECK(plan.starts.size() == 16);
  CHECK(plan.share_starts == 0);
}

// Guards against totals that drift from what the jobs use and ask for.
TEST_CASE("the loads of the teams follow their jobs") {
  CrowdedService service;
  const auto load = [&](const std::string& team) {
    const auto loads = service.state.LoadsOf("print");
    const auto found = loads.find(service.state.FindTeamOfKey(team)->number);
    return found == loads.end() ? jobs::TeamLoad() : found->second;
  };
  service.Submit(1, "mill", MakeStep(8));
  CHECK(load("mill").waiting.cpu == 8'000);
  CHECK(load("mill").open_cpu_ms == Approx(8'000.0 * kTaskMs));
  service.Plan();
  CHECK(load("mill").waiting.cpu == 0);
  CHECK(load("mill").used.cpu == 8'000);
  service.End({1, 0, 0, 0});
  CHECK(load("mill").used.cpu == 7'000);

  SECTION("also in a state that was read from a snapshot") {
    jobs::State copy;
    copy.Decode(service.state.Encode());
    CHECK(copy.LoadsOf("print") == service.state.LoadsOf("print"));
  }
  SECTION("and are gone with the jobs") {
    for (std::uint32_t index = 1; index < 8; ++index) service.End({1, 0, 0, index});
    CHECK(load("mill") == jobs::TeamLoad());
  }
  SECTION("those of a cancelled job as its runs end") {
    service.state.Apply(jobs::Cancel{.job = 1});
    CHECK(load("mill").used.cpu == 7'000);
    CHECK(load("mill").open_cpu_ms == 0);
    for (std::uint32_t index = 1; index < 8; ++index) service.End({1, 0, 0, index});
    CHECK(load("mill") == jobs::TeamLoad());
  }
}

}  // namespace godwitpaddle::testing

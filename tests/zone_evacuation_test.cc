#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "base/codec.h"
#include "tests/print_cluster.h"

// Tests of orders to evacuate an availability zone. Workers 1 and 4 are in zone-1, 2 and 5 in
// zone-2, 3 and 6 in zone-0.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

constexpr std::size_t kWorkers = 6;
constexpr std::int64_t kRoom = 4;  // tasks on a worker
constexpr std::uint32_t kAllRoom = kWorkers * kRoom;
constexpr std::uint32_t kZoneRoom = kAllRoom / 3;

/// What nodes of the former version write and read.
struct FormerConfigure {
  jobs::Configuration configuration;
  MSGPACK_DEFINE(configuration)
};
using FormerSnapshot =
    std::tuple<jobs::Configuration, std::map<jobs::JobId, jobs::Job>,
               std::map<jobs::WorkerId, jobs::Worker>, std::map<jobs::WaveId, jobs::Wave>,
               std::map<jobs::VmId, jobs::RecordVmOrder>, std::int64_t, jobs::KnownQueues::Stored,
               jobs::KnownTeams::Stored>;

AnswerCode Order(JobCluster& cluster, const std::string& zone, bool evacuated) {
  const jobs::EvacuationCall call{.zone = zone, .evacuated = evacuated};
  const AnswerCode code = cluster.CallAndWait(0, call).code;
  if (evacuated && code == AnswerCode::kOk) cluster.closed_zones[zone] = cluster.now();
  return code;
}

AnswerCode Evacuate(JobCluster& cluster, const std::string& zone) {
  return Order(cluster, zone, true);
}

AnswerCode TakeBack(JobCluster& cluster, const std::string& zone) {
  cluster.closed_zones.erase(zone);
  return Order(cluster, zone, false);
}

void Submit(JobCluster& cluster, const jobs::JobCall& job) {
  REQUIRE(cluster.CallAndWait(cluster.edge(0), job).code == AnswerCode::kOk);
}

std::string PhaseOf(JobCluster& cluster, jobs::JobId job) {
  const jobs::JobCall query{.host = "shop", .path = "/q/" + jobs::FormatJob(job)};
  return cluster.CallAndWait(cluster.edge(0), query).text;
}

/// Number of tasks that run on workers of the zone; of all workers if `zone` is empty.
std::size_t RunningIn(JobCluster& cluster, const std::string& zone) {
  std::size_t running = 0;
  for (auto& [id, worker] : cluster.workers()) {
    if (!worker.alive || (!zone.empty() && worker.record().zone != zone)) continue;
    worker.Advance(cluster.now());
    running += worker.running().size();
  }
  return running;
}

std::size_t UpIn(JobCluster& cluster, const std::string& zone) {
  return static_cast<std::size_t>(std::ranges::count_if(cluster.workers(), [&](const auto& entry) {
    return entry.second.alive && entry.second.record().zone == zone;
  }));
}

bool WaitForLeader(JobCluster& cluster) {
  return cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 10 * kSecond);
}

bool IsEvacuated(JobCluster& cluster, const std::string& zone) {
  return cluster.state(*cluster.Leader()).IsEvacuated(zone);
}

/// A job of long-running tasks, at most one of which may be interrupted at a time.
jobs::JobCall MakeLastingJob(jobs::JobId job, std::uint32_t tasks, std::uint32_t max_per_worker) {
  jobs::JobCall call = MakePrintJob(job, tasks, 600'000);
  call.spec.steps.front().long_running = true;
  call.spec.steps.front().max_per_worker = max_per_worker;
  call.spec.steps.front().max_unavailable = 1;
  return call;
}

}  // namespace

// Guards against tasks that start in a zone that an operator was told is evacuated.
TEST_CASE("an evacuated zone gets no tasks") {
  JobCluster cluster({.seed = 11});
  StartPrintCluster(cluster, kWorkers, kRoom);

  SECTION("while those that run there end by themselves") {
    Submit(cluster, MakePrintJob(1, kAllRoom, 2'000));
    cluster.RunFor(500 * kMillisecond);
    REQUIRE(RunningIn(cluster, "zone-1") == kZoneRoom);
    REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    CHECK(RunningIn(cluster, "zone-1") == kZoneRoom);
    Submit(cluster, MakePrintJob(2, kAllRoom, 1'000));
    cluster.RunFor(2 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
    CHECK(RunningIn(cluster, "zone-1") == 0);
    cluster.RunFor(4 * kSecond);
    CHECK(PhaseOf(cluster, 2) == "completed");

    SECTION("until it is taken back") {
      REQUIRE(TakeBack(cluster, "zone-1") == AnswerCode::kOk);
      Submit(cluster, MakePrintJob(3, kAllRoom, 1'000));
      cluster.RunFor(500 * kMillisecond);
      CHECK(RunningIn(cluster, "zone-1") == kZoneRoom);
    }
  }
  SECTION("also if the order is repeated, and so is the one to take it back") {
    for (int i = 0; i < 2; ++i) REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    for (int i = 0; i < 2; ++i) REQUIRE(TakeBack(cluster, "zone-1") == AnswerCode::kOk);
    CHECK_FALSE(IsEvacuated(cluster, "zone-1"));
  }
  SECTION("but a zone that nobody knows is refused, and nothing changes") {
    CHECK(Evacuate(cluster, "zone-9") == AnswerCode::kInvalid);
    CHECK(TakeBack(cluster, "zone-9") == AnswerCode::kInvalid);
    CHECK(cluster.state(*cluster.Leader()).evacuated_zones().empty());
  }
  SECTION("and with all zones evacuated a job waits until one is taken back") {
    for (const char* zone : {"zone-0", "zone-1", "zone-2"}) {
      REQUIRE(Evacuate(cluster, zone) == AnswerCode::kOk);
    }
    Submit(cluster, MakePrintJob(1, kZoneRoom, 500));
    cluster.RunFor(3 * kSecond);
    CHECK(PhaseOf(cluster, 1) == "queued");
    REQUIRE(TakeBack(cluster, "zone-2") == AnswerCode::kOk);
    cluster.RunFor(kSecond);
    CHECK(PhaseOf(cluster, 1) == "completed");
  }
  CHECK(cluster.violations.empty());
}

// Guards against an acknowledged order that is forgotten.
TEST_CASE("an evacuation outlives failures of the core nodes") {
  JobCluster cluster({.seed = 12});
  StartPrintCluster(cluster, kWorkers, kRoom);

  SECTION("of the leader right after the acknowledgement") {
    Submit(cluster, MakePrintJob(1, kAllRoom, 1'000));
    REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    cluster.LosePower(*cluster.Leader());
    cluster.RunFor(100 * kMillisecond);
    REQUIRE(WaitForLeader(cluster));
  }
  SECTION("of all of them at the same time") {
    REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    for (std::size_t node = 0; node < cluster.cores(); ++node) cluster.LosePower(node);
    for (std::size_t node = 0; node < cluster.cores(); ++node) cluster.Start(node);
    REQUIRE(WaitForLeader(cluster));
  }
  SECTION("of two disks while the others lose power") {
    REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    cluster.RunFor(kSecond);
    for (std::size_t node = 0; node < cluster.cores(); ++node) {
      if (node < 2) {
        cluster.LoseDisk(node);
      } else {
        cluster.LosePower(node);
      }
    }
    for (std::size_t node = 0; node < cluster.cores(); ++node) cluster.Start(node);
    REQUIRE(WaitForLeader(cluster));
  }
  CHECK(IsEvacuated(cluster, "zone-1"));
  Submit(cluster, MakePrintJob(2, kAllRoom, 500));
  cluster.RunFor(8 * kSecond);
  CHECK(PhaseOf(cluster, 2) == "completed");
  REQUIRE(TakeBack(cluster, "zone-1") == AnswerCode::kOk);
  CHECK_FALSE(IsEvacuated(cluster, "zone-1"));
  CHECK(cluster.violations.empty());
}

// Guards against an order that is acknowledged though no majority has it.
TEST_CASE("an evacuation without a majority is not acknowledged") {
  JobCluster cluster({.seed = 13});
  StartPrintCluster(cluster, kWorkers, kRoom);
  const std::size_t leader = *cluster.Leader();
  std::size_t isolated = 0;
  for (std::size_t node = 0; node < cluster.cores() && isolated < 3; ++node) {
    if (node == leader) continue;
    cluster.Isolate(node, 6 * kSecond);
    ++isolated;
  }
  const jobs::EvacuationCall call{.zone = "zone-1", .evacuated = true};
  CHECK(cluster.CallAndWait(leader, call, 950).code != AnswerCode::kOk);
  cluster.RunFor(8 * kSecond);
  REQUIRE(WaitForLeader(cluster));
  // The operator sends it again.
  REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
  CHECK(IsEvacuated(cluster, "zone-1"));
}

// Guards against a start that is sent again after the evacuation because it had no answer.
TEST_CASE("a start without an answer is not repeated in an evacuated zone") {
  JobCluster cluster({.seed = 14});
  StartPrintCluster(cluster, kWorkers, kRoom);
  cluster.options().late_orders = 1;
  Submit(cluster, MakePrintJob(1, kAllRoom, 500));
  cluster.RunFor(100 * kMillisecond);
  REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
  cluster.options().late_orders = 0;
  cluster.RunFor(25 * kSecond);
  CHECK(PhaseOf(cluster, 1) == "completed");
  CHECK(cluster.violations.empty());
}

// Guards against long-running tasks that stay in a zone that is to be emptied, and against moving
// more of them at a time than their step bears.
TEST_CASE("long-running tasks leave an evacuated zone") {
  JobCluster cluster({.seed = 15});
  constexpr std::uint32_t kTasks = 6;
  const auto run_all = [&] { return RunningIn(cluster, "") == kTasks; };

  SECTION("one after the other where there is room elsewhere") {
    StartPrintCluster(cluster, kWorkers, kRoom);
    Submit(cluster, MakeLastingJob(1, kTasks, 2));
    REQUIRE(cluster.RunUntilTrue(run_all, 3 * kSecond));
    cluster.RunFor(2 * kSecond);
    const std::size_t before = RunningIn(cluster, "zone-1");
    REQUIRE(before > 0);
    REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    std::size_t least = kTasks;
    cluster.RunUntilTrue(
        [&] {
          least = std::min(least, RunningIn(cluster, ""));
          return RunningIn(cluster, "zone-1") == 0 && run_all();
        },
        10 * kSecond);
    CHECK(RunningIn(cluster, "zone-1") == 0);
    CHECK(run_all());
    CHECK(least == kTasks - 1);
  }
  SECTION("but go on where there is none") {
    StartPrintCluster(cluster, kWorkers, 1);
    Submit(cluster, MakeLastingJob(1, kTasks, 1));
    REQUIRE(cluster.RunUntilTrue(run_all, 3 * kSecond));
    cluster.RunFor(2 * kSecond);
    REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
    cluster.RunFor(5 * kSecond);
    CHECK(RunningIn(cluster, "zone-1") == 2);
    CHECK(run_all());
  }
  CHECK(cluster.violations.empty());
}

// Guards against VMs of an evacuated zone that count as room, or are switched on for work that may
// not start there.
TEST_CASE("VMs of an evacuated zone are switched off and stay so") {
  JobCluster cluster({.seed = 16, .model_vms = true});
  cluster.standby_pools = {"off"};
  REQUIRE(WaitForLeader(cluster));
  cluster.RunFor(kSecond);
  jobs::ConfigureCall call = MakePrintConfiguration();
  call.configuration.services.push_back({.name = "off", .standby = true});
  REQUIRE(cluster.CallAndWait(0, call).code == AnswerCode::kOk);
  for (std::size_t i = 0; i < 2 * kWorkers; ++i) {
    cluster.AddWorker("print", {.cpu = kRoom * kTaskCpu});
  }
  cluster.RunFor(2 * kSecond);
  Submit(cluster, MakeLastingJob(1, 3, 1));
  REQUIRE(Evacuate(cluster, "zone-1") == AnswerCode::kOk);
  cluster.RunFor(12 * kSecond);
  CHECK(UpIn(cluster, "zone-1") == 0);
  CHECK(UpIn(cluster, "zone-0") + UpIn(cluster, "zone-2") >= 3);

  SECTION("though there is more work than the other zones have room for") {
    Submit(cluster, MakePrintJob(2, 4 * kAllRoom, 1'000));
    cluster.RunFor(3 * kSecond);
    CHECK(UpIn(cluster, "zone-1") == 0);
    CHECK(UpIn(cluster, "zone-0") + UpIn(cluster, "zone-2") == 8);
    REQUIRE(TakeBack(cluster, "zone-1") == AnswerCode::kOk);
    Submit(cluster, MakePrintJob(3, 8 * kAllRoom, 1'000));
    CHECK(cluster.RunUntilTrue([&] { return UpIn(cluster, "zone-1") == 4; }, 8 * kSecond));
  }
  CHECK(cluster.violations.empty());
}

// Guards against nodes of the former version that cannot read the log, and against their snapshots.
TEST_CASE("evacuations beside nodes of the former version") {
  const jobs::Configure order{.zone_order = {.zone = "zone-1", .evacuated = true, .wall_ms = 7}};

  SECTION("they read an order as a configuration that is never in force") {
    CHECK(Decode<FormerConfigure>(Encode(order)).configuration.version == 0);
  }
  SECTION("their configurations are read without an order") {
    const FormerConfigure former{.configuration = {.version = 3}};
    const auto read = Decode<jobs::Configure>(Encode(former));
    CHECK_FALSE(read.is_zone_order());
    CHECK(read.configuration.version == 3);
  }
  SECTION("a snapshot has the evacuated zones, and one of the former version has none") {
    jobs::State state;
    state.Apply(order);
    state.Apply(jobs::Configure{.zone_order = {.zone = "zone-1", .evacuated = true, .wall_ms = 9}});
    jobs::State copy;
    copy.Decode(state.Encode());
    CHECK(copy.evacuated_zones() == std::map<std::string, std::int64_t>{{"zone-1", 7}});
    copy.Decode(Encode(FormerSnapshot()));
    CHECK(copy.evacuated_zones().empty());
  }
}

}  // namespace godwitpaddle::testing

#include <malloc.h>

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/fake_backend.h"
#include "tests/fake_operator.h"
#include "tests/virtual_cluster.h"

// Measures the cost of the control protocol per role in a group of nine nodes, for several fleet
// sizes: bytes, messages and processor time per second, and memory per node. Nodes, messages and
// states are those of the product; time is virtual.

namespace godwitpaddle::testing {
namespace {

constexpr std::size_t kNodes = 9;
constexpr std::size_t kDisks = 5;
constexpr int kZones = 18;
constexpr int kRegions = 5;
constexpr int kServersPerRack = 4;
constexpr Micros kMeasuredTime = 20 * kSecond;

struct FleetSize {
  int workers = 0;
  int pools = 0;
  int teams = 0;
};

struct Load {
  double changes_per_s = 0;
  double requests_per_s = 0;
  bool announcements = true;
};

std::map<std::string, std::string> ConfigFiles(const FleetSize& size) {
  nlohmann::json pools;
  nlohmann::json vms;
  nlohmann::json queues;
  nlohmann::json teams;
  for (int i = 0; i < size.pools; ++i) {
    const std::string name = "pool-" + std::to_string(i);
    pools[name] = {{"service", name}, {"min_available", 1}};
    queues["queue-" + std::to_string(i)] = {{"pool", name}, {"idempotent", true}};
  }
  for (int i = 0; i < size.workers; ++i) {
    vms["vm-" + std::to_string(i)] = {{"pool", "pool-" + std::to_string(i % size.pools)},
                                      {"region", "r" + std::to_string(i % kRegions)},
                                      {"zone", "z" + std::to_string(i % kZones)},
                                      {"rack", "rack-" + std::to_string(i / kServersPerRack)},
                                      {"cores", 64},
                                      {"memory_mb", 128'000}};
  }
  for (int i = 0; i < size.teams; ++i) {
    teams["team-" + std::to_string(i)] = {{"share", 1 + i % 7}, {"limit", 64}};
  }
  return {{"00-fleet.json", nlohmann::json{{"fleet", {{"name", "capacity"}}}}.dump()},
          {"10-pools.json", nlohmann::json{{"pools", pools}, {"queues", queues}}.dump()},
          {"20-vms.json", nlohmann::json{{"vms", vms}}.dump()},
          {"30-teams.json", nlohmann::json{{"teams", teams}}.dump()}};
}

struct Measurement {
  std::vector<NodeUsage> usage;
  std::size_t leader = 0;
  std::size_t state_bytes = 0;
  std::size_t heap_per_node = 0;
  double changes = 0;
  double slowest_change_s = 0;
  double requests = 0;
};

std::size_t HeapInUse() { return mallinfo2().uordblks; }

/// Submits and approves one small change and records the time until it was in force on every node.
void SubmitChange(VirtualCluster& cluster, FakeOperator& admin, int number, Measurement& result) {
  const std::string name = "90-change.json";
  const std::string text =
      nlohmann::json{{"teams", {{"team-0", {{"limit", 64 + number % 8}}}}}}.dump();
  const Micros start = cluster.now();
  if (admin.Configure({{name, text}})) {
    result.changes += 1;
    result.slowest_change_s =
        std::max(result.slowest_change_s, static_cast<double>(cluster.now() - start) / kSecond);
  }
}

Measurement Measure(const FleetSize& size, const Load& load) {
  const std::size_t heap_before = HeapInUse();
  VirtualCluster cluster(kNodes, kDisks, 7);
  FakeBackend backend(cluster);
  FakeOperator admin(cluster);
  cluster.set_environment(&backend);
  Measurement result;
  if (!admin.Bootstrap(3) || !admin.Configure(ConfigFiles(size))) {
    std::fprintf(stderr, "the group did not form\n");
    std::exit(1);
  }
  std::vector<std::string> keys;
  if (load.requests_per_s > 0) {
    for (int i = 0; i < size.teams; i += 10) {
      keys.push_back(admin.GrantTeamKey("team-" + std::to_string(i)));
    }
  }
  if (load.announcements) {
    for (int i = 0; i < size.workers; ++i) {
      backend.AddServer("vm-" + std::to_string(i), "pool-" + std::to_string(i % size.pools),
                        "rack-" + std::to_string(i / kServersPerRack),
                        "z" + std::to_string(i % kZones), 8);
    }
  }
  cluster.RunFor(10 * kSecond);
  cluster.StartAccounting();
  result.leader = cluster.LeaderIndex().value_or(0);
  const Micros end = cluster.now() + kMeasuredTime;
  const Micros change_every =
      load.changes_per_s > 0 ? static_cast<Micros>(kSecond / load.changes_per_s) : 0;
  const Micros request_every =
      load.requests_per_s > 0 ? static_cast<Micros>(kSecond / load.requests_per_s) : 0;
  for (Micros at = cluster.now(); request_every > 0 && at < end; at += request_every) {
    cluster.At(at, [&] {
      const std::size_t team = UniformBelow(cluster.rng(), keys.size());
      const Job job{.id = "r", .team = "team-" + std::to_string(team * 10), .run_ms = 200};
      const std::string queue = "queue-" + std::to_string(UniformBelow(cluster.rng(), size.pools));
      result.requests += 1;
      cluster.Http(UniformBelow(cluster.rng(), kNodes),
                   {.method = "POST",
                    .path = "/v1/queues/" + queue + "/requests",
                    .headers = {{"authorization", "Bearer " + keys[team]}},
                    .body = job.Body()},
                   [](const auto&) {});
    });
  }
  int number = 0;
  while (cluster.now() < end) {
    const Micros next = change_every > 0 ? cluster.now() + change_every : end;
    if (change_every > 0) SubmitChange(cluster, admin, ++number, result);
    cluster.RunUntil(std::min(next, end));
  }
  result.usage = cluster.usage();
  result.state_bytes = Encode(cluster.node(0).state()).size();
  result.heap_per_node = (HeapInUse() - heap_before) / kNodes;
  return result;
}

void Print(const char* what, const FleetSize& size, const Measurement& result) {
  const double seconds = static_cast<double>(kMeasuredTime) / kSecond;
  double most_cpu = 0;
  double most_bytes = 0;
  for (std::size_t i = 0; i < result.usage.size(); ++i) {
    if (i == result.leader) continue;
    most_cpu = std::max(most_cpu, static_cast<double>(result.usage[i].cpu_ns));
    most_bytes = std::max(
        most_bytes, static_cast<double>(result.usage[i].bytes_in + result.usage[i].bytes_out));
  }
  const NodeUsage& leader = result.usage[result.leader];
  std::printf(
      "%-12s workers=%d pools=%d teams=%d leader_cpu_pct=%.3f leader_kb_s=%.2f other_cpu_pct=%.3f "
      "other_kb_s=%.2f "
      "leader_msgs_s=%.0f state_kb=%.0f heap_mb_node=%.2f changes=%.0f slowest_force_s=%.2f "
      "requests=%.0f\n",
      what, size.workers, size.pools, size.teams,
      static_cast<double>(leader.cpu_ns) / 1e7 / seconds,
      static_cast<double>(leader.bytes_in + leader.bytes_out) / 1e3 / seconds,
      most_cpu / 1e7 / seconds, most_bytes / 1e3 / seconds,
      static_cast<double>(leader.messages_out) / seconds,
      static_cast<double>(result.state_bytes) / 1e3,
      static_cast<double>(result.heap_per_node) / 1e6, result.changes, result.slowest_change_s,
      result.requests);
  std::fflush(stdout);
}

int Main() {
  const std::vector<FleetSize> sizes = {
      {.workers = 50, .pools = 5, .teams = 6},
      {.workers = 500, .pools = 41, .teams = 108},
      {.workers = 1'000, .pools = 82, .teams = 215},
      {.workers = 2'000, .pools = 163, .teams = 430},
  };
  for (const FleetSize& size : sizes) {
    Print("quiet", size, Measure(size, {.announcements = false}));
    Print("announcing", size, Measure(size, {}));
    Print("changing", size, Measure(size, {.changes_per_s = 0.5, .announcements = false}));
    Print("serving", size, Measure(size, {.requests_per_s = 100}));
  }
  return 0;
}

}  // namespace
}  // namespace godwitpaddle::testing

int main() { return godwitpaddle::testing::Main(); }

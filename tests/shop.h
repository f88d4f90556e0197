#ifndef GODWITPADDLE_TESTS_SHOP_H_
#define GODWITPADDLE_TESTS_SHOP_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "tests/job_cluster.h"

/// A cluster whose operator replaces the queues and the teams, for tests of what calls get then.
namespace godwitpaddle::testing {

inline constexpr jobs::JobId kJob = 10;
inline constexpr std::int64_t kLongMs = 60'000;
inline constexpr std::int64_t kTaskCpu = 1'000;

inline jobs::Queue MakeQueue(std::string name, std::string prefix, std::string service) {
  return {.name = std::move(name),
          .host = "shop",
          .prefix = std::move(prefix),
          .service = std::move(service),
          .attempts = 3,
          .stretch = 2,
          .target_latency_ms = 600,
          .timeout_ms = 3'000};
}

/// Two services with their workers, and an operator who replaces the queues and the teams.
struct Shop {
  JobCluster cluster;
  std::uint64_t version = 0;
  std::vector<jobs::Queue> queues = {MakeQueue("quotes", "/q/", "print"),
                                     MakeQueue("dyes", "/d/", "dye")};
  std::vector<jobs::Team> teams = {{.name = "mill", .keys = {"k1"}}};

  explicit Shop(std::uint64_t seed, std::int64_t tasks_per_worker = 4) : cluster({.seed = seed}) {
    REQUIRE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond));
    cluster.RunFor(kSecond);
    Configure();
    for (const char* service : {"print", "dye"}) {
      for (int i = 0; i < 2; ++i) {
        cluster.AddWorker(service, {.cpu = tasks_per_worker * kTaskCpu});
      }
    }
    cluster.RunFor(2 * kSecond);
  }

  jobs::ConfigureCall NextConfiguration() {
    jobs::Configuration next{.version = ++version, .queues = queues, .teams = teams};
    next.services = {{.name = "print"}, {.name = "dye"}};
    next.document = "version " + std::to_string(version);
    return {.configuration = std::move(next)};
  }
  void Configure() {
    REQUIRE(cluster.CallAndWait(0, NextConfiguration()).code == jobs::AnswerCode::kOk);
  }

  static jobs::JobCall MakeCall(jobs::JobCallKind kind, const std::string& path) {
    return {.kind = kind, .host = "shop", .path = path, .key = "k1"};
  }
  static jobs::JobCall MakeSubmit(const std::string& prefix, jobs::JobId job, std::uint32_t tasks,
                                  std::int64_t duration_ms = kLongMs) {
    jobs::JobCall call = MakeCall(jobs::JobCallKind::kSubmit, prefix + jobs::FormatJob(job));
    call.spec.payload = std::to_string(kTaskCpu) + " " + std::to_string(duration_ms);
    call.spec.steps = {{.count = tasks, .size = {.cpu = kTaskCpu}, .estimate_ms = duration_ms}};
    return call;
  }
  jobs::Answer Ask(jobs::JobCall call) {
    return cluster.CallAndWait(cluster.edge(0), std::move(call));
  }
  jobs::AnswerCode Submit(const std::string& prefix, jobs::JobId job, std::uint32_t tasks) {
    return Ask(MakeSubmit(prefix, job, tasks)).code;
  }
  jobs::Answer Query(const std::string& prefix, jobs::JobId job) {
    return Ask(MakeCall(jobs::JobCallKind::kQuery, prefix + jobs::FormatJob(job)));
  }
  jobs::AnswerCode Cancel(const std::string& prefix, jobs::JobId job) {
    return Ask(MakeCall(jobs::JobCallKind::kCancel, prefix + jobs::FormatJob(job))).code;
  }
  std::uint64_t Pending(const std::string& prefix) {
    return Ask(MakeCall(jobs::JobCallKind::kQuery, prefix)).number;
  }

  /// Number of the runs on the workers of the service, of one job or, if `job` is 0, of all.
  std::size_t Running(const std::string& service, jobs::JobId job = 0) {
    std::size_t count = 0;
    for (const auto& [id, worker] : cluster.workers()) {
      if (!worker.alive || worker.record().service != service) continue;
      count += static_cast<std::size_t>(std::ranges::count_if(
          worker.running(),
          [job](const auto& entry) { return job == 0 || entry.first.job == job; }));
    }
    return count;
  }
  /// Restarts the workers of the service: their tasks have to start again.
  void RestartWorkers(const std::string& service) {
    for (auto& [id, worker] : cluster.workers()) {
      if (worker.record().service != service) continue;
      cluster.CrashWorker(id);
      cluster.RestartWorker(id);
    }
    cluster.RunFor(8 * kSecond);
  }
  void KillLeader() {
    const std::size_t leader = *cluster.Leader();
    cluster.Kill(leader);
    cluster.RunFor(3 * kSecond);
    cluster.Start(leader);
    cluster.RunFor(3 * kSecond);
  }
  /// All core nodes lose power and read their disks again.
  void RestartCoreNodes() {
    for (std::size_t node = 0; node < cluster.cores(); ++node) cluster.LosePower(node);
    cluster.RunFor(kSecond);
    for (std::size_t node = 0; node < cluster.cores(); ++node) cluster.Start(node);
    cluster.RunFor(6 * kSecond);
  }
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_SHOP_H_

#ifndef GODWITPADDLE_BENCH_DEPLOYMENT_H_
#define GODWITPADDLE_BENCH_DEPLOYMENT_H_

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "decision/pool_scheduler.h"

namespace godwitpaddle::bench {

/// A service with one pool and one queue. The run time, cores, memory and deadline are means:
/// the individual tasks vary around them.
struct ServiceModel {
  std::string name;
  int workers = 10;
  bool idempotent = true;
  double run_s = 0.8;            // mean run time of a task
  double cores = 0.1;            // mean cores that a task uses
  std::int64_t memory_mb = 200;  // mean memory that a task uses
  Micros deadline = 15 * kSecond;
};

struct TeamModel {
  TeamId name;
  double share = 1;   // share of the team in the configuration
  double demand = 1;  // fraction of all requests that the team sends
};

/// One of the deployments that section 1.4 of the design page describes.
struct Deployment {
  std::string name;
  double worker_cores = 1;
  std::int64_t worker_memory_mb = 2560;
  std::vector<ServiceModel> services;
  std::vector<TeamModel> teams;
};

inline constexpr int kSlots = 8;
inline constexpr int kConnections = 64;
inline constexpr int kZones = 4;
inline constexpr int kWorkersPerRack = 4;

inline std::vector<TeamModel> SixTeams() {
  // Two teams are large. Demand is not proportional to share, so that some teams ask for more than
  // their share and others for less.
  return {{"alpha", 4, 0.34}, {"bravo", 3, 0.30},  {"carol", 1, 0.12},
          {"delta", 1, 0.10}, {"echo", 0.6, 0.08}, {"foxtrot", 0.4, 0.06}};
}

inline Deployment FederationDeployment() {
  return {.name = "federation",
          .worker_cores = 1.28,
          .worker_memory_mb = 2560,
          .services = {{"quoting", 12, true, 0.4, 0.10, 150, 8 * kSecond},
                       {"dyeing-batch", 10, true, 3.0, 0.14, 250, 40 * kSecond},
                       {"stock-ledger", 10, false, 0.5, 0.08, 120, 10 * kSecond},
                       {"export-permit", 8, false, 1.2, 0.10, 200, 20 * kSecond},
                       {"notice", 10, true, 0.3, 0.05, 80, 30 * kSecond}},
          .teams = SixTeams()};
}

inline Deployment QureshiDeployment() {
  return {.name = "qureshi",
          .worker_cores = 0.32,
          .worker_memory_mb = 1280,
          .services = {{"book", 12, false, 0.5, 0.03, 80, 8 * kSecond},
                       {"plan", 10, true, 4.0, 0.035, 120, 60 * kSecond},
                       {"track", 10, true, 0.3, 0.02, 60, 10 * kSecond},
                       {"bill", 8, false, 1.5, 0.03, 100, 30 * kSecond},
                       {"dispatch", 10, true, 0.8, 0.025, 90, 20 * kSecond}},
          .teams = SixTeams()};
}

/// A generated request, with the properties that the scheduler cannot see.
struct SimulatedRequest {
  QueuedRequest request;
  double run_s = 0;  // actual run time
  double cores = 0;  // cores that the task actually uses
  std::int64_t memory_mb = 0;
  bool always_fails = false;  // fails on every server
  bool oversized = false;     // requests more cores than any server has
};

struct RequestOptions {
  std::uint64_t seed = 1;
  Micros length = 240 * kSecond;
  Micros burst = 8 * kSecond;
  double mean_load = 0.36;  // fraction of the pool's slots; a burst (5 x 0.36) exceeds the pool
  // Fractions of the requests.
  double urgent = 0.03;
  double always_fails = 0.003;
  double oversized = 0.002;
};

inline double Exponential(Rng& rng, double mean) { return -mean * std::log(1 - UniformUnit(rng)); }

/// Returns a random factor between 1/by and by, uniform on a logarithmic scale. Declared sizes and
/// run times differ from the actual ones by such factors.
inline double LogUniformFactor(Rng& rng, double by) {
  return std::pow(by, 2 * UniformUnit(rng) - 1);
}

/// Generates the requests for service number `turn`. The services have bursts in turn: a service
/// receives five times its mean rate during its burst and a twentieth of it otherwise.
inline std::vector<SimulatedRequest> GenerateRequests(const Deployment& deployment,
                                                      std::size_t turn,
                                                      const RequestOptions& options) {
  const ServiceModel& service = deployment.services[turn];
  Rng rng(options.seed * 1000 + turn);
  std::vector<SimulatedRequest> stream;
  const double mean_arrivals_per_s = options.mean_load * service.workers * kSlots / service.run_s;
  Micros at = kSecond;
  while (at < options.length) {
    const bool burst =
        static_cast<std::size_t>(at / options.burst) % deployment.services.size() == turn;
    const double arrivals_per_s = mean_arrivals_per_s * (burst ? 5.0 : 0.05);
    const Micros step = static_cast<Micros>(Exponential(rng, 1 / arrivals_per_s) * kSecond) + 1;
    const Micros boundary = (at / options.burst + 1) * options.burst;
    if (at + step > boundary) {
      at = boundary;
      continue;
    }
    at += step;
    SimulatedRequest entry;
    double pick = UniformUnit(rng);
    std::size_t team = 0;
    while (team + 1 < deployment.teams.size() && pick >= deployment.teams[team].demand) {
      pick -= deployment.teams[team++].demand;
    }
    entry.run_s =
        std::clamp(Exponential(rng, service.run_s), service.run_s / 20, service.run_s * 6);
    entry.cores = service.cores * LogUniformFactor(rng, 1.5);
    entry.memory_mb = static_cast<std::int64_t>(service.memory_mb * LogUniformFactor(rng, 1.5));
    entry.always_fails = UniformUnit(rng) < options.always_fails;
    entry.oversized = UniformUnit(rng) < options.oversized;
    const bool urgent = UniformUnit(rng) < options.urgent;
    entry.request = {
        .id = stream.size() + 1,
        .queue = service.name,
        .team = deployment.teams[team].name,
        .priority = urgent ? Priority::kUrgent : Priority::kNormal,
        .size = {.cores = std::min(entry.cores * LogUniformFactor(rng, 4), deployment.worker_cores),
                 .memory_mb =
                     std::min(static_cast<std::int64_t>(static_cast<double>(entry.memory_mb) *
                                                        LogUniformFactor(rng, 4)),
                              deployment.worker_memory_mb),
                 .run_time =
                     static_cast<Micros>(entry.run_s * LogUniformFactor(rng, 10) * kSecond)},
        .arrived = at,
        .deadline = at + static_cast<Micros>(service.deadline * (0.5 + UniformUnit(rng))),
        .idempotent = service.idempotent};
    if (entry.oversized) entry.request.size.cores = deployment.worker_cores * 4;
    stream.push_back(entry);
  }
  return stream;
}

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_DEPLOYMENT_H_

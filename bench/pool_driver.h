#ifndef GODWITPADDLE_BENCH_POOL_DRIVER_H_
#define GODWITPADDLE_BENCH_POOL_DRIVER_H_

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

#include "bench/deployment.h"
#include "bench/pool_policy.h"
#include "bench/signature.h"

namespace godwitpaddle::bench {

/// Metrics of one run or the sums over several runs. The counts of requests leave out those that
/// always fail or are oversized, except where noted.
struct PoolMetrics {
  int eligible = 0;  // requests that can succeed and were not cancelled
  int in_time = 0;
  int late = 0;
  int refused_early = 0;  // refused at admission
  int refused_late = 0;   // expired in the queue
  int failed = 0;         // abandoned after a failed attempt
  int starts = 0;         // starts of any request
  int wasted = 0;  // starts (of any request) without an answer in time, except checkpointed ones
  int urgent_requests = 0;            // all urgent requests except oversized ones
  std::vector<double> urgent_wait_s;  // wait until the first start, of urgent requests that started
  double idle_slot_s = 0;             // free slot seconds of healthy servers while requests wait
  double total_slot_s = 0;            // all slot seconds of healthy servers while requests wait
  double server_s = 0;
  double core_overload_s = 0;    // time in which tasks use more cores than the server has
  double memory_overload_s = 0;  // time in which tasks use more memory than the server has
  // Used slot seconds and the team's fair part of them while the pool is full, by run and team.
  std::map<std::string, std::pair<double, double>> share;
  // As `share`, but by run, burst (40 s of virtual time) and team.
  std::map<std::string, std::pair<double, double>> burst_share;
  std::map<std::string, double> burst_slots;  // slot seconds used while full, by run and burst
};

struct DriverOptions {
  bool faults = false;
  std::uint64_t seed = 1;
  Micros length = 240 * kSecond;
};

inline constexpr Micros kStep = 5 * kMillisecond;
inline constexpr Micros kClaimDelay = 10 * kMillisecond;
inline constexpr Micros kCheckpointDelay = 150 * kMillisecond;

inline std::string JoinPath(std::string path, const std::string& name) {
  path += '/';
  path += name;
  return path;
}

/// Simulates one pool in virtual time: sends generated requests to the policy and executes its
/// decisions on simulated backend servers.
class PoolDriver {
 public:
  PoolDriver(const Deployment& deployment, std::size_t turn, DriverOptions options,
             PoolPolicy& policy, PoolMetrics& metrics, Signature& signature)
      : deployment_(deployment),
        service_(deployment.services[turn]),
        options_(options),
        policy_(policy),
        metrics_(metrics),
        signature_(signature),
        rng_(options.seed * 77 + turn),
        run_name_(deployment.name + "/" + service_.name + "/" + std::to_string(options.seed)) {
    stream_ = GenerateRequests(deployment, turn, {.seed = options.seed, .length = options.length});
    servers_.resize(service_.workers);
    for (const TeamModel& team : deployment.teams) teams_[team.name].weight = team.share;
  }

  void Run() {
    // The 30 s after the last arrival let late requests finish.
    const Micros end = options_.length + 30 * kSecond;
    for (now_ = kStep; now_ < end; now_ += kStep) {
      if (options_.faults) InjectFaults();
      Announce();
      FinishDue();
      AdmitArrivals();
      for (const Refusal& refusal : policy_.Expire(now_)) RecordRefusal(refusal.id, false);
      ConfirmClaims();
      for (const Placement& placement : policy_.Dispatch(RunningLimitOf, now_)) {
        StartTask(placement);
      }
      for (const TaskOrder& order : policy_.TakeOrders(now_)) ScheduleOrder(order);
      Measure();
      if (const auto violation = policy_.FindViolation()) throw std::runtime_error(*violation);
    }
  }

 private:
  struct ServerModel {
    int incarnation = 1;
    Micros down_until = 0;
    Micros failing_until = 0;
    std::set<RequestId> tasks;
  };
  struct TeamLoad {
    double weight = 1;
    int running = 0;
    int queued = 0;
  };
  struct Task {
    int server = 0;
    Micros started = 0;
    std::uint64_t version = 0;  // number of starts; the ends of earlier starts are ignored
    double done_s = 0;          // run time completed up to the last checkpoint
  };
  using End = std::tuple<Micros, RequestId, std::uint64_t, TaskEnd>;

  static int RunningLimitOf(const TeamId& team) {
    return team == "alpha" || team == "bravo" ? 60 : 36;
  }

  SimulatedRequest& RequestOf(RequestId id) { return stream_[id - 1]; }

  void Announce() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if ((now_ / kStep + static_cast<Micros>(i) * 20) % (kSecond / kStep) != 0) continue;
      if (servers_[i].down_until > now_) continue;
      Announcement a{.server = ServerName(i),
                     .incarnation = std::to_string(servers_[i].incarnation),
                     .vm = "vm" + std::to_string(i),
                     .rack = "r" + std::to_string(i / kWorkersPerRack),
                     .zone = "z" + std::to_string(i / kWorkersPerRack % kZones),
                     .service = service_.name,
                     .slots = kSlots,
                     .connections = kConnections,
                     .cores = deployment_.worker_cores,
                     .memory_mb = deployment_.worker_memory_mb};
      for (const RequestId id : servers_[i].tasks) {
        a.tasks.push_back({tasks_[id].version > 1
                               ? std::to_string(id) + "." + std::to_string(tasks_[id].version)
                               : std::to_string(id),
                           RequestOf(id).cores, RequestOf(id).memory_mb});
      }
      policy_.Announce(a, now_);
    }
  }

  static std::string ServerName(std::size_t index) {
    return (index < 10 ? "s0" : "s") + std::to_string(index);
  }

  void InjectFaults() {
    if (now_ % (7 * kSecond) == 0) {  // a server goes down for 10 s
      ServerModel& server = servers_[UniformBelow(rng_, servers_.size())];
      if (server.down_until <= now_) {
        server.down_until = now_ + 10 * kSecond;
        ++server.incarnation;
        const std::set<RequestId> lost = server.tasks;
        for (const RequestId id : lost) {
          ends_.emplace(now_, id, tasks_[id].version, TaskEnd::kBroken);
        }
      }
    }
    if (now_ % (60 * kSecond) == 5 * kSecond) {  // a server fails every task it starts for 40 s
      servers_[UniformBelow(rng_, servers_.size())].failing_until = now_ + 40 * kSecond;
    }
    if (now_ % (20 * kSecond) == 3 * kSecond) CancelWave();
  }

  void CancelWave() {
    std::vector<RequestId> wave;
    for (const RequestId id : unfinished_) {
      if (UniformBelow(rng_, 4) == 0) wave.push_back(id);
    }
    for (const RequestId id : wave) {
      if (!policy_.Cancel(id)) continue;
      --teams_[RequestOf(id).request.team].queued;
      --metrics_.eligible;
      unfinished_.erase(id);
    }
  }

  void AdmitArrivals() {
    for (; next_ < stream_.size() && stream_[next_].request.arrived <= now_; ++next_) {
      SimulatedRequest& entry = stream_[next_];
      const bool counts = !entry.always_fails && !entry.oversized;
      if (counts) ++metrics_.eligible;
      if (entry.request.priority == Priority::kUrgent && !entry.oversized) {
        ++metrics_.urgent_requests;
      }
      ++teams_[entry.request.team].queued;
      unfinished_.insert(entry.request.id);
      if (policy_.Admit(entry.request, now_)) RecordRefusal(entry.request.id, true);
    }
  }

  void RecordRefusal(RequestId id, bool early) {
    const SimulatedRequest& entry = RequestOf(id);
    signature_.Add(id * 2 + (early ? 1 : 0));
    --teams_[entry.request.team].queued;
    unfinished_.erase(id);
    if (entry.always_fails || entry.oversized) return;
    ++(early ? metrics_.refused_early : metrics_.refused_late);
  }

  void ConfirmClaims() {
    for (const RequestId id : policy_.TakeClaimCandidates(now_)) {
      claims_.emplace_back(now_ + kClaimDelay, id);
    }
    std::size_t done = 0;
    while (done < claims_.size() && claims_[done].first <= now_) {
      policy_.ConfirmClaim(claims_[done++].second, now_);
    }
    claims_.erase(claims_.begin(), claims_.begin() + static_cast<std::ptrdiff_t>(done));
  }

  void StartTask(const Placement& placement) {
    const SimulatedRequest& entry = RequestOf(placement.id);
    signature_.Add(placement.id);
    signature_.Add(placement.server);
    const int index = std::stoi(placement.server.substr(1));
    ServerModel& server = servers_[index];
    Task& task = tasks_[placement.id];
    if (task.version == 0 && entry.request.priority == Priority::kUrgent) {
      metrics_.urgent_wait_s.push_back(static_cast<double>(now_ - entry.request.arrived) / kSecond);
    }
    task.server = index;
    task.started = now_;
    ++task.version;
    server.tasks.insert(placement.id);
    --teams_[entry.request.team].queued;
    ++teams_[entry.request.team].running;
    ++metrics_.starts;
    const double left = std::max(0.01, entry.run_s - task.done_s);
    Micros end = now_ + static_cast<Micros>(left * kSecond);
    TaskEnd how = TaskEnd::kDone;
    if (server.down_until > now_) {
      end = now_ + 10 * kMillisecond;
      how = TaskEnd::kNotSent;
    } else if (server.failing_until > now_) {
      end = now_ + 30 * kMillisecond;
      how = TaskEnd::kServerFailed;
    } else if (entry.always_fails || entry.oversized) {
      how = TaskEnd::kServerFailed;
    }
    ends_.emplace(end, placement.id, task.version, how);
  }

  void ScheduleOrder(const TaskOrder& order) {
    signature_.Add(order.id * 4 + static_cast<std::uint64_t>(order.kind));
    const Task& task = tasks_[order.id];
    const Micros at = now_ + kCheckpointDelay;
    if (order.kind == TaskOrderKind::kCheckpoint) {
      ends_.emplace(at, order.id, task.version, TaskEnd::kCheckpointed);
    } else if (order.kind == TaskOrderKind::kStop) {
      ends_.emplace(at, order.id, task.version, TaskEnd::kBroken);
    }
  }

  void FinishDue() {
    while (!ends_.empty() && std::get<0>(ends_.top()) <= now_) {
      const auto [at, id, version, how] = ends_.top();
      ends_.pop();
      Task& task = tasks_[id];
      ServerModel& server = servers_[task.server];
      if (task.version != version || server.tasks.erase(id) == 0) continue;
      if (how == TaskEnd::kCheckpointed) {
        task.done_s += static_cast<double>(now_ - task.started) / kSecond;
      }
      EndTask(id, how);
    }
  }

  void EndTask(RequestId id, TaskEnd how) {
    const SimulatedRequest& entry = RequestOf(id);
    TeamLoad& team = teams_[entry.request.team];
    --team.running;
    const FinishResult after = policy_.Finish(id, how, now_);
    signature_.Add(id * 4 + static_cast<std::uint64_t>(after));
    const bool in_time = how == TaskEnd::kDone && now_ <= entry.request.deadline;
    if (!in_time && how != TaskEnd::kCheckpointed) ++metrics_.wasted;
    if (after == FinishResult::kRequeued) {
      ++team.queued;
      return;
    }
    unfinished_.erase(id);
    if (entry.always_fails || entry.oversized) return;
    if (how != TaskEnd::kDone) {
      ++metrics_.failed;
    } else {
      ++(in_time ? metrics_.in_time : metrics_.late);
    }
  }

  // Returns the fair number of slots of each team: proportional to its weight, limited to its
  // demand and its running limit. Slots that a team does not need are divided among the others.
  std::map<TeamId, double> FairSlots(double capacity) const {
    std::map<TeamId, double> due;
    std::set<TeamId> open;
    for (const auto& [name, team] : teams_) {
      if (team.running + team.queued > 0) open.insert(name);
    }
    bool changed = true;
    while (changed && !open.empty()) {
      changed = false;
      double weights = 0;
      for (const TeamId& name : open) weights += teams_.at(name).weight;
      const double per_weight = capacity / weights;
      for (const TeamId& name : std::set<TeamId>(open)) {
        const TeamLoad& team = teams_.at(name);
        const double wanted = std::min(team.running + team.queued, RunningLimitOf(name));
        due[name] = per_weight * team.weight;
        if (wanted > due[name]) continue;
        due[name] = wanted;
        capacity -= wanted;
        open.erase(name);
        changed = true;
        break;
      }
    }
    return due;
  }

  void MeasureOverload() {
    const double seconds = static_cast<double>(kStep) / kSecond;
    for (const ServerModel& server : servers_) {
      double cores = 0;
      std::int64_t memory_mb = 0;
      for (const RequestId id : server.tasks) {
        cores += RequestOf(id).cores;
        memory_mb += RequestOf(id).memory_mb;
      }
      metrics_.server_s += seconds;
      if (cores > deployment_.worker_cores) metrics_.core_overload_s += seconds;
      if (memory_mb > deployment_.worker_memory_mb) metrics_.memory_overload_s += seconds;
    }
  }

  void Measure() {
    MeasureOverload();
    double capacity = 0;
    double used = 0;
    for (const ServerModel& server : servers_) {
      if (server.down_until > now_ || server.failing_until > now_) continue;
      capacity += kSlots;
      used += static_cast<double>(server.tasks.size());
    }
    double running = 0;
    bool waiting = false;
    for (const auto& [name, team] : teams_) {
      running += team.running;
      waiting = waiting || (team.queued > 0 && team.running < RunningLimitOf(name));
    }
    if (!waiting) return;
    const double seconds = static_cast<double>(kStep) / kSecond;
    metrics_.idle_slot_s += (capacity - used) * seconds;
    metrics_.total_slot_s += capacity * seconds;
    // The pool counts as full when 90 % of its slots are in use.
    if (running < 0.9 * capacity) return;
    const std::string burst = run_name_ + "/" + std::to_string(now_ / (40 * kSecond));
    for (const auto& [name, due] : FairSlots(running)) {
      auto& total = metrics_.share[JoinPath(run_name_, name)];
      total.first += teams_.at(name).running * seconds;
      total.second += due * seconds;
      auto& local = metrics_.burst_share[JoinPath(burst, name)];
      local.first += teams_.at(name).running * seconds;
      local.second += due * seconds;
    }
    metrics_.burst_slots[burst] += running * seconds;
  }

  const Deployment& deployment_;
  const ServiceModel& service_;
  DriverOptions options_;
  PoolPolicy& policy_;
  PoolMetrics& metrics_;
  Signature& signature_;
  Rng rng_;
  std::string run_name_;
  std::vector<SimulatedRequest> stream_;
  std::size_t next_ = 0;
  std::vector<ServerModel> servers_;
  std::map<TeamId, TeamLoad> teams_;
  std::map<RequestId, Task> tasks_;
  std::set<RequestId> unfinished_;
  std::vector<std::pair<Micros, RequestId>> claims_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  Micros now_ = 0;
};

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_POOL_DRIVER_H_

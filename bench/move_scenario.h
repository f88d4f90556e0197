#ifndef GODWITPADDLE_BENCH_MOVE_SCENARIO_H_
#define GODWITPADDLE_BENCH_MOVE_SCENARIO_H_

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bench/fleet_model.h"
#include "bench/scenario_result.h"

namespace godwitpaddle {

enum class MovePolicy : std::uint8_t { kPlanned, kAlwaysMove, kStatic };

/// Demand of one pool over time, as the number of VMs that new work keeps busy. The pools have
/// bursts in turn: five times the mean during a burst, a twentieth of it otherwise. In addition
/// each pool has long peaks.
class PoolDemand {
 public:
  PoolDemand(int vms, std::size_t turn, std::size_t turns)
      : vms_(vms), turn_(turn), turns_(turns) {}

  double At(Micros now) const {
    const double mean = kMeanUse * vms_;
    const auto cycle = static_cast<Micros>(turns_) * kBurstLength;
    const bool in_turn = static_cast<std::size_t>(now % cycle / kBurstLength) == turn_;
    // One pool per hour, in turn, has a long peak (25 minutes).
    const bool peak = static_cast<std::size_t>(now / kHour) % turns_ == turn_ &&
                      now % kHour >= kHour / 4 && now % kHour < kHour / 4 + kPeakLength;
    return mean * (in_turn ? 5 : 0.05) + (peak ? kPeakUse * vms_ : 0);
  }

  static constexpr Micros kHour = 60 * kMinute;

 private:
  static constexpr Micros kBurstLength = 12 * kSecond;
  static constexpr Micros kPeakLength = 25 * kMinute;
  static constexpr double kMeanUse = 0.22;  // a burst demands 1.1 times the pool's capacity
  static constexpr double kPeakUse = 0.85;

  int vms_;
  std::size_t turn_;
  std::size_t turns_;
};

/// Fluid model of one pool's queue: work is served in order of arrival. Work that has waited for
/// longer than its deadline is dropped and counted as missed.
class PoolQueue {
 public:
  /// Simulates one step, with arrivals and capacity in VM seconds; returns the VM seconds used.
  double Step(Micros now, double arrivals, double capacity) {
    if (arrivals > 0) waiting_.emplace_back(now, arrivals);
    while (!waiting_.empty() && now - waiting_.front().first > kDeadline) {
      missed += waiting_.front().second;
      waiting_.pop_front();
    }
    double remaining = capacity;
    while (remaining > 0 && !waiting_.empty()) {
      const double part = std::min(remaining, waiting_.front().second);
      remaining -= part;
      waiting_.front().second -= part;
      if (waiting_.front().second <= 0) waiting_.pop_front();
    }
    return capacity - remaining;
  }
  double Waiting() const {
    double sum = 0;
    for (const auto& [since, work] : waiting_) sum += work;
    return sum;
  }
  double missed = 0;  // work dropped after its deadline, in VM seconds

 private:
  static constexpr Micros kDeadline = 30 * kSecond;
  std::deque<std::pair<Micros, double>> waiting_;
};

struct MoveOutcome {
  int vms = 0;
  double moves_per_hour = 0;
  double idle_vm_hours = 0;
  double missed = 0;  // fraction of all work that missed its deadline
  int lent_at_end = 0;
};

/// Simulates the deployment under one move policy.
class MoveRun {
 public:
  MoveRun(const Deployment& deployment, const Deployment& demand, std::uint64_t seed,
          MovePolicy policy, const FleetModel::Faults& faults)
      : model_(deployment, seed, 0, kSecond), policy_(policy) {
    model_.faults = faults;
    // The demand is that of the original deployment, even if `deployment` has larger pools.
    for (std::size_t i = 0; i < demand.pools.size(); ++i) {
      demand_.emplace(demand.pools[i].first,
                      PoolDemand(demand.pools[i].second, i, demand.pools.size()));
    }
  }

  MoveOutcome Run(int hours) {
    const Micros end = model_.now + hours * PoolDemand::kHour;
    while (model_.now < end) {
      ServeStep();
      model_.Step([this](Plan& plan) { PlanMore(plan); });
    }
    outcome_.vms = static_cast<int>(model_.vms.size());
    outcome_.moves_per_hour = static_cast<double>(moves_) / hours;
    outcome_.idle_vm_hours = idle_ / 3600;
    double missed = 0;
    for (const auto& [pool, queue] : queues_) missed += queue.missed;
    outcome_.missed = missed / work_;
    for (const auto& [id, vm] : model_.state.vms) {
      outcome_.lent_at_end += vm.pool != model_.state.config.vms.at(id).pool ? 1 : 0;
    }
    return outcome_;
  }

 private:
  void ServeStep() {
    const double seconds = static_cast<double>(model_.step) / kSecond;
    for (const auto& [pool, demand] : demand_) {
      const double capacity = AvailableVms(model_.state, pool) * seconds;
      const double arrivals = demand.At(model_.now) * seconds;
      const double used = queues_[pool].Step(model_.now, arrivals, capacity);
      work_ += arrivals;
      idle_ += capacity - used;
      const int slots = model_.state.config.pools.at(pool).slots_per_vm;
      model_.view.pools[pool] = {
          .queued = static_cast<int>(queues_[pool].Waiting() / seconds * slots),
          .running = static_cast<int>(used / seconds * slots)};
    }
  }

  void PlanMore(Plan& plan) {
    const std::size_t before = plan.commands.size();
    if (policy_ == MovePolicy::kPlanned) {
      PlanMoves(model_.state, model_.view, model_.now, memory_, plan);
    } else if (policy_ == MovePolicy::kAlwaysMove) {
      PlanAlwaysMove(plan);
    }
    moves_ += plan.commands.size() - before;
  }

  /// Baseline: a pool whose demand exceeds its capacity receives a VM of a spare pool that is not
  /// overloaded itself. The VM returns as soon as the demand no longer exceeds the capacity.
  void PlanAlwaysMove(Plan& plan) {
    for (const auto& [id, vm] : model_.state.vms) {
      const PoolId& home = model_.state.config.vms.at(id).pool;
      if (vm.operation || !vm.healthy) continue;
      if (vm.pool != home && !IsOverloaded(vm.pool)) return Move(plan, id, home);
      if (vm.pool != home || !model_.state.config.pools.at(vm.pool).spare ||
          IsOverloaded(vm.pool)) {
        continue;
      }
      for (const auto& [pool, demand] : demand_) {
        if (pool != vm.pool && IsOverloaded(pool)) return Move(plan, id, pool);
      }
    }
  }

  bool IsOverloaded(const PoolId& pool) const {
    const PoolUsage& use = model_.view.pools.at(pool);
    const PoolConfig& config = model_.state.config.pools.at(pool);
    return use.queued + use.running > config.slots_per_vm * AvailableVms(model_.state, pool);
  }

  void Move(Plan& plan, const VmId& id, const PoolId& target) {
    const VmRecord& vm = model_.state.vms.at(id);
    const int minimum = model_.state.config.pools.at(vm.pool).min_available;
    if (AvailableVms(model_.state, vm.pool) <= minimum) return;
    plan.commands.emplace_back(StartVmOperation{
        .vm = id,
        .operation = {.id = "move-" + id + "-" + std::to_string(model_.state.applied_index),
                      .kind = VmOperationKind::kMove,
                      .target = target}});
  }

  FleetModel model_;
  MovePolicy policy_;
  MovePlannerState memory_;
  std::map<PoolId, PoolDemand> demand_;
  std::map<PoolId, PoolQueue> queues_;
  MoveOutcome outcome_;
  std::size_t moves_ = 0;
  double idle_ = 0;
  double work_ = 0;
};

/// Finds the smallest static pool sizes, with every pool enlarged by the same number of VMs, at
/// which the missed fraction is at most `missed`. Tries the sizes in ascending
/// order, up to 24 more VMs per pool, against the same demand, which an operator would not know in
/// advance.
inline MoveOutcome SmallestStaticSizing(const Deployment& deployment, std::uint64_t seed, int hours,
                                        double missed) {
  MoveOutcome outcome;
  for (int extra = 0; extra <= 24; ++extra) {
    Deployment grown = deployment;
    for (auto& [pool, size] : grown.pools) size += extra;
    outcome = MoveRun(grown, deployment, seed, MovePolicy::kStatic, {}).Run(hours);
    if (outcome.missed <= missed) break;
  }
  return outcome;
}

/// Simulates static pools that are each sized for their highest demand.
inline MoveOutcome StaticPeakSizing(const Deployment& deployment, std::uint64_t seed, int hours) {
  Deployment grown = deployment;
  for (std::size_t i = 0; i < grown.pools.size(); ++i) {
    const PoolDemand demand(deployment.pools[i].second, i, deployment.pools.size());
    double peak = 0;
    for (Micros at = 0; at < hours * PoolDemand::kHour; at += kSecond) {
      peak = std::max(peak, demand.At(at));
    }
    grown.pools[i].second = static_cast<int>(std::ceil(peak));
  }
  return MoveRun(grown, deployment, seed, MovePolicy::kStatic, {}).Run(hours);
}

inline std::string MoveLine(const std::string& name, const MoveOutcome& outcome) {
  char line[256];
  std::snprintf(line, sizeof(line),
                "moves %-24s vms=%d moves_per_hour=%.1f idle_vm_hours=%.1f missed=%.4f away=%d",
                name.c_str(), outcome.vms, outcome.moves_per_hour, outcome.idle_vm_hours,
                outcome.missed, outcome.lent_at_end);
  return line;
}

/// Reports moves per hour, idle VM hours and missed work of each deployment under the planner, and
/// compares them with four baselines: a move at every peak, static pools of the same size, static
/// pools sized for the highest demand, and the smallest static pools that miss no more work.
inline ScenarioResult MoveScenario(std::uint64_t seed, int hours) {
  ScenarioResult result;
  const FleetModel::Faults faults{.operation_failure_rate = 0.05,
                                  .vm_loss_interval = 10 * kMinute,
                                  .leader_change_interval = 10 * kMinute};
  for (const Deployment& deployment : {FederationDeployment(), QureshiDeployment()}) {
    const auto run = [&](MovePolicy policy, const FleetModel::Faults& injected) {
      return MoveRun(deployment, deployment, seed, policy, injected).Run(hours);
    };
    const MoveOutcome planned = run(MovePolicy::kPlanned, {});
    result.Add(MoveLine(deployment.name + "/planned", planned));
    result.Add(MoveLine(deployment.name + "/planned-faults", run(MovePolicy::kPlanned, faults)));
    result.Add(MoveLine(deployment.name + "/always-move", run(MovePolicy::kAlwaysMove, {})));
    result.Add(MoveLine(deployment.name + "/static", run(MovePolicy::kStatic, {})));
    result.Add(
        MoveLine(deployment.name + "/static-peak", StaticPeakSizing(deployment, seed, hours)));
    result.Add(MoveLine(deployment.name + "/static-least",
                        SmallestStaticSizing(deployment, seed, hours, planned.missed)));
  }
  return result;
}

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_BENCH_MOVE_SCENARIO_H_

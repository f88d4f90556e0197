#include "jobs/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

/// If the pools together need more VMs than exist, a pool whose shortage is at most this share of
/// its target gets none, unless tasks wait there that fit on none of its VMs: a VM is unavailable
/// during a move for longer than a task runs.
constexpr double kShortageTolerance = 0.1;

class MovePlan {
 public:
  MovePlan(std::vector<Pool> pools, const PoolPlanOptions& options, Micros now)
      : pools_(std::move(pools)),
        options_(options),
        now_(now),
        targets_(SetTargets(pools_, options)) {}

  std::vector<PoolMove> Make() {
    for (Pool& pool : pools_) SortMovable(pool);
    while (Pool* receiver = FindReceiver()) {
      Pool* donor = FindDonor(*receiver);
      if (donor == nullptr) break;
      Move(*donor, *receiver);
    }
    SwitchOff();
    return std::move(moves_);
  }

 private:
  int Shortage(const Pool& pool) const {
    return pool.standby ? 0 : targets_.vms.at(pool.service) - pool.vms;
  }

  /// Returns the pool whose shortage is the largest share of its target; null if none is short.
  Pool* FindReceiver() {
    Pool* receiver = nullptr;
    double largest_share = 0;
    for (Pool& pool : pools_) {
      const int shortage = Shortage(pool);
      if (shortage <= 0) continue;
      const double share = static_cast<double>(shortage) / targets_.vms.at(pool.service);
      const bool has_waiting = pool.vms < pool.vms_for_waiting;
      const double tolerance = targets_.scarce && !has_waiting ? kShortageTolerance : 0;
      if (share <= std::max(tolerance, largest_share)) continue;
      receiver = &pool;
      largest_share = share;
    }
    return receiver;
  }

  /// Returns a standby pool if one has VMs, else the pool with the largest surplus; null if none.
  Pool* FindDonor(const Pool& receiver) {
    Pool* best = nullptr;
    for (Pool& pool : pools_) {
      if (&pool == &receiver || pool.movable.empty()) continue;
      if (pool.standby) return &pool;
      if (Shortage(pool) >= 0) continue;
      if (best == nullptr || Shortage(pool) < Shortage(*best)) best = &pool;
    }
    return best;
  }

  /// Sorts the VMs so that the next one to move is the last one.
  static void SortMovable(Pool& pool) {
    // Prefers VMs that are already draining: otherwise the choice would change from plan to plan.
    std::ranges::sort(pool.movable, std::greater(), [](const PoolVm& one) {
      return std::tuple<bool, bool, std::size_t, const VmId&>(one.tasks > 0, !one.draining,
                                                              one.tasks, one.vm);
    });
  }

  void Move(Pool& from, Pool& to) {
    moves_.push_back({.vm = from.movable.back().vm, .from = from.service, .to = to.service});
    from.movable.pop_back();
    --from.vms;
    ++to.vms;
  }

  void SwitchOff() {
    const auto standby =
        std::ranges::find_if(pools_, [](const Pool& pool) { return pool.standby; });
    if (standby == pools_.end()) return;
    for (Pool& pool : pools_) {
      const bool surplus_persists =
          pool.surplus_since != 0 && now_ - pool.surplus_since >= options_.surplus_delay;
      if (pool.standby || !surplus_persists) continue;
      while (!pool.movable.empty() && -Shortage(pool) > options_.spare_vms) Move(pool, *standby);
    }
  }

  std::vector<Pool> pools_;
  const PoolPlanOptions& options_;
  const Micros now_;
  const PoolTargets targets_;
  std::vector<PoolMove> moves_;
};

}  // namespace

int VmsForWaiting(const std::vector<WaitingDemand>& waits, const Resources& vm) {
  const auto ceil_div = [](std::int64_t value, std::int64_t by) {
    return by <= 0 ? 0 : (value + by - 1) / by;
  };
  Resources total;
  std::int64_t vms = 0;
  for (const WaitingDemand& demand : waits) {
    total.cpu += demand.count * demand.size.cpu;
    total.memory_mb += demand.count * demand.size.memory_mb;
    total.accelerators += demand.count * demand.size.accelerators;
    const std::int64_t at_least = demand.count > 0 ? 1 : 0;
    vms = std::max({vms, at_least, ceil_div(demand.count, demand.max_per_worker)});
  }
  vms = std::max({vms, ceil_div(total.cpu, vm.cpu), ceil_div(total.memory_mb, vm.memory_mb),
                  ceil_div(total.accelerators, vm.accelerators)});
  return static_cast<int>(vms);
}

int NeededVms(const Pool& pool, const PoolPlanOptions& options) {
  if (pool.standby) return 0;
  const double cores = std::max(1.0, pool.vm_cores);
  const int for_cores = static_cast<int>(std::ceil(pool.needed_cores / cores));
  return std::max({options.min_vms, pool.vms_for_waiting, for_cores});
}

PoolTargets SetTargets(const std::vector<Pool>& pools, const PoolPlanOptions& options) {
  PoolTargets targets;
  int needed = 0;
  int available = 0;
  for (const Pool& pool : pools) {
    needed += NeededVms(pool, options);
    available += pool.vms;
  }
  targets.scarce = needed > available;
  for (const Pool& pool : pools) {
    const int need = NeededVms(pool, options);
    const int share = targets.scarce && needed > 0 ? need * available / needed : need;
    const int min_vms = std::max(options.min_vms, pool.vms_for_waiting);
    targets.vms[pool.service] = pool.standby ? 0 : std::max(share, min_vms);
  }
  return targets;
}

std::vector<PoolMove> PlanMoves(std::vector<Pool> pools, const PoolPlanOptions& options,
                                Micros now) {
  return MovePlan(std::move(pools), options, now).Make();
}

}  // namespace godwitpaddle::jobs

#include "decision/vm_budget.h"

#include <algorithm>

namespace godwitpaddle {

bool IsInProgress(const VmOperation& operation) {
  return operation.phase != VmPhase::kDrained && operation.phase != VmPhase::kFailed;
}

void AddToTally(const VmRecord& vm, PoolTally& tally) {
  if (vm.healthy && !vm.operation) ++tally.available;
  // A VM that arrives by a move was not taken from this pool.
  if (vm.operation && vm.operation->target != vm.pool && IsInProgress(*vm.operation)) {
    ++tally.busy_zones[vm.zone];
  }
}

std::map<PoolId, PoolTally> TallyPools(const FleetState& state) {
  std::map<PoolId, PoolTally> tallies;
  for (const auto& [pool, config] : state.config.pools) tallies[pool];
  for (const auto& [id, vm] : state.vms) AddToTally(vm, tallies[vm.pool]);
  return tallies;
}

std::optional<std::string> WhyNotStart(const FleetState& state, const PoolTally& tally,
                                       const VmRecord& vm) {
  if (vm.operation) return "the VM has the operation " + vm.operation->id;
  const auto pool = state.config.pools.find(vm.pool);
  if (pool == state.config.pools.end()) return std::nullopt;
  if (vm.healthy && tally.available - 1 < pool->second.min_available) {
    return "the pool has " + std::to_string(tally.available) + " VMs available and needs " +
           std::to_string(pool->second.min_available);
  }
  if (!pool->second.one_zone_at_a_time) return std::nullopt;
  for (const auto& [zone, operations] : tally.busy_zones) {
    if (zone != vm.zone) return "work is in progress in availability zone " + zone;
  }
  return std::nullopt;
}

int SpareBudget(const FleetState& state, const PoolTally& tally, const PoolId& pool) {
  const auto config = state.config.pools.find(pool);
  if (config == state.config.pools.end()) return 0;
  return std::max(0, tally.available - config->second.min_available);
}

}  // namespace godwitpaddle

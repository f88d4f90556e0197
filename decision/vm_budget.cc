#include "decision/vm_budget.h"

#include <algorithm>

namespace godwitpaddle {

bool IsInProgress(const VmOperation& operation) {
  return operation.phase != VmPhase::kDrained && operation.phase != VmPhase::kFailed;
}

void CountVm(const VmRecord& vm, PoolAvailability& availability) {
  if (vm.healthy && !vm.operation) ++availability.available;
  // A VM that is moved into this pool was taken out of service in another one.
  if (vm.operation && vm.operation->target != vm.pool && IsInProgress(*vm.operation)) {
    ++availability.operations_by_zone[vm.zone];
  }
}

std::map<PoolId, PoolAvailability> ComputeAvailability(const FleetState& state) {
  std::map<PoolId, PoolAvailability> availability;
  for (const auto& [pool, config] : state.config.pools) availability[pool];
  for (const auto& [id, vm] : state.vms) CountVm(vm, availability[vm.pool]);
  return availability;
}

std::optional<std::string> StartRefusalReason(const FleetState& state,
                                              const PoolAvailability& availability,
                                              const VmRecord& vm) {
  if (vm.operation) return "the VM already has the operation " + vm.operation->id;
  const auto pool = state.config.pools.find(vm.pool);
  if (pool == state.config.pools.end()) return std::nullopt;
  if (vm.healthy && availability.available - 1 < pool->second.min_available) {
    return "the pool has " + std::to_string(availability.available) + " VMs available and needs " +
           std::to_string(pool->second.min_available);
  }
  if (!pool->second.one_zone_at_a_time) return std::nullopt;
  for (const auto& [zone, operations] : availability.operations_by_zone) {
    if (zone != vm.zone) return "work is in progress in availability zone " + zone;
  }
  return std::nullopt;
}

int RemainingVmBudget(const FleetState& state, const PoolAvailability& availability,
                      const PoolId& pool) {
  const auto config = state.config.pools.find(pool);
  if (config == state.config.pools.end()) return 0;
  return std::max(0, availability.available - config->second.min_available);
}

}  // namespace godwitpaddle

#ifndef GODWITPADDLE_DECISION_VM_BUDGET_H_
#define GODWITPADDLE_DECISION_VM_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "decision/fleet_state.h"

namespace godwitpaddle {

/// Counts of one pool's VMs that decide whether planned work may start.
struct PoolAvailability {
  int available = 0;                              // see AvailableVms
  std::map<std::string, int> operations_by_zone;  // operations in progress
};

/// Whether the operation is planned work that takes its VM out of service at present. The operation
/// of a VM that is drained or has failed is not: it waits for an operator.
bool IsInProgress(const VmOperation& operation);

/// Returns the counts of all pools, computed in one pass over the VMs.
std::map<PoolId, PoolAvailability> ComputeAvailability(const FleetState& state);

/// Adds a VM of the pool to the pool's counts.
void CountVm(const VmRecord& vm, PoolAvailability& availability);

/// Returns why planned work on the VM may not start now, or nullopt if it may: the VM has an
/// operation, the pool's availability budget forbids it, or work is in progress in another
/// availability zone of a pool that is limited to one zone at a time.
std::optional<std::string> StartRefusalReason(const FleetState& state,
                                              const PoolAvailability& availability,
                                              const VmRecord& vm);

/// Returns how many VMs planned work may still take out of service in the pool; 0 for an unknown
/// pool.
int RemainingVmBudget(const FleetState& state, const PoolAvailability& availability,
                      const PoolId& pool);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_VM_BUDGET_H_

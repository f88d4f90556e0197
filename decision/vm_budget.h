#ifndef GODWITPADDLE_DECISION_VM_BUDGET_H_
#define GODWITPADDLE_DECISION_VM_BUDGET_H_

#include <map>
#include <optional>
#include <string>

#include "decision/fleet_state.h"

namespace godwitpaddle {

/// What the rules of planned work need to know of one pool.
struct PoolAvailability {
  int available = 0;                              // as AvailableVms
  std::map<std::string, int> operations_by_zone;  // availability zone to operations in progress
};

/// Whether the operation takes its VM out of service for now. A VM that is drained by hand or has
/// failed waits for an operator and is not planned work in progress.
bool IsInProgress(const VmOperation& operation);

/// Tallies of all pools in one pass over the VMs.
std::map<PoolId, PoolAvailability> ComputeAvailability(const FleetState& state);

/// Adds the VM of a pool to the pool's tally.
void AddVm(const VmRecord& vm, PoolAvailability& availability);

/// Why planned work on the VM may not start now, or nothing: its own operation, the pool's budget,
/// or work in progress in another availability zone of the pool.
std::optional<std::string> StartRefusalReason(const FleetState& state,
                                              const PoolAvailability& availability,
                                              const VmRecord& vm);

/// VMs that planned work may still take from the pool; not negative. 0 for an unknown pool.
int RemainingVmBudget(const FleetState& state, const PoolAvailability& availability,
                      const PoolId& pool);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_VM_BUDGET_H_

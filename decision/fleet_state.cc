#include "decision/fleet_state.h"

#include <algorithm>

namespace godwitpaddle {

std::string ClaimKey(const QueueId& queue, const std::string& request_id) {
  return queue + ":" + request_id;
}

int AvailableVms(const FleetState& state, const PoolId& pool) {
  return static_cast<int>(
      std::count_if(state.vms.begin(), state.vms.end(), [&pool](const auto& entry) {
        const VmRecord& vm = entry.second;
        return vm.pool == pool && vm.healthy && !vm.operation;
      }));
}

}  // namespace godwitpaddle

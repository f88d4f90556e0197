#include "decision/fleet_state.h"

#include <algorithm>

#include "decision/apply_detail.h"

namespace godwitpaddle {
std::string ClaimKey(const QueueId& queue, const std::string& request_id) {
  return queue + ":" + request_id;
}

bool MayStopOneMore(const FleetState& state, const PoolId& pool) {
  const auto config = state.config.pools.find(pool);
  if (config == state.config.pools.end()) return true;
  int size = 0;
  int stopped = 0;
  for (const auto& [id, vm] : state.vms) {
    if (vm.pool != pool) continue;
    ++size;
    const bool in_service = !vm.operation || vm.operation->phase == VmPhase::kDraining;
    if (!in_service) ++stopped;
  }
  return size - stopped - 1 >= config->second.min_available;
}

int AvailableVms(const FleetState& state, const PoolId& pool) {
  return static_cast<int>(
      std::count_if(state.vms.begin(), state.vms.end(), [&pool](const auto& entry) {
        const VmRecord& vm = entry.second;
        return vm.pool == pool && vm.healthy && !vm.operation;
      }));
}

int GrantedSum(const FleetState& state, const TeamId& team) {
  const auto it = state.allotments.find(team);
  if (it == state.allotments.end()) return 0;
  int sum = 0;
  for (const auto& [incarnation, allotment] : it->second) sum += allotment.granted;
  return sum;
}

bool IsRetry(const VmOperation& operation) { return operation.id.ends_with(kRetrySuffix); }

std::set<VmId> WaveFailures(const FleetState& state, const WaveId& wave) {
  std::set<VmId> failures;
  const auto it = state.waves.find(wave);
  if (it == state.waves.end()) return failures;
  const WaveRecord& record = it->second;
  for (const VmId& vm : record.failed) {
    if (record.accepted_failures.count(vm) == 0) failures.insert(vm);
  }
  for (const auto& [id, vm] : state.vms) {
    if (record.accepted_failures.count(id) != 0) continue;
    const bool failing = vm.operation && vm.operation->wave == wave &&
                         (vm.operation->phase == VmPhase::kFailed || IsRetry(*vm.operation));
    if (failing || (!vm.healthy && record.done.count(id) != 0)) failures.insert(id);
  }
  return failures;
}

std::optional<std::string> FindViolation(const FleetState& state) {
  for (const auto& [team, allotments] : state.allotments) {
    if (auto violation = detail::FindTeamViolation(state, team)) return violation;
  }
  for (const auto& [id, vm] : state.vms) {
    if (auto violation = detail::FindVmViolation(state, id)) return violation;
  }
  for (const auto& [pool, owner] : state.owners) {
    if (!owner.owner.empty() && state.config.pools.count(pool) == 0) {
      return "pool " + pool + ", which does not exist, has an owner";
    }
  }
  return detail::FindCounterViolation(state);
}

namespace detail {

std::optional<std::string> FindTeamViolation(const FleetState& state, const TeamId& team) {
  const auto allotments = state.allotments.find(team);
  if (allotments == state.allotments.end()) return std::nullopt;
  const auto config = state.config.teams.find(team);
  int limit = config == state.config.teams.end() ? 0 : config->second.limit;
  const auto over_limit = state.over_limit.find(team);
  if (over_limit != state.over_limit.end()) limit = std::max(limit, over_limit->second);
  for (const auto& [incarnation, allotment] : allotments->second) {
    if (allotment.granted < 0 || allotment.target < 0) return "negative allotment of team " + team;
    if (state.nodes.count(incarnation) == 0) {
      std::string text = "allotment of team " + team;
      return text.append(" for the unknown incarnation ").append(incarnation);
    }
  }
  const int sum = GrantedSum(state, team);
  if (sum <= limit) return std::nullopt;
  return "allotments of team " + team + " sum up to " + std::to_string(sum) + ", more than " +
         std::to_string(limit);
}

std::optional<std::string> FindVmViolation(const FleetState& state, const VmId& id) {
  const auto it = state.vms.find(id);
  if (it == state.vms.end()) return std::nullopt;
  const VmRecord& vm = it->second;
  if (state.config.pools.count(vm.pool) == 0) return "VM " + id + " is in an unknown pool";
  const bool is_move = vm.operation && vm.operation->kind == VmOperationKind::kMove;
  if (is_move && state.config.pools.count(vm.operation->target) == 0) {
    return "VM " + id + " moves to an unknown pool";
  }
  return std::nullopt;
}

std::optional<std::string> FindCounterViolation(const FleetState& state) {
  if (state.in_force_index > state.applied_index) return "in_force_index is above applied_index";
  if (state.claim_order.size() != state.claims.size()) return "claims and claim_order differ";
  return std::nullopt;
}

}  // namespace detail
}  // namespace godwitpaddle

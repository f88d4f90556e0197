#include <algorithm>
#include <string>

#include "decision/apply_detail.h"
#include "decision/vm_budget.h"

namespace godwitpaddle::detail {
namespace {

int MinAvailable(const FleetState& state, const PoolId& pool) {
  const auto it = state.config.pools.find(pool);
  return it == state.config.pools.end() ? 0 : it->second.min_available;
}

VmRecord* FindVm(FleetState& state, const VmId& vm) {
  const auto it = state.vms.find(vm);
  return it == state.vms.end() ? nullptr : &it->second;
}

/// Whether an operation may go from one phase to another. Only a VM that has been stopped can fail;
/// a failed operation goes back to kDraining for its second attempt.
bool IsValidTransition(VmOperationKind kind, VmPhase from, VmPhase to) {
  if (to == VmPhase::kFailed) {
    return from != VmPhase::kFailed && from != VmPhase::kDrained && from != VmPhase::kDraining;
  }
  if (kind == VmOperationKind::kDrain) {
    return from == VmPhase::kDraining && to == VmPhase::kDrained;
  }
  return (from == VmPhase::kDraining && to == VmPhase::kStopping) ||
         (from == VmPhase::kStopping && to == VmPhase::kVerifying) ||
         (from == VmPhase::kVerifying && to == VmPhase::kHoldDown) ||
         (from == VmPhase::kFailed && to == VmPhase::kDraining);
}

std::optional<ApplyResult> CheckStart(const FleetState& state, const StartVmOperation& body) {
  const VmOperation& operation = body.operation;
  const auto vm = state.vms.find(body.vm);
  if (vm == state.vms.end()) return Refuse(ResultCode::kNotFound, "there is no VM " + body.vm);
  if (operation.id.empty()) return Refuse(ResultCode::kInvalid, "the operation has no id");
  if (operation.kind == VmOperationKind::kMove &&
      (state.config.pools.count(operation.target) == 0 || operation.target == vm->second.pool)) {
    return Refuse(ResultCode::kInvalid, "a move needs another pool as its target");
  }
  if (!operation.wave.empty()) {
    const auto wave = state.waves.find(operation.wave);
    if (wave == state.waves.end() || wave->second.state != WaveState::kRunning ||
        wave->second.remaining.count(body.vm) == 0) {
      return Refuse(ResultCode::kConflict, "no running wave has the VM among its remaining ones");
    }
  }
  PoolAvailability availability;
  for (const auto& [id, other] : state.vms) {
    if (other.pool == vm->second.pool) CountVm(other, availability);
  }
  if (auto reason = StartRefusalReason(state, availability, vm->second)) {
    return Refuse(ResultCode::kConflict, *reason);
  }
  return std::nullopt;
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext&, const SetVmHealth& body) {
  VmRecord* vm = FindVm(state, body.vm);
  if (vm == nullptr) return Refuse(ResultCode::kNotFound, "there is no VM " + body.vm);
  vm->healthy = body.healthy;
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const StartVmOperation& body) {
  if (auto refusal = CheckStart(state, body)) return *refusal;
  VmOperation operation = body.operation;
  operation.phase = VmPhase::kDraining;
  operation.phase_since = ctx.now;
  operation.phase_index = ctx.index;
  operation.error.clear();
  operation.server_incarnation.clear();
  if (operation.kind != VmOperationKind::kMove) operation.target.clear();
  state.vms.at(body.vm).operation = std::move(operation);
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const AdvanceVmOperation& body) {
  VmRecord* vm = FindVm(state, body.vm);
  if (vm == nullptr) return Refuse(ResultCode::kNotFound, "there is no VM " + body.vm);
  if (!vm->operation || vm->operation->id != body.operation_id ||
      vm->operation->phase != body.from) {
    return Refuse(ResultCode::kConflict, "the VM has no such operation in that phase");
  }
  VmOperation& operation = *vm->operation;
  if (!IsValidTransition(operation.kind, body.from, body.to)) {
    return Refuse(ResultCode::kInvalid,
                  "the operation cannot enter the phase from its current one");
  }
  if (body.to == VmPhase::kDraining && IsRetry(operation)) {
    return Refuse(ResultCode::kConflict, "the second attempt has failed");
  }
  // If the pool lost other VMs while this one drained, keeping it in service is more important than
  // the planned work.
  if (body.to == VmPhase::kStopping && vm->healthy &&
      AvailableVms(state, vm->pool) < MinAvailable(state, vm->pool)) {
    return Refuse(ResultCode::kConflict, "the pool is below its availability budget");
  }
  // This counts unhealthy VMs as well: a VM that the owner receives no announcements from may still
  // be serving.
  if (body.to == VmPhase::kStopping && !MayStopOneMore(state, vm->pool)) {
    return Refuse(ResultCode::kConflict, "too many VMs of the pool are stopped already");
  }
  operation.phase = body.to;
  operation.phase_since = ctx.now;
  operation.phase_index = ctx.index;
  operation.error = body.error;
  if (body.to == VmPhase::kStopping) operation.server_incarnation = body.server_incarnation;
  if (body.from == VmPhase::kFailed) operation.id += kRetrySuffix;
  // From this phase on, the backend server announces itself for the new pool.
  if (body.to == VmPhase::kVerifying && operation.kind == VmOperationKind::kMove) {
    vm->pool = operation.target;
  }
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const FinishVmOperation& body) {
  VmRecord* vm = FindVm(state, body.vm);
  if (vm == nullptr) return Refuse(ResultCode::kNotFound, "there is no VM " + body.vm);
  if (!vm->operation || (!body.operation_id.empty() && vm->operation->id != body.operation_id)) {
    return Refuse(ResultCode::kConflict, "the VM has no such operation");
  }
  const VmOperation operation = *vm->operation;
  const bool is_manual_drain = operation.kind == VmOperationKind::kDrain;
  const bool never_stopped =
      operation.phase == VmPhase::kDraining || operation.phase == VmPhase::kDrained;
  const bool allowed = body.succeeded ? (is_manual_drain || operation.phase == VmPhase::kHoldDown)
                                      : (never_stopped || operation.phase == VmPhase::kFailed);
  if (!allowed) {
    return Refuse(ResultCode::kConflict, "the operation is in the phase " +
                                             std::string(NameOf(kVmPhaseNames, operation.phase)));
  }
  vm->operation.reset();
  if (body.succeeded && !is_manual_drain) vm->healthy = true;
  if (operation.phase == VmPhase::kFailed || (!body.succeeded && IsRetry(operation))) {
    vm->healthy = false;
  }
  const bool wave_vm_finished = body.succeeded || operation.phase == VmPhase::kFailed;
  if (!operation.wave.empty() && wave_vm_finished) {
    FinishWaveVm(state, ctx, operation.wave, body.vm, body.succeeded);
  }
  if (state.config.vms.count(body.vm) == 0) {
    state.vms.erase(body.vm);
    ReconcileWaves(state, ctx);
  }
  return {};
}

void ReconcileVms(FleetState& state) {
  for (auto it = state.vms.begin(); it != state.vms.end();) {
    const bool removed = state.config.vms.count(it->first) == 0 && !it->second.operation;
    it = removed ? state.vms.erase(it) : std::next(it);
  }
  for (const auto& [id, config] : state.config.vms) {
    const auto [it, added] = state.vms.try_emplace(id);
    VmRecord& vm = it->second;
    if (added) {
      vm.pool = config.pool;
      // The VM counts for the availability budget once it is first seen ready.
      vm.healthy = false;
    }
    vm.region = config.region;
    vm.zone = config.zone;
    vm.rack = config.rack;
  }
}

}  // namespace godwitpaddle::detail

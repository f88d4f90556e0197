#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "decision/planners.h"
#include "decision/vm_budget.h"

namespace godwitpaddle {
namespace {

// A VM counts as unhealthy after this time without readiness. A backend server announces itself
// every second, so one or two lost announcements do not count.
constexpr Micros kUnhealthyAfter = 3 * kSecond;
// A VM counts as healthy again after this time of readiness.
constexpr Micros kHealthyAfter = 5 * kSecond;
// No task runs on a VM whose server was silent for kServerSilence (3 s) and then for the task lease
// (5 s). The remaining 2 s are a margin for the delay of reports.
constexpr Micros kTasksEndedAfter = 10 * kSecond;
// A new owner knows which tasks run on a VM only after the first announcement that it receives
// since it became the owner. It applies the assignment within 1.5 s or its lease expires, receives
// an announcement of the VM within 2 s, and reports to the leader within 1.5 s.
constexpr WallMs kTakeoverDelayMs = 5'000;
// A VM restarts within a few minutes; after this time the operation counts as failed and is
// retried once.
constexpr WallMs kVerifyTimeoutMs = 600'000;

class WavePlan {
 public:
  WavePlan(const FleetState& state, const FleetView& view, Micros now, WallMs wall, Plan& plan)
      : state_(state),
        view_(view),
        now_(now),
        wall_(wall),
        plan_(plan),
        availability_(ComputeAvailability(state)) {}

  void Run() {
    for (const auto& [id, vm] : state_.vms) {
      if (vm.operation) {
        StepOperation(id, vm, *vm.operation);
      } else {
        UpdateHealth(id, vm);
      }
    }
    for (const auto& [id, wave] : state_.waves) {
      if (wave.state == WaveState::kRunning) StepWave(id, wave);
    }
    ActivateDueConfig();
  }

 private:
  // ---- reports of the pool's owner ----

  const NodeView* OwnerView(const PoolId& pool) const {
    const auto owner = state_.owners.find(pool);
    if (owner == state_.owners.end()) return nullptr;
    const auto record = state_.nodes.find(owner->second.owner);
    if (record == state_.nodes.end() || record->second.lease_expired) return nullptr;
    const auto node = view_.nodes.find(owner->second.owner);
    return node == view_.nodes.end() ? nullptr : &node->second;
  }

  const VmUsage& UsageOf(const VmId& vm) const {
    static const VmUsage unknown;
    const auto it = view_.vms.find(vm);
    return it == view_.vms.end() ? unknown : it->second;
  }

  /// Time for which `ready` has had its present value, counted at most from the leader's election.
  Micros ReadyAge(const VmId& vm) const {
    const auto it = view_.ready_changed.find(vm);
    const Micros since = it == view_.ready_changed.end() ? 0 : it->second;
    return now_ - std::max(since, view_.leader_since);
  }

  /// Whether the VM has not been ready for at least this duration.
  bool IsNotReadyFor(const VmId& vm, Micros duration) const {
    return !UsageOf(vm).ready && ReadyAge(vm) >= duration;
  }

  void UpdateHealth(const VmId& id, const VmRecord& vm) {
    const bool ready = UsageOf(id).ready;
    if (ready == vm.healthy || ReadyAge(id) < (ready ? kHealthyAfter : kUnhealthyAfter)) return;
    // Without a live owner no node receives the server's announcements, so silence is no evidence
    // about the VM.
    if (OwnerView(vm.pool) == nullptr) return;
    plan_.commands.emplace_back(SetVmHealth{.vm = id, .healthy = ready});
  }

  // ---- steps of operations ----

  void StepOperation(const VmId& id, const VmRecord& vm, const VmOperation& operation) {
    switch (operation.phase) {
      case VmPhase::kDraining:
        return StepDraining(id, vm, operation);
      case VmPhase::kStopping:
        plan_.calls.push_back({.operation_id = operation.id,
                               .vm = id,
                               .action = std::string(NameOf(kVmOperationKindNames, operation.kind)),
                               .pool = operation.target});
        return;
      case VmPhase::kVerifying:
        return StepVerifying(id, operation);
      case VmPhase::kHoldDown:
        return StepHoldDown(id, vm, operation);
      case VmPhase::kDrained:
        return;
      case VmPhase::kFailed:
        return StepFailed(id, operation);
    }
  }

  /// Whether the pool's owner places no more tasks on the VM and no task runs there.
  bool IsIdle(const VmId& id, const VmRecord& vm, const VmOperation& operation) const {
    const NodeView* owner = OwnerView(vm.pool);
    if (owner == nullptr) return false;
    const PoolOwner& record = state_.owners.at(vm.pool);
    if (owner->applied_index < std::max(operation.phase_index, record.assign_index)) return false;
    if (wall_ - record.assigned < kTakeoverDelayMs) return false;
    const VmUsage& use = UsageOf(id);
    return use.ready ? use.running == 0 : IsNotReadyFor(id, kTasksEndedAfter);
  }

  void StepDraining(const VmId& id, const VmRecord& vm, const VmOperation& operation) {
    const bool manual = operation.kind == VmOperationKind::kDrain;
    if (!manual && (IsWaveInactive(operation) || IsBelowBudget(vm))) {
      // The VM is counted as available at once, so that no more draining VMs of the pool are
      // returned to service than its availability budget needs.
      if (vm.healthy) ++availability_[vm.pool].available;
      plan_.commands.emplace_back(
          FinishVmOperation{.vm = id, .operation_id = operation.id, .succeeded = false});
      return;
    }
    if (!IsIdle(id, vm, operation)) return;
    if (!manual && !MayStopOneMore(state_, vm.pool)) return;
    Advance(id, operation, manual ? VmPhase::kDrained : VmPhase::kStopping, "",
            UsageOf(id).server_incarnation);
  }

  void StepVerifying(const VmId& id, const VmOperation& operation) {
    const VmUsage& use = UsageOf(id);
    if (use.ready && use.server_incarnation != operation.server_incarnation) {
      Advance(id, operation, VmPhase::kHoldDown);
    } else if (wall_ - operation.phase_since > kVerifyTimeoutMs) {
      Advance(id, operation, VmPhase::kFailed,
              "the restarted backend server did not become ready in time");
    }
  }

  void StepHoldDown(const VmId& id, const VmRecord& vm, const VmOperation& operation) {
    const auto pool = state_.config.pools.find(vm.pool);
    const WallMs hold_down_ms =
        pool == state_.config.pools.end() ? 0 : pool->second.hold_down_s * 1000;
    if (OwnerView(vm.pool) != nullptr && IsNotReadyFor(id, kUnhealthyAfter)) {
      Advance(id, operation, VmPhase::kFailed, "the backend server was lost during the hold-down");
    } else if (UsageOf(id).ready && wall_ - operation.phase_since >= hold_down_ms) {
      plan_.commands.emplace_back(FinishVmOperation{.vm = id, .operation_id = operation.id});
    }
  }

  /// Retries a failed operation once. The failed VMs of a paused wave wait until it resumes.
  void StepFailed(const VmId& id, const VmOperation& operation) {
    const WaveRecord* wave = WaveOf(operation);
    const bool cancelled = wave != nullptr && wave->state == WaveState::kCancelled;
    if (IsRetry(operation) || cancelled) {
      plan_.commands.emplace_back(
          FinishVmOperation{.vm = id, .operation_id = operation.id, .succeeded = false});
    } else if (!IsWaveInactive(operation)) {
      Advance(id, operation, VmPhase::kDraining, operation.error);
    }
  }

  void Advance(const VmId& id, const VmOperation& operation, VmPhase to, std::string error = "",
               std::string server_incarnation = "") {
    plan_.commands.emplace_back(
        AdvanceVmOperation{.vm = id,
                           .operation_id = operation.id,
                           .from = operation.phase,
                           .to = to,
                           .error = std::move(error),
                           .server_incarnation = std::move(server_incarnation)});
  }

  const WaveRecord* WaveOf(const VmOperation& operation) const {
    const auto it = state_.waves.find(operation.wave);
    return it == state_.waves.end() ? nullptr : &it->second;
  }

  /// Whether the operation belongs to a wave that is not in state kRunning, or no longer exists.
  bool IsWaveInactive(const VmOperation& operation) const {
    if (operation.wave.empty()) return false;
    const WaveRecord* wave = WaveOf(operation);
    return wave == nullptr || wave->state != WaveState::kRunning;
  }

  bool IsBelowBudget(const VmRecord& vm) {
    const auto pool = state_.config.pools.find(vm.pool);
    return vm.healthy && pool != state_.config.pools.end() &&
           availability_[vm.pool].available < pool->second.min_available;
  }

  // ---- waves ----

  void StepWave(const WaveId& id, const WaveRecord& wave) {
    const auto config = state_.config.waves.find(id);
    if (config == state_.config.waves.end()) return;
    const std::set<VmId> failures = WaveFailures(state_, id);
    if (static_cast<int>(failures.size()) >= config->second.pause_after_failures) {
      std::string reason = std::to_string(failures.size()) + " failures:";
      for (const VmId& vm : failures) reason += " " + vm;
      plan_.commands.emplace_back(
          ControlWave{.wave = id, .action = WaveAction::kPause, .reason = std::move(reason)});
      return;
    }
    int in_progress = 0;
    for (const VmId& vm : wave.remaining) {
      const auto it = state_.vms.find(vm);
      if (it == state_.vms.end() || !it->second.operation) continue;
      if (it->second.operation->wave == id) ++in_progress;
    }
    const int max_parallel = config->second.max_parallel;
    for (const VmId& vm : StartOrder(wave)) {
      if (max_parallel > 0 && in_progress >= max_parallel) return;
      if (StartReboot(id, wave, vm)) ++in_progress;
    }
  }

  /// Returns the remaining VMs without an operation in the order in which the wave starts them:
  /// healthy VMs first, then by availability zone (the one with the fewest remaining VMs first, so
  /// that a started zone is finished), rack and name.
  std::vector<VmId> StartOrder(const WaveRecord& wave) const {
    std::map<std::pair<PoolId, std::string>, int> remaining_in_zone;
    std::vector<std::tuple<bool, int, std::string, std::string, VmId>> order;
    for (const VmId& vm : wave.remaining) {
      const auto it = state_.vms.find(vm);
      if (it != state_.vms.end()) ++remaining_in_zone[{it->second.pool, it->second.zone}];
    }
    for (const VmId& vm : wave.remaining) {
      const auto it = state_.vms.find(vm);
      if (it == state_.vms.end() || it->second.operation) continue;
      const VmRecord& record = it->second;
      order.emplace_back(!record.healthy, remaining_in_zone[{record.pool, record.zone}],
                         record.zone, record.rack, vm);
    }
    std::sort(order.begin(), order.end());
    std::vector<VmId> vms;
    vms.reserve(order.size());
    for (auto& entry : order) vms.push_back(std::move(std::get<4>(entry)));
    return vms;
  }

  bool StartReboot(const WaveId& id, const WaveRecord& wave, const VmId& vm) {
    const VmRecord& record = state_.vms.at(vm);
    PoolAvailability& availability = availability_[record.pool];
    if (started_.count(vm) != 0 || StartRefusalReason(state_, availability, record)) return false;
    plan_.commands.emplace_back(
        StartVmOperation{.vm = vm,
                         .operation = {.id = id + "-" + std::to_string(wave.run_number) + "-" + vm,
                                       .kind = VmOperationKind::kReboot,
                                       .wave = id}});
    started_.insert(vm);
    ++availability.operations_by_zone[record.zone];
    if (record.healthy) --availability.available;
    return true;
  }

  void ActivateDueConfig() {
    const FleetOptions& fleet = state_.config.fleet;
    if (fleet.review != ReviewMode::kWindow) return;
    const bool due =
        std::any_of(state_.pending.begin(), state_.pending.end(), [&](const auto& entry) {
          return entry.second.state == ReviewState::kPending &&
                 wall_ - entry.second.submitted >= fleet.review_window_s * 1000;
        });
    if (due) plan_.commands.emplace_back(ActivateDueFiles{});
  }

  const FleetState& state_;
  const FleetView& view_;
  const Micros now_;
  const WallMs wall_;
  Plan& plan_;
  std::map<PoolId, PoolAvailability>
      availability_;  // includes the operations that this plan starts
  std::set<VmId> started_;
};

}  // namespace

void PlanWaves(const FleetState& state, const FleetView& view, Micros now, WallMs wall,
               Plan& plan) {
  WavePlan(state, view, now, wall, plan).Run();
}

}  // namespace godwitpaddle

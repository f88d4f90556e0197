#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>

#include "decision/planners.h"
#include "decision/vm_budget.h"

namespace godwitpaddle {
namespace {

constexpr Micros kMoveStep = kSecond;
// Bursts last some seconds; a shortage that lasts longer than a move takes is worth one.
constexpr double kSmoothingSteps = 10;
constexpr Micros kShortFor = 30 * kSecond;
// A VM that was moved stays at least this long.
constexpr Micros kStayFor = 3 * kMinute;
constexpr int kMaxMovesInFlight = 2;
// A pool is short above this part of its VMs, and calm below the other.
constexpr double kShortUse = 0.95;
constexpr double kCalmUse = 0.6;

class MovePlan {
 public:
  MovePlan(const FleetState& state, const FleetView& view, Micros now, MoveMemory& memory,
           Plan& plan)
      : state_(state),
        view_(view),
        now_(now),
        memory_(memory),
        plan_(plan),
        tallies_(TallyPools(state)) {}

  void Run() {
    for (const auto& [id, vm] : state_.vms) {
      if (vm.operation && vm.operation->kind == VmOperationKind::kMove) {
        ++in_flight_;
        ++arriving_[vm.operation->target];
      }
    }
    Observe();
    ReturnVms();
    if (state_.config.fleet.automatic_moves) LendVms();
  }

 private:
  void Observe() {
    for (const auto& [pool, config] : state_.config.pools) {
      const auto use = view_.pools.find(pool);
      const double demand =
          use == view_.pools.end()
              ? 0
              : static_cast<double>(use->second.queued + use->second.running) / config.slots_per_vm;
      double& smoothed = memory_.smoothed_load[pool];
      smoothed += (demand - smoothed) / kSmoothingSteps;
      if (smoothed > kShortUse * (tallies_[pool].available + arriving_[pool])) {
        memory_.short_since.try_emplace(pool, now_);
      } else {
        memory_.short_since.erase(pool);
      }
    }
  }

  bool IsLent(const VmId& id, const VmRecord& vm) const {
    const auto config = state_.config.vms.find(id);
    if (config == state_.config.vms.end() || config->second.pool == vm.pool) return false;
    const auto home = state_.config.pools.find(config->second.pool);
    return home != state_.config.pools.end() && home->second.spare;
  }

  /// Moves VMs to the pool that the configuration gives them: lent ones when their pool is calm,
  /// others at once.
  void ReturnVms() {
    for (const auto& [id, vm] : state_.vms) {
      const auto config = state_.config.vms.find(id);
      if (config == state_.config.vms.end() || config->second.pool == vm.pool) continue;
      const bool wait = state_.config.fleet.automatic_moves && IsLent(id, vm) &&
                        (!IsCalm(vm.pool) || IsSettling(id));
      if (!wait) Move(id, vm, config->second.pool);
    }
  }

  bool IsCalm(const PoolId& pool) {
    return memory_.smoothed_load[pool] < kCalmUse * (tallies_[pool].available - 1);
  }

  bool IsSettling(const VmId& id) const {
    const auto moved = memory_.last_move.find(id);
    const Micros since = moved == memory_.last_move.end() ? view_.leader_since : moved->second;
    return now_ - since < kStayFor;
  }

  void LendVms() {
    for (const auto& [pool, since] : memory_.short_since) {
      if (now_ - since < kShortFor || arriving_[pool] > 0) continue;
      if (const auto vm = BestDonor(pool)) Move(*vm, state_.vms.at(*vm), pool);
    }
  }

  std::optional<VmId> BestDonor(const PoolId& needy) {
    std::optional<VmId> best;
    double best_room = 0;
    for (const auto& [id, vm] : state_.vms) {
      const auto pool = state_.config.pools.find(vm.pool);
      if (vm.pool == needy || !vm.healthy || vm.operation || !pool->second.spare) continue;
      if (IsSettling(id) && memory_.last_move.count(id) != 0) continue;
      const double room =
          tallies_[vm.pool].available - 1 - memory_.smoothed_load[vm.pool] / kShortUse;
      if (room > best_room && memory_.short_since.count(vm.pool) == 0) {
        best = id;
        best_room = room;
      }
    }
    return best;
  }

  void Move(const VmId& id, const VmRecord& vm, const PoolId& target) {
    PoolTally& tally = tallies_[vm.pool];
    if (in_flight_ >= kMaxMovesInFlight || WhyNotStart(state_, tally, vm)) return;
    if (vm.healthy) --tally.available;
    ++tally.busy_zones[vm.zone];
    ++in_flight_;
    ++arriving_[target];
    memory_.last_move[id] = now_;
    plan_.commands.emplace_back(StartVmOperation{
        .vm = id,
        .operation = {.id = "move-" + id + "-" + std::to_string(state_.applied_index),
                      .kind = VmOperationKind::kMove,
                      .target = target}});
  }

  const FleetState& state_;
  const FleetView& view_;
  const Micros now_;
  MoveMemory& memory_;
  Plan& plan_;
  std::map<PoolId, PoolTally> tallies_;  // with what this plan starts
  std::map<PoolId, int> arriving_;
  int in_flight_ = 0;
};

}  // namespace

void PlanMoves(const FleetState& state, const FleetView& view, Micros now, MoveMemory& memory,
               Plan& plan) {
  if (memory.last_step != 0 && now - memory.last_step < kMoveStep) return;
  memory.last_step = now;
  MovePlan(state, view, now, memory, plan).Run();
}

}  // namespace godwitpaddle

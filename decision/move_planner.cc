#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "decision/planners.h"
#include "decision/vm_budget.h"

namespace godwitpaddle {
namespace {

// Moves are planned at this interval.
constexpr Micros kMoveInterval = kSecond;
// Time constant of the smoothed load, in planning intervals. Usual bursts last some seconds, which
// is less than a move takes, and must not start one.
constexpr double kSmoothingSteps = 10;
// A move and the move back take a VM out of service for about this long. A move is worth its cost
// once the VM would have been busy for that long, assuming that a shortage continues for as long as
// it has lasted so far.
constexpr double kMoveCostS = 30;
// A VM that was moved is not moved again for this long, so that a load around the threshold does
// not move it back and forth.
constexpr double kMinLoanS = 180;
// Bounds the moves in flight, so that a wrong estimate takes few VMs out of service.
constexpr int kMaxMovesInFlight = 2;
// A pool is short of VMs when its load exceeds kShortageUtilization of its VMs. It has a surplus
// when its load would be below kSurplusUtilization of its VMs with one VM less.
constexpr double kShortageUtilization = 0.95;
constexpr double kSurplusUtilization = 0.6;

class MovePlan {
 public:
  MovePlan(const FleetState& state, const FleetView& view, Micros now,
           MovePlannerState& planner_state, Plan& plan)
      : state_(state),
        view_(view),
        now_(now),
        planner_state_(planner_state),
        plan_(plan),
        availability_(ComputeAvailability(state)) {}

  void Run() {
    for (const auto& [id, vm] : state_.vms) {
      if (vm.operation && vm.operation->kind == VmOperationKind::kMove) {
        ++in_flight_;
        ++incoming_[vm.operation->target];
      }
    }
    UpdateLoad();
    ReturnVms();
    if (state_.config.fleet.automatic_moves) LendVms();
  }

 private:
  void UpdateLoad() {
    for (const auto& [pool, config] : state_.config.pools) {
      const auto use = view_.pools.find(pool);
      const double demand =
          use == view_.pools.end()
              ? 0
              : static_cast<double>(use->second.queued + use->second.running) / config.slots_per_vm;
      double& smoothed = planner_state_.smoothed_load[pool];
      smoothed += (demand - smoothed) / kSmoothingSteps;
      if (smoothed > kShortageUtilization * (availability_[pool].available + incoming_[pool])) {
        planner_state_.shortage_since.try_emplace(pool, now_);
      } else {
        planner_state_.shortage_since.erase(pool);
      }
      if (smoothed < kSurplusUtilization * (availability_[pool].available - 1)) {
        planner_state_.surplus_since.try_emplace(pool, now_);
      } else {
        planner_state_.surplus_since.erase(pool);
      }
    }
  }

  /// Whether the VM's configured pool is a spare pool and the VM is in another pool.
  bool IsLent(const VmId& id, const VmRecord& vm) const {
    const auto config = state_.config.vms.find(id);
    if (config == state_.config.vms.end() || config->second.pool == vm.pool) return false;
    const auto home = state_.config.pools.find(config->second.pool);
    return home != state_.config.pools.end() && home->second.spare;
  }

  /// Moves VMs to the pool that the configuration assigns them to. A lent VM returns when the pool
  /// that borrows it has had a surplus for long enough, or when its own pool is short of VMs; any
  /// other VM moves at once.
  void ReturnVms() {
    for (const auto& [id, vm] : state_.vms) {
      const auto config = state_.config.vms.find(id);
      if (config == state_.config.vms.end() || config->second.pool == vm.pool) continue;
      const bool lent = state_.config.fleet.automatic_moves && IsLent(id, vm);
      if (!lent || MayReturn(id, vm.pool, config->second.pool)) Move(id, vm, config->second.pool);
    }
  }

  bool MayReturn(const VmId& id, const PoolId& pool, const PoolId& home) const {
    const auto surplus = planner_state_.surplus_since.find(pool);
    if (surplus == planner_state_.surplus_since.end() || MovedRecently(id)) return false;
    const double surplus_s = Seconds(now_ - surplus->second);
    return planner_state_.shortage_since.count(home) != 0 ||
           surplus_s >= kMoveCostS * Weights().moves;
  }

  static double Seconds(Micros duration) { return static_cast<double>(duration) / kSecond; }
  const PolicyWeights& Weights() const { return state_.config.fleet.weights; }

  bool MovedRecently(const VmId& id) const {
    const auto moved = planner_state_.last_move.find(id);
    // A new leader does not know the last moves, so it counts from its election.
    const Micros since =
        moved == planner_state_.last_move.end() ? view_.leader_since : moved->second;
    return Seconds(now_ - since) < kMinLoanS;
  }

  void LendVms() {
    for (const auto& [pool, since] : planner_state_.shortage_since) {
      if (!IsWorthMoving(pool, since)) continue;
      if (const auto vm = BestVmToLend(pool)) Move(*vm, state_.vms.at(*vm), pool);
    }
  }

  /// Whether the expected gain of one more VM in the pool exceeds the cost of moving it there and
  /// back. The gain is counted at the weights of the teams' shares and of idle buffer VMs, since
  /// less waiting brings teams nearer to their shares and saves VMs kept idle for peaks.
  bool IsWorthMoving(const PoolId& pool, Micros since) {
    const double missing_vms = planner_state_.smoothed_load[pool] / kShortageUtilization -
                               (availability_[pool].available + incoming_[pool]);
    const double busy_s = std::min(missing_vms, 1.0) * Seconds(now_ - since);
    const double gain = busy_s * (Weights().share + Weights().buffer) / 2;
    return gain > kMoveCostS * Weights().moves;
  }

  /// Chooses a VM of the spare pool with the most unused VMs; among its VMs, the one that runs the
  /// fewest tasks.
  std::optional<VmId> BestVmToLend(const PoolId& recipient) {
    std::optional<VmId> best;
    std::pair<double, int> best_rank;  // unused VMs of the pool, then running tasks, negated
    for (const auto& [id, vm] : state_.vms) {
      const auto pool = state_.config.pools.find(vm.pool);
      if (vm.pool == recipient || !vm.healthy || vm.operation || !pool->second.spare) continue;
      if (planner_state_.last_move.count(id) != 0 && MovedRecently(id)) continue;
      const double unused_vms = availability_[vm.pool].available - 1 -
                                planner_state_.smoothed_load[vm.pool] / kShortageUtilization;
      if (unused_vms < 0 || planner_state_.shortage_since.count(vm.pool) != 0) continue;
      if (StartRefusalReason(state_, availability_[vm.pool], vm)) continue;
      const auto use = view_.vms.find(id);
      const std::pair rank{unused_vms, use == view_.vms.end() ? 0 : -use->second.running};
      if (best && rank <= best_rank) continue;
      best = id;
      best_rank = rank;
    }
    return best;
  }

  void Move(const VmId& id, const VmRecord& vm, const PoolId& target) {
    PoolAvailability& availability = availability_[vm.pool];
    if (in_flight_ >= kMaxMovesInFlight || StartRefusalReason(state_, availability, vm)) return;
    if (vm.healthy) --availability.available;
    ++availability.operations_by_zone[vm.zone];
    ++in_flight_;
    ++incoming_[target];
    planner_state_.last_move[id] = now_;
    plan_.commands.emplace_back(StartVmOperation{
        .vm = id,
        .operation = {.id = "move-" + id + "-" + std::to_string(state_.applied_index),
                      .kind = VmOperationKind::kMove,
                      .target = target}});
  }

  const FleetState& state_;
  const FleetView& view_;
  const Micros now_;
  MovePlannerState& planner_state_;
  Plan& plan_;
  std::map<PoolId, PoolAvailability>
      availability_;  // includes the operations that this plan starts
  std::map<PoolId, int> incoming_;
  int in_flight_ = 0;
};

}  // namespace

void PlanMoves(const FleetState& state, const FleetView& view, Micros now,
               MovePlannerState& planner_state, Plan& plan) {
  if (planner_state.last_planned != 0 && now - planner_state.last_planned < kMoveInterval) return;
  planner_state.last_planned = now;
  MovePlan(state, view, now, planner_state, plan).Run();
}

}  // namespace godwitpaddle

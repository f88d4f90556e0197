#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "decision/planners.h"
#include "decision/vm_budget.h"

namespace godwitpaddle {
namespace {

constexpr Micros kMoveStep = kSecond;
// Steps of smoothing: the bursts to expect last some seconds, less than a move takes.
constexpr double kSmoothingSteps = 10;
// A move and the way back take a VM out of service for about this long. A shortage pays for it once
// the VM would have been busy that long, assuming that it lasts as long again as it has lasted.
constexpr double kMoveCostS = 30;
// A lent VM stays at least this long, so that a load around the threshold does not move it to and
// fro.
constexpr double kStayS = 180;
// Moves in flight at once: a wrong estimate then takes few VMs out of service.
constexpr int kMaxMovesInFlight = 2;
// A pool is short above this part of its VMs, and calm below the other without one of them.
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
        tallies_(ComputeAvailability(state)) {}

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
      if (smoothed < kCalmUse * (tallies_[pool].available - 1)) {
        memory_.calm_since.try_emplace(pool, now_);
      } else {
        memory_.calm_since.erase(pool);
      }
    }
  }

  bool IsLent(const VmId& id, const VmRecord& vm) const {
    const auto config = state_.config.vms.find(id);
    if (config == state_.config.vms.end() || config->second.pool == vm.pool) return false;
    const auto home = state_.config.pools.find(config->second.pool);
    return home != state_.config.pools.end() && home->second.spare;
  }

  /// Moves VMs to the pool that the configuration gives them: lent ones when their pool has been
  /// calm or their own pool is short, others at once.
  void ReturnVms() {
    for (const auto& [id, vm] : state_.vms) {
      const auto config = state_.config.vms.find(id);
      if (config == state_.config.vms.end() || config->second.pool == vm.pool) continue;
      const bool lent = state_.config.fleet.automatic_moves && IsLent(id, vm);
      if (!lent || MayReturn(id, vm.pool, config->second.pool)) Move(id, vm, config->second.pool);
    }
  }

  bool MayReturn(const VmId& id, const PoolId& pool, const PoolId& home) const {
    const auto calm = memory_.calm_since.find(pool);
    if (calm == memory_.calm_since.end() || IsSettling(id)) return false;
    const double calm_s = Seconds(now_ - calm->second);
    return memory_.short_since.count(home) != 0 || calm_s >= kMoveCostS * Weights().moves;
  }

  static double Seconds(Micros duration) { return static_cast<double>(duration) / kSecond; }
  const PolicyWeights& Weights() const { return state_.config.fleet.weights; }

  bool IsSettling(const VmId& id) const {
    const auto moved = memory_.last_move.find(id);
    // A new leader does not know the last moves and waits from its election.
    const Micros since = moved == memory_.last_move.end() ? view_.leader_since : moved->second;
    return Seconds(now_ - since) < kStayS;
  }

  void LendVms() {
    for (const auto& [pool, since] : memory_.short_since) {
      if (!Pays(pool, since)) continue;
      if (const auto vm = BestDonor(pool)) Move(*vm, state_.vms.at(*vm), pool);
    }
  }

  /// Whether the expected gain of one more VM exceeds the cost of moving it there and back. Less
  /// waiting brings teams nearer to their shares and saves VMs held idle for peaks.
  bool Pays(const PoolId& pool, Micros since) {
    const double lacking =
        memory_.smoothed_load[pool] / kShortUse - (tallies_[pool].available + arriving_[pool]);
    const double busy_s = std::min(lacking, 1.0) * Seconds(now_ - since);
    const double gain = busy_s * (Weights().share + Weights().buffer) / 2;
    return gain > kMoveCostS * Weights().moves;
  }

  /// A VM of the spare pool that has most to spare; among its VMs one that is nearly idle.
  std::optional<VmId> BestDonor(const PoolId& needy) {
    std::optional<VmId> best;
    std::pair<double, int> best_rank;  // room of the pool, less running work
    for (const auto& [id, vm] : state_.vms) {
      const auto pool = state_.config.pools.find(vm.pool);
      if (vm.pool == needy || !vm.healthy || vm.operation || !pool->second.spare) continue;
      if (memory_.last_move.count(id) != 0 && IsSettling(id)) continue;
      const double room =
          tallies_[vm.pool].available - 1 - memory_.smoothed_load[vm.pool] / kShortUse;
      if (room < 0 || memory_.short_since.count(vm.pool) != 0) continue;
      if (StartRefusalReason(state_, tallies_[vm.pool], vm)) continue;
      const auto use = view_.vms.find(id);
      const std::pair rank{room, use == view_.vms.end() ? 0 : -use->second.running};
      if (best && rank <= best_rank) continue;
      best = id;
      best_rank = rank;
    }
    return best;
  }

  void Move(const VmId& id, const VmRecord& vm, const PoolId& target) {
    PoolAvailability& tally = tallies_[vm.pool];
    if (in_flight_ >= kMaxMovesInFlight || StartRefusalReason(state_, tally, vm)) return;
    if (vm.healthy) --tally.available;
    ++tally.operations_by_zone[vm.zone];
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
  std::map<PoolId, PoolAvailability> tallies_;  // with what this plan starts
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

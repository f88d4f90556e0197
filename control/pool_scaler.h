#ifndef GODWITPADDLE_CONTROL_POOL_SCALER_H_
#define GODWITPADDLE_CONTROL_POOL_SCALER_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "control/events.h"
#include "control/maintenance.h"
#include "control/vm_orders.h"
#include "control/worker_fleet.h"
#include "jobs/demand.h"
#include "jobs/planner.h"
#include "jobs/pool_plan.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct PoolScalerOptions {
  PoolPlanOptions plan;
  std::int64_t move_ms = 1'500;  // time for which a moved VM is down
};

/// The room that a service can reckon with for tasks that are not long-running.
struct RoomOutlook {
  Resources vm;      // capacity of one VM
  double vms = 0;    // VMs that the service has or is to have, less what long-running tasks take up
  Micros delay = 0;  // until all of them are there
};

/// Moves VMs between pools to follow demand: estimates the cores that each pool needs, drains VMs
/// of pools with a surplus, and has the platform move them.
class PoolScaler {
 public:
  PoolScaler(PoolScalerOptions options, const State& state, WorkerFleet& fleet, VmOrders& vm_orders,
             const Maintenance& maintenance, const StartPlanner& planner, Demand& demand)
      : options_(options),
        state_(state),
        fleet_(fleet),
        orders_(vm_orders),
        maintenance_(maintenance),
        planner_(planner),
        demand_(demand) {}

  void BeginTerm();
  /// Does nothing unless IsDue.
  void Tick(Micros now, WallMs wall, Outbox& out);
  bool IsDue(Micros now) const { return now >= next_tick_; }
  /// Adds the VMs that must not get new tasks because the platform moves them, or was asked to.
  void AddCordonedVms(std::unordered_set<std::string_view>& vms) const;
  /// Adds the VMs that are to be moved once they have no tasks. They should get no new ones.
  void AddLeavingVms(std::unordered_set<std::string_view>& vms) const;
  /// Number of VMs that are down or withheld from tasks because of moves, and of leaving VMs.
  std::size_t moving() const { return moving_.size(); }
  std::size_t leaving() const { return draining_.size(); }
  /// The outlook of the service as of the last tick; null if none is known.
  const RoomOutlook* OutlookOf(const std::string& service) const;
  /// Whether the VM is being moved to another pool.
  bool IsMoving(const VmId& vm) const { return moving_.contains(vm); }

 private:
  struct VmMove {
    std::string from;     // pool
    std::string to;       // target pool
    Micros ordered = 0;   // time at which the order was given
    Micros accepted = 0;  // time at which the platform answered that the move is done; 0: not yet
    /// Expected time at which the VM is up in the new pool: `accepted` plus `move_ms`; 0: the
    /// platform has not answered that the move is done.
    Micros arrives = 0;
  };

  std::vector<Pool> DescribePools(Micros now);
  void AddWorkers(std::map<std::string, Pool>& pools, Micros now) const;
  /// Counts the workers that a new leader has not heard from yet: they are probably there.
  void AddUnheardWorkers(std::map<std::string, Pool>& pools, Micros now) const;
  void AddStandby(std::map<std::string, Pool>& pools) const;
  /// Counts the room that the long-running tasks of evacuated zones will need in other zones.
  void AddEvacuatedWorkers(std::map<std::string, Pool>& pools, Micros now) const;
  /// Whether the VM is in an evacuated zone, as far as is known.
  bool IsInEvacuatedZone(const VmId& vm) const;
  /// Appends moves to a standby pool for the VMs of zones that have been evacuated for a while and
  /// that run nothing.
  void AddSwitchOffs(std::vector<PoolMove>& moves, Micros now, WallMs wall) const;
  /// Notes what room each service has and is to have.
  void UpdateOutlooks(const std::vector<Pool>& pools);
  /// Cores that a service needs for its forecast load and its backlog.
  double NeededCores(const std::string& service, double open_core_ms, Micros now);
  /// Updates which long-running tasks wait for a worker, and since when.
  void TrackLongRunningWaits(Micros now, WallMs wall);
  /// Tasks, by service, that no worker has room for: long-running ones that have waited longer than
  /// a start takes, and unplaceable steps of the planner.
  std::map<std::string, std::vector<WaitingDemand>> WaitingDemands(Micros now) const;
  void AddWaitingNeeds(std::map<std::string, Pool>& pools, Micros now) const;
  void FinishMoves(Micros now);
  /// Whether a worker on the VM has tasks.
  bool IsBusy(const VmId& vm) const;
  bool HasArrived(const VmId& vm, const VmMove& move) const;
  /// Starts the moves of VMs without tasks, as many as the platform takes, and drains the others.
  void Execute(const std::vector<PoolMove>& moves, const std::map<std::string, int>& pool_vms,
               Micros now, Outbox& out);
  /// Number of moves out of each pool that the platform has not answered.
  std::map<std::string, int> CountUnanswered() const;
  /// Orders the move of a VM that has no tasks.
  void Start(const PoolMove& move, Micros now, Outbox& out);
  void OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, Outbox& out);

  PoolScalerOptions options_;
  const State& state_;
  WorkerFleet& fleet_;
  VmOrders& orders_;
  const Maintenance& maintenance_;
  const StartPlanner& planner_;
  Demand& demand_;
  Micros next_tick_ = 0;
  std::map<VmId, std::string> draining_;  // VMs being drained, with their target pools
  std::map<VmId, VmMove> moving_;
  std::map<VmId, std::string> standby_vms_;  // VMs in standby pools, with the pool
  /// Whether `standby_vms_` was filled, once in this term, from the platform's list of VMs.
  bool standby_read_ = false;
  std::map<std::string, RoomOutlook> outlooks_;  // by service
  std::map<std::string, Micros> surplus_since_;  // by pool; 0: no surplus
  std::map<std::string, Micros> arrived_;        // time of the last arrival of a VM, by pool
  std::map<TaskId, Micros> long_running_waits_;  // start of the wait of each long-running task
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_POOL_SCALER_H_

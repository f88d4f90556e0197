#ifndef GODWITPADDLE_CONTROL_POOL_SCALER_H_
#define GODWITPADDLE_CONTROL_POOL_SCALER_H_

#include <map>
#include <string>

#include "control/events.h"
#include "control/maintenance.h"
#include "control/vm_orders.h"
#include "control/worker_fleet.h"
#include "jobs/demand.h"
#include "jobs/pool_plan.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct PoolScalerOptions {
  PoolPlanOptions plan;
  std::int64_t move_ms = 1'500;  // how long a moved VM is away
};

/// Carries out the moves between pools: watches demand, empties VMs, has the platform move them.
class PoolScaler {
 public:
  PoolScaler(PoolScalerOptions options, const State& state, WorkerFleet& fleet, VmOrders& vm_orders,
             const Maintenance& maintenance, Demand& demand)
      : options_(options),
        state_(state),
        fleet_(fleet),
        vm_orders_(vm_orders),
        maintenance_(maintenance),
        demand_(demand) {}

  void BeginTerm();
  void Tick(Micros now, Outbox& out);
  /// Whether new tasks must keep off the worker because its VM is to be moved.
  bool IsCordoned(const Worker& worker) const;
  /// Whether the VM is on its way to another pool.
  bool IsMoving(const VmId& vm) const { return moving_.contains(vm); }

 private:
  struct VmMove {
    std::string to;
    Micros ordered = 0;
    Micros accepted = 0;  // when the platform said that it is done
    Micros arrives = 0;   // 0: the platform has not agreed yet
  };

  std::vector<Pool> DescribePools(Micros now);
  void AddWorkers(std::map<std::string, Pool>& pools, Micros now) const;
  void AddStandby(std::map<std::string, Pool>& pools) const;
  double NeededCores(const std::string& service, double open_core_ms, Micros now);
  std::map<std::string, double> BacklogCoreMs() const;
  /// Follows which lasting tasks wait.
  void TrackLongRunningWaits(Micros now);
  /// By service, those that have waited too long to be on their way to a worker.
  std::map<std::string, std::vector<LongRunningDemand>> LongRunningDemands(Micros now) const;
  void AddLongRunningNeeds(std::map<std::string, Pool>& pools, Micros now) const;
  void FinishMoves(Micros now);
  void Start(const PoolMove& move, Micros now, Outbox& out);
  void OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, Outbox& out);
  bool HasLongRunningTask(const Worker& worker) const;

  PoolScalerOptions options_;
  const State& state_;
  WorkerFleet& fleet_;
  VmOrders& vm_orders_;
  const Maintenance& maintenance_;
  Demand& demand_;
  Micros next_tick_ = 0;
  std::map<VmId, std::string> draining_;  // with the pool that it is emptied for
  std::map<VmId, VmMove> moving_;
  std::map<VmId, std::string> standby_vms_;  // VMs known to be in a pool that is off
  bool standby_read_ = false;
  std::map<std::string, Micros> surplus_since_;
  std::map<TaskId, Micros> long_running_waits_;  // lasting tasks without a worker, and since when
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_POOL_SCALER_H_

#ifndef GODWITPADDLE_CONTROL_POOL_SCALER_H_
#define GODWITPADDLE_CONTROL_POOL_SCALER_H_

#include <map>
#include <string>

#include "control/events.h"
#include "control/maintenance.h"
#include "control/vm_desk.h"
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
  PoolScaler(PoolScalerOptions options, const State& state, WorkerFleet& fleet, VmDesk& desk,
             const Maintenance& maintenance, Demand& demand)
      : options_(options),
        state_(state),
        fleet_(fleet),
        desk_(desk),
        maintenance_(maintenance),
        demand_(demand) {}

  void BeginTerm();
  void Tick(Micros now, Outbox& out);
  /// Whether new tasks must keep off the worker because its VM is to be moved.
  bool IsCordoned(const Worker& worker) const;
  /// Whether the VM is on its way to another pool.
  bool IsMoving(const VmId& vm) const { return moving_.contains(vm); }

 private:
  struct Moving {
    std::string to;
    WorkerId from_worker;
    Micros ordered = 0;
    Micros agreed = 0;   // when the platform said that it is done
    Micros arrives = 0;  // 0: the platform has not agreed yet
  };

  std::vector<Pool> DescribePools(Micros now);
  void AddWorkers(std::map<std::string, Pool>& pools, Micros now) const;
  void AddStandby(std::map<std::string, Pool>& pools) const;
  double NeededCores(const std::string& service, double open_core_ms, Micros now);
  std::map<std::string, double> OpenWork() const;
  /// Follows which lasting tasks wait.
  void FollowLasting(Micros now);
  /// By service, those that have waited too long to be on their way to a worker.
  std::map<std::string, std::vector<LastingWait>> LastingWaits(Micros now) const;
  void AddLastingNeeds(std::map<std::string, Pool>& pools, Micros now) const;
  void Settle(Micros now);
  void Start(const PoolMove& move, Micros now, Outbox& out);
  void OnOutcome(const VmId& vm, const WorkerId& from_worker, VmOutcome outcome, Micros now,
                 WallMs wall, Outbox& out);
  bool HasLastingTask(const Worker& worker) const;

  PoolScalerOptions options_;
  const State& state_;
  WorkerFleet& fleet_;
  VmDesk& desk_;
  const Maintenance& maintenance_;
  Demand& demand_;
  Micros next_tick_ = 0;
  std::map<VmId, std::string> emptying_;  // with the pool that it is emptied for
  std::map<VmId, Moving> moving_;
  std::map<VmId, std::string> parked_;  // VMs known to be in a pool that is off
  bool listed_ = false;
  std::map<std::string, Micros> surplus_since_;
  std::map<TaskId, Micros> lasting_waits_;  // lasting tasks without a worker, and since when
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_POOL_SCALER_H_

#ifndef GODWITPADDLE_CONTROL_MAINTENANCE_H_
#define GODWITPADDLE_CONTROL_MAINTENANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>

#include "control/events.h"
#include "control/vm_orders.h"
#include "control/worker_fleet.h"
#include "jobs/planner.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct MaintenanceOptions {
  std::int64_t maintenance_ms = 2'000;  // time for which a maintained VM is down
};

/// Executes maintenance waves: drains the VMs one after the other within the availability budgets
/// of long-running steps, has the platform maintain each, and waits until its worker is back.
class Maintenance {
 public:
  using Propose = std::function<void(Command)>;

  Maintenance(MaintenanceOptions options, const State& state, WorkerFleet& fleet,
              VmOrders& vm_orders, const StartPlanner& planner, Propose propose)
      : options_(options),
        state_(state),
        fleet_(fleet),
        orders_(vm_orders),
        planner_(planner),
        propose_(std::move(propose)) {}

  void BeginTerm(Micros now);
  /// Does nothing unless IsDue.
  void Tick(Micros now, Outbox& out);
  bool IsDue(Micros now) const { return now >= next_tick_; }

  /// Whether the worker must not get new tasks because its VM is about to be taken down.
  bool IsCordoned(const Worker& worker) const;
  /// Adds the VMs of such workers.
  void AddCordonedVms(std::unordered_set<std::string_view>& vms) const;
  /// Whether the VM is being drained for maintenance, or maintained.
  bool IsInMaintenance(const VmId& vm) const { return active_.contains(vm); }

 private:
  enum class VmStep : std::uint8_t {
    kDraining,  // the VM gets no new tasks, and the running ones end or are moved
    kOrdered,   // the platform has not yet answered the order to maintain the VM
    kDown       // the platform answered that it maintains the VM, which is not back yet
  };

  struct VmMaintenance {
    WaveId wave = 0;
    VmStep step = VmStep::kDraining;
    WorkerId worker;   // on the VM when its maintenance began; empty: none
    Micros since = 0;  // start of the current step
  };

  void TickWave(WaveId id, const Wave& wave, Micros now);
  void BeginVm(WaveId id, const VmId& vm, Micros now);
  void TickVm(const VmId& vm, VmMaintenance& work, Micros now, Outbox& out);
  void OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, Outbox& out);
  bool HasNoTasks(const VmMaintenance& work) const;
  bool HasReturned(const VmId& vm, const VmMaintenance& work, Micros now) const;
  void ReleaseReturned(Micros now);
  void MoveLongRunningTasks(const WorkerId& worker, Micros now, Outbox& out);
  /// The newest worker on the VM; null if there is none.
  const Worker* WorkerOn(const VmId& vm) const;
  /// Counts the VMs of each wave that are down or ordered to be.
  void CountDown();

  MaintenanceOptions options_;
  const State& state_;
  WorkerFleet& fleet_;
  VmOrders& orders_;
  const StartPlanner& planner_;
  Propose propose_;
  Micros next_tick_ = 0;
  std::map<VmId, VmMaintenance> active_;
  std::map<WaveId, std::size_t> down_;  // see CountDown
  /// VMs that the platform refused to take down, with the earliest time of the next attempt.
  std::map<VmId, Micros> retry_at_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_MAINTENANCE_H_

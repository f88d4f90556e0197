#ifndef GODWITPADDLE_CONTROL_MAINTENANCE_H_
#define GODWITPADDLE_CONTROL_MAINTENANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "control/events.h"
#include "control/vm_orders.h"
#include "control/worker_fleet.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct MaintenanceOptions {
  std::int64_t maintenance_ms = 2'000;  // how long a VM is away
};

/// Carries out waves: empties one VM after the other within the availability budgets of the lasting
/// steps, has the platform maintain it, and waits until its worker is back.
class Maintenance {
 public:
  using Propose = std::function<void(Command)>;

  Maintenance(MaintenanceOptions options, const State& state, WorkerFleet& fleet,
              VmOrders& vm_orders, Propose propose)
      : options_(options),
        state_(state),
        fleet_(fleet),
        vm_orders_(vm_orders),
        propose_(std::move(propose)) {}

  void BeginTerm(Micros now);
  void Tick(Micros now, Outbox& out);

  /// Whether new tasks must keep off the worker because its VM is about to be taken down.
  bool IsCordoned(const Worker& worker) const;
  /// Whether the VM is being maintained, or about to be.
  bool IsInMaintenance(const VmId& vm) const { return in_progress_.contains(vm); }

 private:
  enum class VmStep : std::uint8_t { kDraining, kOrdered, kDown };

  struct VmMaintenance {
    WaveId wave = 0;
    VmStep step = VmStep::kDraining;
    WorkerId worker;   // that ran there; empty when the VM had none
    Micros since = 0;  // of the step
  };

  void TickWave(WaveId id, const Wave& wave, Micros now);
  void BeginVm(WaveId id, const VmId& vm, Micros now);
  void TickVm(const VmId& vm, VmMaintenance& work, Micros now, Outbox& out);
  void OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, WallMs wall, Outbox& out);
  bool IsEmpty(const VmMaintenance& work) const;
  bool HasReturned(const VmId& vm, const VmMaintenance& work, Micros now) const;
  void ReleaseReturned(Micros now);
  void MoveLongRunningTasks(const WorkerId& worker, Micros now, Outbox& out);
  bool MayStop(const TaskId& task) const;
  /// Reads anew which worker runs on each VM; what it found is valid until the state changes.
  void FindWorkers();
  const Worker* WorkerOn(const VmId& vm) const;

  MaintenanceOptions options_;
  const State& state_;
  WorkerFleet& fleet_;
  VmOrders& vm_orders_;
  Propose propose_;
  Micros next_tick_ = 0;
  std::map<VmId, VmMaintenance> in_progress_;
  std::map<std::string_view, const Worker*> workers_;  // the newest on each VM
  std::map<VmId, Micros> retry_at_;                    // VMs that the platform could not take down
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_MAINTENANCE_H_

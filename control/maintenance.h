#ifndef GODWITPADDLE_CONTROL_MAINTENANCE_H_
#define GODWITPADDLE_CONTROL_MAINTENANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "control/events.h"
#include "control/worker_fleet.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct MaintenanceOptions {
  std::string holder;                  // name of this node towards the platform
  std::int64_t takeover_ms = 3'000;    // no calls of a new leader before: those of the former end
  std::int64_t maintenance_ms = 2'000;  // how long a VM is away
};

/// Carries out waves: empties one VM after the other within the availability budgets of the lasting
/// steps, has the platform maintain it, and waits until its worker is back.
class Maintenance {
 public:
  using Propose = std::function<void(Command)>;

  Maintenance(MaintenanceOptions options, const State& state, WorkerFleet& fleet, Propose propose)
      : options_(std::move(options)), state_(state), fleet_(fleet), propose_(std::move(propose)) {}

  void BeginTerm(std::uint64_t fencing_token, Micros now);
  void EndTerm();
  void OnReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out);
  void Tick(Micros now, WallMs wall, Outbox& out);

  /// Whether new tasks must keep off the worker because its VM is about to be taken down.
  bool IsCordoned(const Worker& worker) const;

 private:
  enum class VmStep : std::uint8_t { kEmptying, kCalling, kAway };

  struct VmWork {
    WaveId wave = 0;
    VmStep step = VmStep::kEmptying;
    WorkerId worker;  // that ran there; empty when the VM had none
    Micros since = 0;
    Micros next_call = 0;
    bool call_out = false;
  };

  void TickWave(WaveId id, const Wave& wave, Micros now);
  void Begin(WaveId id, const VmId& vm, Micros now);
  void TickVm(const VmId& vm, VmWork& work, Micros now, WallMs wall, Outbox& out);
  void Call(const VmId& vm, VmWork& work, Micros now, Outbox& out);
  bool IsEmpty(const VmWork& work) const;
  bool IsBack(const VmId& vm, const VmWork& work) const;
  void MoveLastingTasks(const WorkerId& worker, Micros now, Outbox& out);
  bool MayTakeAway(const TaskId& task) const;
  const Worker* WorkerOn(const VmId& vm) const;

  MaintenanceOptions options_;
  const State& state_;
  WorkerFleet& fleet_;
  Propose propose_;
  std::uint64_t fencing_token_ = 0;
  Micros term_began_ = 0;
  Micros next_tick_ = 0;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, VmId> sent_;
  std::map<VmId, VmWork> work_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_MAINTENANCE_H_

#ifndef GODWITPADDLE_CONTROL_ZONE_DRAIN_H_
#define GODWITPADDLE_CONTROL_ZONE_DRAIN_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "control/events.h"
#include "control/worker_fleet.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

/// Empties the evacuated availability zones. Long-running tasks move to other zones, one of a step
/// at a time or as many as its `max_unavailable` allows, and only where there is room for them:
/// until then they go on. Other tasks end by themselves sooner than they would run again. Tasks of
/// a gang go on too, since one that moved would end all of them.
class ZoneDrain {
 public:
  /// Returns the VMs whose workers are not to get tasks.
  using WithheldVms = std::function<std::unordered_set<std::string_view>()>;

  ZoneDrain(const State& state, WorkerFleet& fleet, WithheldVms withheld_vms)
      : state_(state), fleet_(fleet), withheld_vms_(std::move(withheld_vms)) {}

  void BeginTerm(Outbox& out);
  void EndTerm(Outbox& out);
  /// Call when the order has been applied.
  void OnOrder(const ZoneOrder& order, Outbox& out);
  /// Moves what may move now and reports the zones that have become empty. Does nothing unless a
  /// zone is evacuated and the time has come.
  void Tick(Micros now, WallMs wall, Outbox& out);

 private:
  /// What runs in an evacuated zone.
  struct Load {
    std::size_t workers = 0;
    std::size_t tasks = 0;
    std::size_t long_running_tasks = 0;
  };

  std::map<std::string, Load> CountLoads() const;
  /// Moves the tasks that may leave the worker. `occupied`: VMs that tasks may not move to; gets
  /// those that the tasks move to.
  void MoveTasks(const Worker& worker, std::unordered_set<std::string_view>& occupied, Micros now,
                 Outbox& out);
  /// Whether the task may leave its worker now.
  bool MayMove(const TaskId& task) const;
  /// Returns a usable worker on another VM than `occupied` that has room for the task; null if
  /// there is none.
  const Worker* FindRoom(const TaskId& task, const std::unordered_set<std::string_view>& occupied,
                         Micros now) const;
  /// Sets the gauges for the evacuated zones and the tasks in them.
  void SetGauges(std::size_t zones, std::size_t tasks, Outbox& out);

  const State& state_;
  WorkerFleet& fleet_;
  WithheldVms withheld_vms_;
  Micros next_tick_ = 0;
  std::map<std::string, Load> reported_;  // of each evacuated zone, at the last tick
  std::size_t gauge_zones_ = 0;
  std::size_t gauge_tasks_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_ZONE_DRAIN_H_

#ifndef GODWITPADDLE_CONTROL_WAIT_REPORT_H_
#define GODWITPADDLE_CONTROL_WAIT_REPORT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "base/enum_names.h"
#include "control/events.h"
#include "control/worker_fleet.h"
#include "jobs/state.h"
#include "jobs/unapplied_starts.h"

namespace godwitpaddle::jobs {

/// Why a task is not started.
enum class WaitReason : std::uint8_t {
  kNone,        // a worker that may get tasks has room for it
  kPlanned,     // its start is planned, and not applied yet
  kHeld,        // its latest runs were lost with workers that may have crashed
  kTeamLimit,   // its team uses what it may
  kNoWorkers,   // its service has no workers
  kNoRoom,      // no worker of its service has room for it
  kNotAllowed,  // the workers with room may not get tasks
};
inline constexpr EnumNames<7> kWaitReasonNames = {
    "none", "planned", "held", "team_limit", "no_workers", "no_room", "not_allowed"};

/// What keeps a task from being started, with the workers of its service.
struct TaskWait {
  WaitReason reason = WaitReason::kNone;
  std::uint32_t workers = 0;  // of the service
  std::uint32_t usable = 0;   // of these, those that may get tasks
  /// The workers with room for the task beside the starts that are planned there, by what keeps
  /// them from getting tasks.
  std::array<std::uint32_t, kWorkerObstacleNames.size()> with_room = {};
};

/// Logs why tasks wait that could run: those of jobs that have nothing running, and long-running
/// ones. A task is logged once it has waited for two seconds, and again when the reason changes.
class WaitReport {
 public:
  /// Returns the VMs that must not get tasks because of a move or maintenance.
  using CordonedVms = std::function<std::unordered_set<std::string_view>()>;

  WaitReport(const State& state, const WorkerFleet& fleet, const UnappliedStarts& unapplied,
             CordonedVms cordoned_vms)
      : state_(state),
        fleet_(fleet),
        unapplied_(unapplied),
        cordoned_vms_(std::move(cordoned_vms)) {}

  void BeginTerm() { waits_.clear(); }
  /// Does nothing but once a second.
  void Tick(Micros now, WallMs wall, Outbox& out);
  TaskWait Explain(const TaskId& id, Micros now, WallMs wall) const;

 private:
  struct Wait {
    Micros since = 0;
    Micros seen = 0;
    WaitReason logged = WaitReason::kNone;
    bool is_logged = false;
  };

  void ExamineJob(const Job& job, Micros now, WallMs wall, Outbox& out);
  void OnWaiting(const TaskId& id, Micros now, WallMs wall, Outbox& out);

  const State& state_;
  const WorkerFleet& fleet_;
  const UnappliedStarts& unapplied_;
  const CordonedVms cordoned_vms_;
  Micros next_tick_ = 0;
  int lines_left_ = 0;  // of the present second
  JobId last_examined_ = 0;
  std::map<TaskId, Wait> waits_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_WAIT_REPORT_H_

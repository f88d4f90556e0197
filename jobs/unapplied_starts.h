#ifndef GODWITPADDLE_JOBS_UNAPPLIED_STARTS_H_
#define GODWITPADDLE_JOBS_UNAPPLIED_STARTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "jobs/commands.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

/// What the unapplied starts on a worker reserve there.
struct UnappliedLoad {
  std::size_t starts = 0;
  Resources used;
  std::size_t long_running_starts = 0;
  Resources long_running_used;
};

/// The starts that the leader has planned and that the state does not have yet. Plans count them as
/// made, so that the next plan need not wait until they are durable.
class UnappliedStarts {
 public:
  void Add(const Assign& start, const Job& job);
  /// Call once the state has applied or rejected the start. Does nothing for other starts.
  void Remove(const Assign& start);
  void Clear();

  std::size_t size() const { return starts_.size(); }
  /// The worker for which a start of the task is planned; null if there is none.
  const WorkerId* WorkerOf(const TaskId& task) const;
  bool Contains(const TaskId& task) const { return WorkerOf(task) != nullptr; }
  /// Number of the tasks of this step for which a start is planned.
  std::size_t CountOfStep(JobId job, std::uint32_t occurrence, std::uint32_t step) const;
  /// Returns what the planned starts reserve on the worker; nothing if there are none.
  UnappliedLoad LoadOf(const WorkerId& worker) const;
  bool HasStartOn(const WorkerId& worker) const { return by_worker_.contains(worker); }
  /// Returns what the planned starts add to the usage of the team.
  Resources UsageOf(TeamNumber team) const;
  /// Returns what the planned starts of the team's jobs reserve on workers of the service.
  Resources FootprintOf(TeamNumber team, const std::string& service) const;

 private:
  struct Start {
    std::uint32_t run = 0;
    WorkerId worker;
    Resources footprint;
    Resources size;
    TeamNumber team = 0;
    std::string service;
    bool long_running = false;
  };

  std::map<TaskId, Start> starts_;
  std::unordered_map<WorkerId, UnappliedLoad> by_worker_;
  std::unordered_map<TeamNumber, Resources> by_team_;
  std::map<std::pair<TeamNumber, std::string>, Resources> footprints_;  // by team and service
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_UNAPPLIED_STARTS_H_

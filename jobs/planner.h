#ifndef GODWITPADDLE_JOBS_PLANNER_H_
#define GODWITPADDLE_JOBS_PLANNER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/start_order.h"
#include "jobs/state.h"
#include "jobs/team_shares.h"
#include "jobs/unapplied_starts.h"

/// Chooses which waiting tasks start on which workers, from the replicated state and what the
/// leader has observed of the workers.
namespace godwitpaddle::jobs {

/// A worker that can get tasks: it sends heartbeats, answers orders and is not expected to go down.
struct UsableWorker {
  const Worker* worker = nullptr;
  bool recently_successful = false;  // its latest run that ended on its own ended as done
  std::size_t unanswered_starts = 0;
  /// Its VM is to be moved to another pool once it has no tasks and the platform takes the move. It
  /// gets long-running tasks, and others that would wait while most of the service's room is free.
  bool leaving = false;
  /// It may hold a longer lease than usual. Should it be lost for good, its tasks wait for that
  /// lease, so long-running ones rather start elsewhere.
  bool long_lease = false;
};

struct PlanInput {
  /// Returns the usable workers of a service. Called once for each service for which a task waits.
  std::function<std::vector<UsableWorker>(const std::string&)> usable_workers;
  /// Ratio of actual run times to the clients' estimates for a service; 1 if not set.
  std::function<double(const std::string&)> estimate_factor;
  std::int64_t wall_ms = 0;     // Unix time
  Micros now = 0;               // monotonic time
  std::size_t max_starts = 64;  // limit for one plan
  /// Whether workers that are not usable probably stay so for a while; if not, no step is named as
  /// unplaceable.
  bool knows_workers = true;
  /// Returns the VMs that a service is to have for tasks that are not long-running, so that the
  /// beginning of a peak does not count as a lack of room; 0 if that is not known.
  std::function<double(const std::string&)> expected_vms;
  /// Run time of a task that is away from its data or its group, as a multiple of that near; 1:
  /// tasks do not wait for a place near.
  double far_factor = 1;
};

/// How a plan chose between places near a step's data or group and others.
struct NearCounts {
  std::size_t near_starts = 0;
  std::size_t far_starts = 0;
  std::size_t waits = 0;  // tasks that began to wait for a place near
};

struct StartPlan {
  std::vector<Assign> starts;
  bool full = false;  // has as many starts as it may have; more may be possible
  NearCounts near;
  std::size_t share_starts = 0;  // starts by the teams' shares, while there was not room for all
};

/// Returns the time in milliseconds within which a job should complete after its acceptance, if
/// actual run times are `estimate_factor` times the estimates.
std::int64_t ObjectiveMs(const Job& job, double estimate_factor);

/// A waiting step whose tasks fit on no usable worker, though they would fit on an empty one:
/// either not even once the short tasks there have ended, or its job has nothing running and short
/// tasks break up the room of a service most of which is free. Its service needs more workers.
struct UnplaceableStep {
  JobId job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t tasks = 0;  // waiting ones that the limit of the team lets start together
  Micros since = 0;         // since when plans have found unplaceable steps of the service
  Micros seen = 0;          // time of the latest plan that found this one

  Micros waited() const { return seen - since; }
};

namespace detail {

/// A step of an occurrence of a job that has tasks to start, in the order of starting.
struct WaitingKey {
  StartRank rank;
  JobId job = 0;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  auto operator<=>(const WaitingKey&) const = default;
};

/// The waiting steps of one service.
struct ServiceQueue {
  std::map<WaitingKey, Resources> waiting;             // with the footprint of one task
  std::map<TeamNumber, std::set<WaitingKey>> by_team;  // 0: of jobs without a team
  /// Lags of the teams' shares, see ShareAccount, as of `lags_at`. A new leader begins without.
  std::map<TeamNumber, double> lags;
  Micros lags_at = 0;
  std::vector<TeamShare> shares;  // of the latest plan that found the service full, at `lags_at`
  /// The last plan stopped examining after this step; empty: it examined all.
  std::optional<WaitingKey> resume_after;
  /// Starts since the last one of an overdue job, by which overdue jobs get their share.
  int overdue_credit = 0;
  Micros last_overdue_start = 0;
};

/// A start of a suspect, which has its worker for itself.
struct Trial {
  TaskId task;
  std::uint32_t run = 0;
  Micros planned = 0;
};

/// A worker that gets no other tasks until it is empty and a suspect can start on it, or until a
/// task fits that has waited for long.
struct KeptWorker {
  WorkerId worker;
  Micros wanted = 0;  // time of the latest plan with a task that waited for it
};

/// A step that waits for a place near its data or its group.
struct NearWait {
  Micros since = 0;
  Micros seen = 0;  // time of the latest plan in which it waited
};
/// By the first task of the step.
using NearWaits = std::map<TaskId, NearWait>;

/// The workers that suspects (see Task::suspect) have for themselves, and those kept for tasks.
struct Isolation {
  std::map<WorkerId, Trial> trials;
  std::map<std::string, KeptWorker> kept;  // by service
};

}  // namespace detail

/// Keeps the waiting steps in the order in which they are to start. It follows the changes of the
/// state, so that the cost of a plan depends on what changed, on the starts that it makes and on
/// the workers of the services that have waiting tasks, but not on the number of waiting jobs.
class StartPlanner {
 public:
  explicit StartPlanner(const State& state) : state_(state) {}

  /// Call at the start of a term.
  void Reset();
  /// Ranks all jobs of the state anew. Call after a change of the configuration.
  void RankAll();
  /// Call after each applied command that concerns the job.
  void OnJobChanged(JobId job) { changed_.insert(job); }
  /// Call after each applied or rejected start.
  void OnStartApplied(const Assign& start) {
    unapplied_.Remove(start);
    OnJobChanged(start.task.job);
  }
  /// Returns the starts to make, by rank, but for a share that goes to jobs that have waited for
  /// long. Together with those of earlier plans that are not applied yet they respect the workers'
  /// free capacity, the teams' limits and the limits per worker. A step whose rank got worse with
  /// time is found when it is its turn; one whose rank got better because estimates changed, when
  /// all were ranked in turn.
  StartPlan Plan(const PlanInput& input);
  /// The starts of earlier plans that are not applied yet.
  const UnappliedStarts& unapplied() const { return unapplied_; }
  /// The shares of the teams in the services that the plans of the last second found full.
  std::map<std::string, std::vector<TeamShare>> ContendedShares(Micros now) const;
  /// The first unplaceable step of the latest plans, by service. Long-running steps are not among
  /// them.
  const std::map<std::string, UnplaceableStep>& unplaceable() const { return unplaceable_; }

 private:
  struct Position {
    detail::ServiceQueue* queue = nullptr;
    detail::WaitingKey key;
    TeamNumber team = 0;
  };

  void Update(JobId id, const PlanInput& input);
  void Remove(JobId id);
  /// Whether a task of the step waits, can be started, and is not planned yet.
  bool HasUnplannedTask(const Job& job, std::uint32_t occurrence, std::uint32_t step) const;
  /// Ends trials that are over and releases kept workers for which no task waits any more.
  void UpdateIsolation(Micros now);
  void UpdateUnplaceable(const std::map<std::string, UnplaceableStep>& found, Micros now);
  /// Has the plan rank the next few jobs anew, all of them in turn.
  void RankNextInTurn();

  const State& state_;
  std::map<std::string, detail::ServiceQueue> queues_;  // by service
  std::unordered_map<JobId, std::vector<Position>> positions_;
  std::set<JobId> changed_;                         // to be ranked by the next plan
  std::set<std::pair<std::int64_t, JobId>> later_;  // jobs to be ranked at this Unix time
  JobId last_in_turn_ = 0;                          // see RankNextInTurn
  UnappliedStarts unapplied_;
  detail::Isolation isolation_;
  detail::NearWaits near_waits_;
  std::map<std::string, UnplaceableStep> unplaceable_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_PLANNER_H_

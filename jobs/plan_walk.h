#ifndef GODWITPADDLE_JOBS_PLAN_WALK_H_
#define GODWITPADDLE_JOBS_PLAN_WALK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jobs/planner.h"
#include "jobs/unapplied_starts.h"

/// The walk of one plan over the waiting steps; see StartPlanner.
namespace godwitpaddle::jobs::detail {

/// The times and the priority of a job's steps, from which their ranks follow.
struct JobTimes {
  int priority = 0;
  std::int64_t objective_ms = 0;
  double factor = 1;

  JobTimes(const Job& job, const PlanInput& input);
  StartRank Rank(const Job& job, std::uint32_t occurrence, std::uint32_t step,
                 std::int64_t wall_ms) const;
};

/// Free resources of one worker, less the starts planned so far.
struct WorkerRoom {
  const Worker* worker = nullptr;
  Resources free;
  std::size_t starts = 0;              // planned, by this plan or not applied yet
  std::size_t long_running_tasks = 0;  // with those of unapplied starts
  Resources long_running_used;
  bool recently_successful = false;
  bool leaving = false;     // see UsableWorker
  bool long_lease = false;  // see UsableWorker
  bool unanswered = false;  // too many of its starts wait for an answer
  bool kept = false;        // see KeptWorker
  bool in_trial = false;    // a suspect has it for itself

  /// Whether it gets no tasks but those that join in, see PlanWalk::JoinsIn.
  bool closed() const { return unanswered || kept || in_trial; }
};

/// Free resources of the workers of one service.
struct ServiceRoom {
  std::vector<WorkerRoom> workers;
  std::optional<Resources> smallest_unplaced;  // fitted on no worker; larger requests are skipped
  /// Would fit once the short tasks of a worker have ended; smaller requests would too.
  std::optional<Resources> largest_placeable;
  int placeable_checks = 0;   // of skipped steps
  bool has_kept = false;      // a worker is kept for a task
  bool has_reserved = false;  // a worker is kept, leaves, or a suspect has it for itself
  bool low_use = false;       // at most half of each resource is in use
  Resources capacity;         // of all workers
  Resources used;             // of it, unapplied starts included
  /// Tasks of this plan that wait for a place on the rack.
  std::map<std::string, std::size_t> near_waits;

  /// Whether workers that other tasks must not use may have room for the step.
  bool HasOthersFor(const Step& step) const { return has_reserved && step.long_running; }
};

/// Resources that a team uses, including the starts planned so far.
struct TeamUsage {
  const Team* team = nullptr;  // null: no limit applies
  Resources used;
};

/// A waiting step that is examined for starts.
struct Candidate {
  const Job* job = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  const std::string* service = nullptr;
  ServiceRoom* room = nullptr;
  TeamUsage* team = nullptr;
  std::int64_t waited_ms = 0;  // since the occurrence was due
  bool joins_in = false;       // see PlanWalk::JoinsIn

  const Step& Spec() const { return job->spec.steps[step]; }
  const StepRun& Run() const { return job->At(occurrence, step); }
  TaskId Task(std::uint32_t index) const { return {job->id, occurrence, step, index}; }
};

/// One plan: walks over the waiting steps of all services by their ranks.
class PlanWalk {
 public:
  using RankAnew = std::function<void(JobId)>;

  PlanWalk(const State& state, const PlanInput& input, const UnappliedStarts& unapplied,
           Isolation& isolation, NearWaits& near_waits, RankAnew rank_anew)
      : state_(state),
        input_(input),
        unapplied_(unapplied),
        isolation_(isolation),
        near_waits_(near_waits),
        rank_anew_(std::move(rank_anew)) {}

  void Add(const std::string& service, ServiceQueue& queue);
  std::vector<Assign> Run();
  /// The first unplaceable step of each service.
  std::map<std::string, UnplaceableStep> TakeUnplaceable() { return std::move(unplaceable_); }
  /// Whether the plan ended because it had as many starts as it may have.
  bool full() const { return full_; }
  const NearCounts& near_counts() const { return near_counts_; }
  std::size_t share_starts() const { return share_starts_; }

 private:
  /// The next step to examine of one service.
  struct Cursor {
    const std::string* service = nullptr;
    ServiceQueue* queue = nullptr;
    WaitingKey key;
    int futile = 0;        // see kMaxFutileExaminations
    bool skipped = false;  // went on after the step at which the last plan had stopped
  };

  bool Advance(Cursor& cursor);
  void Examine(Cursor& cursor);
  /// Starts the steps of the service that have waited for long, as far as their share goes.
  void StartOverdue(const Cursor& of_service);

  /// A team that has steps waiting.
  struct TeamTurn {
    TeamShare share;
    std::optional<WaitingKey> last;  // the last step that was examined
    int misses = 0;                  // examined steps that found no room
  };
  /// If teams crowd the others, starts the steps that can be in time in the usual order, but for
  /// those that the crowding teams have beyond their shares.
  void StartWithinShares(const Cursor& of_service);
  /// Returns the teams that have steps waiting, jobs without a team included; nothing if there is
  /// room for all or no team crowds the others.
  std::vector<TeamTurn> DivideAmongTeams(const Cursor& of_service);
  /// Returns the team with the next step to start; null if none is left. Sets `key` to the step.
  static TeamTurn* NextTurn(const ServiceQueue& queue, std::vector<TeamTurn>& turns,
                            WaitingKey& key);
  /// Examines the step. Returns what the starts that this led to reserve.
  Resources ExamineForShare(const Cursor& of_service, const WaitingKey& key);
  Candidate MakeCandidate(const Cursor& cursor, const Job& job);
  ServiceRoom& RoomOf(const std::string& service);
  TeamUsage* TeamOf(const Job& job);
  void Place(const Candidate& candidate);
  void PlaceGang(const Candidate& candidate);
  /// Plans the starts of all tasks of the gang, on workers of the rack if it is not empty. Returns
  /// false if they do not all have room.
  bool PlaceGangOn(const Candidate& candidate, const std::string& rack);
  /// Whether the task has a worker for itself, if one can be found.
  bool StartsAlone(const Candidate& candidate, const Task& task) const;
  /// Plans the start of a suspect on an empty worker, or keeps a worker for it.
  void PlaceAlone(const Candidate& candidate, std::uint32_t index,
                  std::map<WorkerId, std::uint32_t>& per_worker);
  void KeepWorker(const Candidate& candidate);
  /// Whether the candidate may also use a worker that a suspect has for itself, or that is kept, if
  /// no other has room: it is long-running, and a task of it has waited.
  bool JoinsIn(const Candidate& candidate) const;
  /// Whether the worker may get tasks of the candidate that are not suspects.
  static bool IsOpenFor(const Candidate& candidate, const WorkerRoom& room);
  /// Returns the best worker for a task, of the rack if `rack` is not empty; null if none has room.
  WorkerRoom* ChooseWorker(const Candidate& candidate,
                           const std::map<WorkerId, std::uint32_t>& per_worker, bool last_attempt,
                           const std::string& rack);

  /// Returns the rack on which the step's tasks run faster: that of their data, or that of their
  /// group; empty if any will do.
  std::string NearRack(const Candidate& candidate) const;
  /// Returns the rack of the step's running tasks, or else the one with the most places for it;
  /// empty if its tasks run on several racks already.
  std::string GroupRack(const Candidate& candidate) const;
  /// Whether the next task of the step waits for a place on the rack, which has none now.
  bool WaitsForRack(const Candidate& candidate, const std::string& rack);
  void AddStart(const Candidate& candidate, std::uint32_t index, std::uint32_t run,
                WorkerRoom& room);
  std::map<WorkerId, std::uint32_t> CountPerWorker(const Candidate& candidate) const;
  /// Notes the step, none of whose tasks found room, if it is unplaceable.
  void CheckPlaceable(const Candidate& candidate);
  /// Whether the step would fit beside the long-running tasks alone.
  static bool FitsBesideLongRunning(const Candidate& candidate);
  /// Number of the step's waiting tasks that the limit of the team allows.
  std::uint32_t CountWithinLimit(const Candidate& candidate) const;

  const State& state_;
  const PlanInput& input_;
  const UnappliedStarts& unapplied_;
  Isolation& isolation_;
  NearWaits& near_waits_;
  const RankAnew rank_anew_;
  std::vector<Cursor> cursors_;
  std::unordered_map<std::string_view, ServiceRoom> rooms_;  // by service
  std::unordered_map<const KnownTeam*, TeamUsage> teams_;
  std::vector<Assign> starts_;
  std::set<WaitingKey> started_;  // steps of which this plan has starts out of their order
  std::map<std::string, UnplaceableStep> unplaceable_;
  int max_futile_ = 0;       // for each service
  bool scanned_ = false;     // the last examination compared the room of all workers
  bool waits_near_ = false;  // a task of the last examined step waits for a place near
  NearCounts near_counts_;
  std::size_t share_starts_ = 0;
  bool full_ = false;
};

}  // namespace godwitpaddle::jobs::detail

#endif  // GODWITPADDLE_JOBS_PLAN_WALK_H_

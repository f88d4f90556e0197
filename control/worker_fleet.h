#ifndef GODWITPADDLE_CONTROL_WORKER_FLEET_H_
#define GODWITPADDLE_CONTROL_WORKER_FLEET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/events.h"
#include "control/unbegun_jobs.h"
#include "jobs/planner.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct FleetOptions {
  std::int64_t lease_ms = 4'000;           // covers all runs on a worker; each renewal extends it
  std::int64_t longest_lease_ms = 10'000;  // workers shorten longer leases to this
  std::int64_t heartbeat_ms = 1'500;       // period of the workers' heartbeats
  std::int64_t stop_ms = 1'000;            // a run has ended this long after its stop was answered
};

/// What keeps a worker from getting tasks.
enum class WorkerObstacle : std::uint8_t {
  kNone,
  kDraining,      // it says so
  kExpectedDown,  // it left, or its VM was taken down or has another worker
  kSilent,        // its last order, or its latest heartbeats, are missing
  kUnconfirmed,   // its run lists have not arrived since its incarnation was last in doubt
  kBackoff,       // it refused or failed runs shortly before
  kCordoned,      // its VM is to be moved or maintained
  kEvacuated,     // nothing else, but its availability zone is evacuated
};
inline constexpr EnumNames<8> kWorkerObstacleNames = {"none",     "draining",    "expected_down",
                                                      "silent",   "unconfirmed", "backoff",
                                                      "cordoned", "evacuated"};

/// A task that the state has assigned to a worker in another run than the leader knows there.
struct RunMismatch {
  WorkerId worker;
  TaskId task;
  std::uint32_t assigned_run = 0;  // in the state; 0: not assigned to the worker
  std::uint32_t known_run = 0;     // to the leader; 0: none
};

/// A worker of a service, usable or not.
struct ObservedWorker {
  const Worker* worker = nullptr;
  WorkerObstacle obstacle = WorkerObstacle::kNone;
};

/// The leader's control of the workers: starts and stops runs, renews leases, and tracks the state
/// of each run.
///
/// The leader treats a run as running until one of these proves that it is not: the worker listed
/// its end; the worker answered a stop and a later run list lacks the run; the latest lease end
/// that any call carried has passed on the worker's clock; another incarnation answers at the
/// worker's id or address; a newer worker reports from the same VM. A leave call from the worker,
/// or the platform's answer that the VM was taken down, only makes the end likely, since either may
/// refer to an earlier incarnation or an earlier order.
class WorkerFleet {
 public:
  using Propose = std::function<void(Command)>;

  WorkerFleet(FleetOptions options, const State& state, Propose propose)
      : options_(options), state_(state), propose_(std::move(propose)), unbegun_jobs_(state) {}

  /// Begins a term of this node as leader. `fencing_token` must exceed those of all earlier
  /// leaders.
  void BeginTerm(std::uint64_t fencing_token, Micros now, WallMs wall);
  void EndTerm();

  /// Returns false if the heartbeat was ignored because it is older than what the leader knows.
  bool OnHeartbeat(const HeartbeatCall& call, Micros now);
  /// Marks the worker as expected to go down: it gets no tasks, and its lease is not extended,
  /// until it answers a RenewLeaseOrder sent after `now`.
  void ExpectWorkerDown(const WorkerId& worker, Micros now);
  /// Handles a command that was applied to the state.
  void OnApplied(const Command& command, ApplyOutcome outcome, Micros now, WallMs wall,
                 Outbox& out);
  void OnReply(const OrderEvent& event, Micros now, WallMs wall, Outbox& out);
  void Tick(Micros now, WallMs wall, Outbox& out);

  /// Orders the worker to stop the task's current run, which counts as running until its end is
  /// proven. Does nothing if the task has no run or its stop was already ordered.
  void Stop(const TaskId& task, Micros now, Outbox& out);

  /// Marks the workers of the VM, which was probably taken down, as expected to go down: they get
  /// no tasks, and their leases are not extended, until they answer a RenewLeaseOrder sent after
  /// `now`.
  void ExpectVmDown(const VmId& vm, Micros now, Outbox& out);

  /// Returns the workers that may get tasks: by service, and in the order of their ids.
  std::vector<UsableWorker> UsableWorkers(Micros now) const;
  /// Returns the workers of the service that may get tasks, in the order of their ids.
  std::vector<UsableWorker> UsableWorkers(const std::string& service, Micros now) const;
  /// Returns all workers of the service, in the order of their ids. The fleet does not know which
  /// VMs are cordoned.
  std::vector<ObservedWorker> WorkersOf(const std::string& service, Micros now) const;
  /// Returns a worker of the service, usable or not; null if there is none.
  const Worker* AnyWorkerOf(const std::string& service) const;
  /// Whether the worker last reported that a long-running task runs at full speed. False if the
  /// worker does not answer or is expected to go down.
  bool RunsAtFullSpeed(const TaskId& task) const;
  /// Returns the time since the leader first learned that the run had started on the worker;
  /// nothing if it has not learned so.
  std::optional<Micros> RunTime(const WorkerId& worker, const TaskId& task, std::uint32_t run,
                                Micros now) const;
  /// The jobs with assigned tasks of which no worker is known to have begun one.
  const UnbegunJobs& unbegun_jobs() const { return unbegun_jobs_; }
  /// Number of start orders that have not been answered yet.
  std::size_t StartsInFlight() const { return starts_in_flight_; }
  /// Whether this term is old enough, or most workers have answered, so that a worker that is not
  /// usable probably stays so for a while. Stays true for the term.
  bool KnowsWorkers(Micros now);
  /// Returns the differences between the runs that the state has on the next few workers and those
  /// that the leader knows there. After some calls all workers have been compared.
  std::vector<RunMismatch> CompareNextRuns();
  /// Whether the worker sent a leave call or its VM was taken down, and it has not answered a
  /// RenewLeaseOrder sent since. Also true once another worker has replaced it.
  bool IsExpectedDown(const WorkerId& worker) const;
  /// Whether the worker may get tasks.
  bool IsUsable(const WorkerId& worker, Micros now) const;
  /// Whether the worker has answered an order that was sent after `time`.
  bool AnsweredSince(const WorkerId& worker, Micros time) const;

 private:
  enum class RunPhase : std::uint8_t {
    kInherited,  // assigned by an earlier leader; this leader has not seen it in a run list yet
    kStarting,   // its start has not been answered yet
    kRunning,
  };

  /// Reason for which the leader concludes that a run is not running although its worker listed no
  /// end.
  enum class Conclusion : std::uint8_t {
    kRefused,       // the only copy of its start was refused or not delivered
    kNeverSent,     // the run was assigned, but its start was not sent or not carried out
    kStopped,       // the worker answered a stop, and a later run list lacks the run
    kUnlisted,      // the run had started, and a later run list lacks it
    kLeaseExpired,  // every lease of the worker has expired
    kReplaced,      // another worker answers at the worker's address
    kSuperseded,    // a newer worker of the worker's VM has answered an order
  };
  static constexpr EnumNames<7> kConclusionNames = {"refused", "never_sent", "stopped",  "unlisted",
                                                    "lapsed",  "replaced",   "succeeded"};
  static constexpr std::array<EndKind, 7> kConclusionEnds = {
      EndKind::kRefused, EndKind::kRefused, EndKind::kStopped, EndKind::kLost,
      EndKind::kLost,    EndKind::kLost,    EndKind::kLost};

  /// Whether starts often end for this reason without any failure of the worker.
  static bool IsRoutine(Conclusion conclusion) {
    return conclusion == Conclusion::kRefused || conclusion == Conclusion::kNeverSent;
  }

  struct Run {
    std::uint32_t run = 0;
    RunPhase phase = RunPhase::kInherited;
    Micros started_at = 0;      // when its start was answered or it was first listed; 0: neither
    int start_sends = 0;        // copies of the start order that were sent
    int unanswered_starts = 0;  // copies without an answer; the worker may still carry them out
    bool start_in_flight = false;
    Micros start_due = 0;  // earliest time of the next copy of the start order
    bool stop_wanted = false;
    bool stop_in_flight = false;
    Micros stop_due = 0;  // earliest time of the next stop order
    std::optional<Micros> stop_answered_at;
    bool begun = false;      // the worker answered the start or listed the run
    bool suspect = false;    // a long-running task that may have crashed a worker before
    bool inherited = false;  // an earlier leader started it
    /// Set once another incarnation has followed the one that runs it: see WorkerView::alive_at.
    Micros alive_until = 0;
    bool end_proposed = false;
    std::uint32_t speed_percent = 0;
    std::int64_t load_metric = 0;
  };

  struct WorkerView {
    const Worker* known = nullptr;  // the worker's entry in the state
    std::string service;            // under which `by_service_` lists the worker
    std::uint64_t number = 0;       // in the order in which the leader learned of the workers
    Micros next_tick = kNever;      // its entry in `schedule_`; kNever: none
    std::int64_t incarnation = 0;   // incarnation_ms of the worker; 0: not known yet
    std::uint64_t sequence = 0;     // of the newest heartbeat
    bool has_clock = false;
    std::int64_t clock_ms = 0;      // the worker's clock showed at least this at `clock_at`
    Micros clock_at = 0;            // on the leader's clock
    std::int64_t lease_end_ms = 0;  // latest end that any call of this term carried, worker's clock
    Micros leases_expire_by = 0;    // every lease has expired after this, on the leader's clock
    /// Longest lease that the worker may hold before its clock is known: from an earlier leader, or
    /// from an order for an earlier incarnation.
    std::int64_t assumed_lease_ms = 0;
    bool lists_received = false;        // the worker sent its run lists in this term
    Micros last_answered_order_at = 0;  // send time of the newest order that was answered
    Micros alive_at = 0;                // of the newest one that this incarnation answered
    bool expected_down = false;         // see ExpectWorkerDown and ExpectVmDown
    Micros expected_down_at = 0;        // time of the newest report that it goes down
    Micros expected_down_since = 0;     // time of the first such report
    bool replaced = false;              // another worker has its VM or its address
    Micros restart_seen_at = 0;         // see OnRestartSeen; 0: no restart was seen
    bool suspect = false;               // the last order was not sent or not answered
    bool confirmed = false;             // run lists arrived since the incarnation was last in doubt
    bool renewal_in_flight = false;
    bool touched = false;              // listed in `touched_`
    bool recently_successful = false;  // its last run that ended as done or failed was done
    Micros next_renewal_at = 0;        // earliest time of the next lease renewal
    Micros renewal_sent_at = 0;
    Micros last_heard = 0;
    Micros backoff_until = 0;             // the worker gets no new tasks before this time
    int consecutive_failures = 0;         // runs that failed since the last one that ended as done
    std::uint32_t unanswered_starts = 0;  // start orders without an answer yet
    std::uint64_t proposed_ends = 0;      // the ends up to this number were proposed for the log
    /// The worker has answered a renewal that acknowledged its ends up to this number.
    std::uint64_t acknowledgement_delivered = 0;
    /// Connection on which this incarnation sent its run lists; 0: none that is known to be open.
    ConnectionId list_connection = 0;
    std::map<TaskId, Run> runs;
    /// No run needs a start or a stop before this time; 0 after each event that concerns the
    /// worker.
    Micros runs_due = 0;
    /// Earliest time of the next stop of each orphan run, which the worker lists but the state does
    /// not know.
    std::map<std::pair<TaskId, std::uint32_t>, Micros> orphan_stop_at;
  };

  enum class OrderKind : std::uint8_t { kStart, kStop, kRenewLease };

  struct SentOrder {
    WorkerId worker;
    std::string address;
    std::int64_t incarnation = 0;
    OrderKind kind = OrderKind::kRenewLease;
    TaskId task;                          // of a start or a stop
    std::uint32_t run = 0;                // of a start or a stop
    std::uint64_t acknowledged_ends = 0;  // of a lease renewal
    ConnectionId newest_connection = 0;   // see OrderEffect
    Micros sent_at = 0;
  };

  /// Returns the worker's view, null if there is none, and has the next Tick examine the worker:
  /// the caller may change the view.
  WorkerView* FindView(const WorkerId& worker);
  /// Adds the view of a worker that is in the state, or updates its service.
  WorkerView& AddView(const WorkerId& worker);
  void RemoveView(const WorkerId& worker);
  void ClearViews();
  /// Has the next Tick examine the worker.
  void Touch(WorkerView& view);
  /// Has the first Tick at or after `time` examine the worker, or an earlier one.
  void Schedule(WorkerView& view, Micros time);
  /// Returns the views that are to be examined now: those that events concerned, then those whose
  /// time has come.
  std::vector<WorkerView*> TakeDue(Micros now);
  /// Returns the time at which the worker has to be examined if no event concerns it before.
  Micros NextTick(const WorkerView& view, Micros now) const;
  WorkerObstacle ObstacleOf(const WorkerView& view, Micros now) const;
  /// Returns what keeps the worker from getting tasks, apart from an evacuation of its zone.
  WorkerObstacle OwnObstacleOf(const WorkerView& view, Micros now) const;
  /// Whether runs may be started on the worker, as far as its phase and its zone are concerned.
  bool AcceptsStarts(const WorkerRecord& record) const {
    return record.phase == WorkerPhase::kReady && !state_.IsEvacuated(record.zone);
  }
  void OnZoneOrder(const ZoneOrder& order);
  bool IsUsable(const WorkerView& view, Micros now) const {
    return ObstacleOf(view, now) == WorkerObstacle::kNone;
  }
  /// Concludes that the older workers on the VM of `newest`, which has answered an order, and all
  /// their runs have ended: a VM has one worker at a time.
  void ConcludeOlderWorkers(const WorkerRecord& newest, WallMs wall, Outbox& out);
  /// Whether the worker that `next` follows, under its id or on its VM, had left or was probably
  /// taken down by an order.
  bool IsPlannedEnd(const WorkerRecord& next) const;
  static void MarkReplaced(WorkerView& view);
  /// Whether a newer worker on the same VM has answered an order of this term and is not expected
  /// to go down.
  bool HasSuccessor(const WorkerRecord& record) const;
  /// Resets the view to a new incarnation of the worker, about which nothing is known yet.
  void ResetIncarnation(WorkerView& view, const WorkerRecord& record, Micros now);
  /// Orders a stop of every run whose start has unanswered copies. The answers of the previous
  /// incarnation do not bind the new one, which may carry out an unanswered start until it has
  /// answered a stop of that run.
  static void StopUnansweredStarts(WorkerView& view);
  /// Records that the worker's clock showed `clock_ms`, unless that value was delayed in transit.
  void RecordClock(WorkerView& view, std::int64_t clock_ms, Micros now) const;
  /// Returns a lower bound, in milliseconds, of the worker's clock at `time`.
  static std::int64_t MinClockAt(const WorkerView& view, Micros time);
  /// Whether the reply came from an incarnation other than the one that the view describes.
  static bool IsFromOtherIncarnation(const SentOrder& sent, const WorkerView& view,
                                     const OrderReply& reply);
  /// Handles an answer of another incarnation than the view describes: it may have carried out an
  /// order for that one, whose clock showed more, and hold the longest lease.
  void OnRestartSeen(const SentOrder& sent, WorkerView& view, const OrderReply& reply, Micros now,
                     WallMs wall, Outbox& out);
  /// Returns the time by which a lease has expired that a worker got by this time, whatever the
  /// order says.
  Micros LongestLeaseExpiry(Micros time) const;
  void SetLeaseExpiry(WorkerView& view) const;
  /// Whether the worker may hold a lease that ends later than one that is given now would.
  bool HasLongLease(const WorkerView& view, Micros now) const;
  /// Returns what the worker's clock shows now, in milliseconds, if it runs at the leader's rate.
  std::int64_t EstimateClock(const WorkerView& view, Micros now) const;
  /// Extends the worker's lease to at least `lease_ms` from now and returns that end on the
  /// worker's clock. What the worker may hold besides, see assumed_lease_ms, is not given to it:
  /// the next leader would not know of it.
  std::int64_t ExtendLease(WorkerView& view, std::int64_t lease_ms, Micros now) const;
  void SendOrder(SentOrder sent, Order order, std::int64_t timeout_ms, Outbox& out);
  void SendStart(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run, Micros now,
                 Outbox& out);
  void SendStop(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run, Micros now,
                Outbox& out);
  void SendStopOrder(const WorkerId& worker, const WorkerView& view, const TaskId& task,
                     std::uint32_t run, Micros now, Outbox& out);
  void SendLeaseRenewal(const WorkerId& worker, WorkerView& view, Micros now, Outbox& out);
  /// Handles an answer to a start or a stop by another incarnation: the order is repeated, if it is
  /// still wanted, once the incarnation is known.
  void OnOtherIncarnationReply(const SentOrder& sent, WorkerView& view, Micros now);
  /// Returns the pause between two lease renewals of a busy worker.
  Micros RenewalPause() const;
  void CountRenewal(Micros now);
  void OnStartReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply, Micros now,
                    WallMs wall, Outbox& out);
  void OnStopReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply, Micros now);
  void OnLeaseRenewalReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                           Micros now, WallMs wall, Outbox& out);
  void ProposeListedEnds(const WorkerId& worker, WorkerView& view, const OrderReply& reply,
                         WallMs wall, Outbox& out);
  void UpdateListedRuns(const WorkerId& worker, WorkerView& view, const OrderReply& reply,
                        Micros now, Outbox& out);
  /// Concludes the runs that the run lists in the reply prove to have ended or never started.
  void ConcludeUnlisted(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                        WallMs wall, Outbox& out);
  /// Whether the state has the task assigned to this worker in this run. Not so if the end of
  /// another task of its gang has ended the run: its job may keep no details then.
  bool IsCurrent(const WorkerId& worker, const TaskId& task, std::uint32_t run) const;
  /// Whether an inherited run that its worker does not list had started there.
  bool HadStartedBefore(const WorkerId& worker, const TaskId& task, const Run& run) const;
  /// Proposes the run's end, which the worker did not list, with the given reason.
  void Conclude(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run,
                Conclusion conclusion, WallMs wall, Outbox& out);
  /// Records that the worker has begun the run.
  void SetBegun(const TaskId& task, Run& run);
  /// Returns how long the run is known to have gone on.
  static Micros KnownRunTime(const WorkerView& view, const Run& run);
  bool IsLongRunning(const TaskId& task) const;
  /// Whether the long-running task had worked for a while when the worker was last heard.
  bool HadWorked(const WorkerView& view, const TaskId& task, const Run& run) const;
  /// Appends the differences for one worker.
  void CompareRuns(const WorkerId& worker, const WorkerView& view,
                   std::vector<RunMismatch>& mismatches) const;
  void ConcludeAll(const WorkerId& worker, WorkerView& view, Conclusion conclusion, WallMs wall,
                   Outbox& out);
  void TickWorker(WorkerView& view, Micros now, WallMs wall, Outbox& out);
  static bool IsRemovable(const WorkerView& view, Micros now);
  /// Whether a lease renewal is to be sent once its time has come.
  static bool WantsRenewal(const WorkerView& view);
  /// Sends the starts and stops that are due.
  void TickRuns(const WorkerId& worker, WorkerView& view, Micros now, Outbox& out);
  /// Returns the time of the run's next start or stop; kNever if it only waits for the worker.
  static Micros NextSend(const WorkerView& view, const Run& run);
  /// Counts the failures of the worker's runs. That of a long-running task which had worked says
  /// nothing about the worker: it may fail at any time.
  void CountEnd(WorkerView& view, const TaskId& task, const Run& run, EndKind kind, Micros now);
  /// Stops the current runs of those tasks in the step of `id` that an earlier run has completed.
  void StopCompletedTasks(const TaskId& id, Micros now, Outbox& out);
  static void LogIncarnation(const WorkerRecord& record, const WorkerView& previous, Outbox& out);
  void LogRemovedWorker(const RemoveWorker& removal, Outbox& out) const;
  /// Logs the end of a run that is not the task's current run, with the state of the task.
  void LogEarlierRunEnd(const WorkerId& worker, const EndedRun& end, Outbox& out) const;

  FleetOptions options_;
  const State& state_;
  Propose propose_;
  UnbegunJobs unbegun_jobs_;
  std::uint64_t fencing_token_ = 0;  // 0: not leading
  Micros term_began_ = 0;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, SentOrder> sent_orders_;  // not answered yet, by token
  std::size_t starts_in_flight_ = 0;
  bool knows_workers_ = false;          // see KnowsWorkers
  WorkerId last_compared_;              // see CompareNextRuns
  Micros renewals_since_ = 0;           // start of the present second of counting
  std::int64_t renewals_ = 0;           // sent since then
  std::int64_t renewals_a_second_ = 0;  // in the last complete second
  std::map<WorkerId, WorkerView> views_;
  std::uint64_t last_view_ = 0;  // see WorkerView::number
  /// The views by the time of their next examination. Views of the same time are in the order of
  /// their numbers.
  std::map<std::pair<Micros, std::uint64_t>, WorkerView*> schedule_;
  std::vector<WorkerView*> touched_;
  std::map<std::string, std::map<WorkerId, WorkerView*>> by_service_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_WORKER_FLEET_H_

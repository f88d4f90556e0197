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
#include "jobs/planner.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct FleetOptions {
  std::int64_t lease_ms = 4'000;           // of everything on a worker, renewed by each hold
  std::int64_t longest_lease_ms = 10'000;  // a worker shortens longer ones to this
  std::int64_t heartbeat_ms = 1'500;       // period of the workers' reports
  std::int64_t stop_ms = 1'000;            // a stopped run is gone after this
};

/// The leader's dealings with the workers: starts, stops, leases, and what is known of each run.
///
/// A run counts as running until one of these shows that it is not: its end was listed; the worker
/// answered a stop and a later list lacks it; the lease end that every call carried has passed on
/// the worker's clock; another incarnation answers at the worker's id or address; a newer worker
/// reports from its VM. A farewell, or the platform's word that the VM was taken down, only makes
/// it likely: they may be about an incarnation or an order of before.
class WorkerFleet {
 public:
  using Propose = std::function<void(Command)>;

  WorkerFleet(FleetOptions options, const State& state, Propose propose)
      : options_(options), state_(state), propose_(std::move(propose)) {}

  /// This node leads from now on, with `fencing_token` above those of all earlier leaders.
  void BeginTerm(std::uint64_t fencing_token, Micros now, WallMs wall);
  void EndTerm();

  /// Returns false when the report is older than what is known and was ignored.
  bool OnHeartbeat(const HeartbeatCall& call, Micros now, WallMs wall, Outbox& out);
  void ExpectWorkerDown(const WorkerId& worker, Micros now);
  /// A command took effect.
  void OnApplied(const Command& command, ApplyOutcome outcome, Micros now, WallMs wall,
                 Outbox& out);
  void OnReply(const OrderEvent& event, Micros now, WallMs wall, Outbox& out);
  void Tick(Micros now, WallMs wall, Outbox& out);

  /// Ends the run early; it counts as running until that is certain.
  void Stop(const TaskId& task, Micros now, Outbox& out);

  /// The VM was probably taken down: its workers get no tasks and no longer lease until they answer
  /// an order given after this.
  void ExpectVmDown(const VmId& vm, Micros now, Outbox& out);

  /// Workers that may get tasks.
  std::vector<UsableWorker> UsableWorkers(Micros now) const;
  /// Whether a lasting task works at full speed, as far as the worker has said.
  bool RunsAtFullSpeed(const TaskId& task) const;
  /// How long the run has been going, as far as its start was seen.
  std::optional<Micros> RunTime(const TaskId& task, std::uint32_t run, Micros now) const;
  /// Starts that are not answered yet.
  std::size_t StartsInFlight() const { return starts_in_flight_; }
  /// Whether the worker has left or its VM was taken down, as far as it has not answered since.
  bool IsExpectedDown(const WorkerId& worker) const;
  bool IsUsable(const WorkerId& worker, Micros now) const;
  /// Whether the worker has answered an order that was given after this time.
  bool AnsweredSince(const WorkerId& worker, Micros time) const;

 private:
  enum class RunPhase : std::uint8_t {
    kInherited,  // of an earlier leader; not seen in a list yet
    kStarting,   // the start is not answered yet
    kRunning,
  };

  /// Why a run is certain not to be running though its worker listed no end.
  enum class Conclusion : std::uint8_t {
    kRefused,       // the worker said that it has not started it
    kNeverSent,     // it was assigned, and its start was not sent or was not carried out
    kStopped,       // a stop was answered, and a later list lacks it
    kUnlisted,      // it was there, and a later list lacks it
    kLeaseExpired,  // every lease has run out
    kReplaced,      // another worker has its address
    kSuperseded,    // a newer worker reports from its VM
  };
  static constexpr EnumNames<7> kConclusionNames = {"refused", "never_sent", "stopped",  "unlisted",
                                                    "lapsed",  "replaced",   "succeeded"};
  static constexpr std::array<EndKind, 7> kConclusionEnds = {
      EndKind::kRefused, EndKind::kRefused, EndKind::kStopped, EndKind::kLost,
      EndKind::kLost,    EndKind::kLost,    EndKind::kLost};

  /// Whether starts end so all the time, without a failure of the worker.
  static bool IsRoutine(Conclusion conclusion) {
    return conclusion == Conclusion::kRefused || conclusion == Conclusion::kNeverSent;
  }

  struct Run {
    std::uint32_t run = 0;
    RunPhase phase = RunPhase::kInherited;
    Micros started_at = 0;         // when it was answered or listed first
    int start_sends = 0;           // of the start
    int unanswered_starts = 0;     // of these, so that they may still be carried out
    bool start_in_flight = false;  // a start is under way
    Micros start_resend_at = 0;
    bool stop_wanted = false;
    bool stop_in_flight = false;
    Micros stop_resend_at = 0;
    std::optional<Micros> stop_answered_at;
    bool end_proposed = false;
    std::uint32_t percent = 0;
    std::int64_t load_metric = 0;
  };

  struct WorkerView {
    std::int64_t incarnation_ms = 0;
    std::uint64_t sequence = 0;  // of the newest report
    bool has_clock = false;
    std::int64_t clock_ms = 0;          // the worker's clock was at least this
    Micros clock_at = 0;                // at this time
    std::int64_t lease_end_ms = 0;      // latest that any call of this term carried
    Micros leases_expire_by = 0;        // every lease has run out by then
    std::int64_t assumed_lease_ms = 0;  // it may hold one from before its clock was known
    bool lists_received = false;        // its lists were read in this term
    Micros last_answered_order_at = 0;  // when the newest order that was answered was given
    bool expected_down = false;         // probably gone, see ExpectVmDown
    Micros expected_down_at = 0;        // when that was said last
    Micros expected_down_since = 0;
    bool replaced = false;   // another worker has its VM or its address
    bool suspect = false;    // the last order was not answered
    bool confirmed = false;  // a list since then came from this incarnation
    bool renewal_in_flight = false;
    Micros next_renewal_at = 0;  // the next one is due
    Micros renewal_sent_at = 0;
    Micros last_heard = 0;
    Micros backoff_until = 0;      // no new starts before
    int consecutive_failures = 0;  // runs that failed since the last one that was done
    bool recently_successful = false;
    std::uint64_t proposed_ends = 0;  // ends up to this one are proposed
    std::uint64_t acknowledgement_delivered =
        0;  // the worker was told to forget ends up to this one
    std::map<TaskId, Run> runs;
    std::map<std::pair<TaskId, std::uint32_t>, Micros>
        orphan_stop_at;  // stops of runs that are not ours
  };

  enum class OrderKind : std::uint8_t { kStart, kStop, kRenewLease };

  struct SentOrder {
    WorkerId worker;
    std::string address;
    std::int64_t incarnation_ms = 0;
    OrderKind kind = OrderKind::kRenewLease;
    TaskId task;                          // of a start or a stop
    std::uint32_t run = 0;                // of a start or a stop
    std::uint64_t acknowledged_ends = 0;  // of a hold
    Micros sent_at = 0;
  };

  WorkerView* FindView(const WorkerId& worker);
  bool IsUsable(const WorkerView& view, const Worker& known, Micros now) const;
  void ConcludeOlderWorkers(const WorkerRecord& newest, WallMs wall, Outbox& out);
  static void MarkReplaced(WorkerView& view);
  /// Whether a worker that is there, as far as is known, is newer than this one on its VM.
  bool HasSuccessor(const WorkerRecord& record) const;
  void ResetIncarnation(WorkerView& view, const WorkerRecord& record, Micros now);
  static void StopUnansweredStarts(WorkerView& view);
  void RecordClock(WorkerView& view, std::int64_t clock_ms, Micros now);
  /// The worker's clock showed at least this at that time.
  static std::int64_t MinClockAt(const WorkerView& view, Micros time);
  /// Whether another incarnation than the one known has answered an order.
  static bool IsFromOtherIncarnation(const SentOrder& sent, const WorkerView& view,
                                     const OrderReply& reply);
  std::int64_t EstimateClock(const WorkerView& view, Micros now) const;
  std::int64_t ExtendLease(WorkerView& view, std::int64_t lease_ms, Micros now) const;
  void SendOrder(SentOrder sent, Order order, std::int64_t timeout_ms, Outbox& out);
  void SendStart(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run, Micros now,
                 Outbox& out);
  void SendStop(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run, Micros now,
                Outbox& out);
  void SendStopOrder(const WorkerId& worker, const WorkerView& view, const TaskId& task,
                     std::uint32_t run, Micros now, Outbox& out);
  void SendLeaseRenewal(const WorkerId& worker, WorkerView& view, Micros now, Outbox& out);
  void OnOtherIncarnationReply(const SentOrder& sent, WorkerView& view, Micros now);
  void OnStartReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply, Micros now,
                    WallMs wall, Outbox& out);
  void OnStopReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply, Micros now);
  void OnLeaseRenewalReply(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                           Micros now, WallMs wall, Outbox& out);
  void ProposeListedEnds(const WorkerId& worker, WorkerView& view, const OrderReply& reply,
                         WallMs wall, Outbox& out);
  void UpdateListedRuns(const WorkerId& worker, WorkerView& view, const OrderReply& reply,
                        Micros now, Outbox& out);
  void ConcludeUnlisted(const SentOrder& sent, WorkerView& view, const OrderReply& reply,
                        WallMs wall, Outbox& out);
  void Conclude(const WorkerId& worker, WorkerView& view, const TaskId& task, Run& run,
                Conclusion conclusion, WallMs wall, Outbox& out);
  void ConcludeAll(const WorkerId& worker, WorkerView& view, Conclusion conclusion, WallMs wall,
                   Outbox& out);
  void TickWorker(const WorkerId& worker, WorkerView& view, const Worker& known, Micros now,
                  WallMs wall, Outbox& out);
  void TickRuns(const WorkerId& worker, WorkerView& view, bool ready, Micros now, Outbox& out);
  void CountEnd(WorkerView& view, EndKind how, Micros now);
  /// Stops runs of the step whose tasks a former run has settled.
  void StopCompletedTasks(const TaskId& id, Micros now, Outbox& out);
  static void LogIncarnation(const WorkerRecord& record, const WorkerView& previous, Outbox& out);
  void LogForgotten(const RemoveWorker& forget, Outbox& out) const;
  /// An end that is not the one of the run which the task has now: what the task is at then.
  void LogEarlierRunEnd(const WorkerId& worker, const EndedRun& end, Outbox& out) const;

  FleetOptions options_;
  const State& state_;
  Propose propose_;
  std::uint64_t fencing_token_ = 0;  // 0: not leading
  Micros term_began_ = 0;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, SentOrder> sent_orders_;
  std::size_t starts_in_flight_ = 0;
  std::map<WorkerId, WorkerView> views_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_WORKER_FLEET_H_

#ifndef GODWITPADDLE_CONTROL_LEADER_H_
#define GODWITPADDLE_CONTROL_LEADER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "control/events.h"
#include "control/maintenance.h"
#include "control/plan_pace.h"
#include "control/pool_scaler.h"
#include "control/vm_orders.h"
#include "control/wait_report.h"
#include "control/worker_fleet.h"
#include "control/zone_drain.h"
#include "jobs/planner.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct LeaderOptions {
  std::string node;
  /// Clock for the metrics of the times of sections ("section_NAME_us"); null: not measured. No
  /// decision depends on it.
  std::function<Micros()> section_clock;
  FleetOptions fleet;
  VmOrdersOptions vm_orders;
  MaintenanceOptions maintenance;
  PoolScalerOptions pools;
  /// The availability zones of the deployment, beside those from which workers report.
  std::vector<std::string> zones;
  std::size_t max_spec_bytes = 4'000;  // limit of a job's payload
  std::size_t max_tasks = 20'000;      // limit of one job, over all steps and occurrences
  double far_factor = 1;               // see PlanInput
};

/// A command of the log that was applied on this node.
struct AppliedCommand {
  std::uint64_t index = 0;
  const Command& command;
  ApplyOutcome outcome = ApplyOutcome::kRejected;
  bool replayed = false;       // was on this node's disk when the process started
  const Job* ended = nullptr;  // the job that the command ended, if any
};

/// The tasks of the leading node: answers calls, decides which task starts on which worker, and
/// sends orders to workers and the platform. It changes the replicated state only through
/// proposals.
class Leader {
 public:
  Leader(LeaderOptions options, const State& state);

  void BeginTerm(replication::Term term, Micros now, WallMs wall, Outbox& out);
  void EndTerm(Outbox& out);
  bool leading() const { return term_ != 0; }

  /// Handles a call that a gateway forwarded and that has waited on this node for `waited`. The
  /// answer is sent at once, or when the command that it proposes is applied. A job whose call has
  /// waited for long is refused: the leader cannot keep up with more. While a configuration is
  /// proposed and not applied, calls that it may concern wait: see HasToWait.
  void OnCall(const CallRequest& request, Micros waited, Micros now, WallMs wall, Outbox& out);
  void OnOrderReply(const OrderEvent& event, Micros now, WallMs wall, Outbox& out);
  void OnVmReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out);
  /// Call on every core node for each applied command, leading or not.
  void OnApplied(const AppliedCommand& applied, Micros now, WallMs wall, Outbox& out);
  /// Plans starts, renews leases, and proposes or sends what is due. Call after each event.
  void Tick(Micros now, WallMs wall, Outbox& out);

  /// Encoded commands to propose now, in order. Pass the log index of the first one to Proposed.
  std::vector<std::string> TakeProposals();
  void Proposed(std::uint64_t first_index);

 private:
  struct Requester {
    std::uint64_t id = 0;
    std::string address;
  };
  struct Proposal {
    Command command;
    bool has_requester = false;
    Requester requester;
  };

  /// A call that waits until the configuration proposed before it is applied.
  struct HeldCall {
    CallRequest request;
    Micros waited = 0;  // before it was held
  };

  void Propose(Command command) { proposals_.push_back({.command = std::move(command)}); }
  void ProposeFor(Command command, const CallRequest& request);
  static Requester RequesterOf(const CallRequest& request) {
    return {.id = request.id, .address = request.reply_address};
  }
  void Reply(const Requester& requester, Answer answer, Outbox& out) const;
  void Refuse(const JobCall& call, const CallRequest& request, Answer refusal, Outbox& out) const;

  void HandleCall(const CallRequest& request, Micros waited, Micros now, WallMs wall, Outbox& out);
  /// Whether the call waits until the proposed configuration is applied. Jobs do, so that each is
  /// checked against the configuration under which it is applied, and so do further
  /// configurations, so that no job waits for more than those that arrived before it.
  bool HasToWait(const Call& call) const;
  void HandleHeldCalls(Micros now, WallMs wall, Outbox& out);
  void Handle(const JobCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  void Handle(const HeartbeatCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  void Handle(const LeaveCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  void Handle(const ConfigureCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  void Handle(const ReadConfigurationCall& call, const CallRequest& request, Micros now,
              WallMs wall, Outbox& out);
  void Handle(const WaveCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  void Handle(const WaveQueryCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  void Handle(const EvacuationCall& call, const CallRequest& request, Micros now, WallMs wall,
              Outbox& out);
  bool IsKnownZone(const std::string& zone) const;
  /// What a client's call concerns. The path names the job that was accepted there, whatever queue
  /// the configuration in force selects for the path.
  struct NamedJob {
    const Queue* queue = nullptr;  // of the configuration in force; null: none is selected
    std::optional<JobPath> path;   // nothing: the call's path does not end with a job's id
    const Job* job = nullptr;      // accepted at the path; null: none is known
  };
  NamedJob FindNamedJob(const JobCall& call) const;
  /// Whether the call may concern what it names: it has a team's key, or needs none.
  bool HasKey(const JobCall& call, const NamedJob& named) const;
  void OnSubmit(const JobCall& call, const NamedJob& named, const CallRequest& request, WallMs wall,
                Outbox& out);
  void ProposeSubmit(const JobCall& call, const Queue& queue, JobId job, const CallRequest& request,
                     WallMs wall, Outbox& out);
  void OnQuery(const JobCall& call, const NamedJob& named, const CallRequest& request,
               Outbox& out) const;
  void OnCancel(const JobCall& call, const JobPath& path, const CallRequest& request, WallMs wall,
                Outbox& out);
  /// Whether a job with this id may be refused as not accepted: it is neither accepted nor
  /// proposed.
  bool MayRefuse(JobId job) const;
  /// Returns the refusal of a job that cannot be completed while it is of use, because of the work
  /// of its team that was accepted before it; nothing if it is accepted.
  std::optional<Answer> RefuseForLackOfRoom(const JobCall& call, const Queue& queue, JobId job,
                                            Outbox& out);
  std::string CheckSpec(const JobSpec& spec) const;
  /// Number of the queue's jobs of which no worker is known to have begun a task.
  Answer CountPending(const Queue& queue) const;
  /// The phase that clients see: a job is running once a worker has begun one of its tasks.
  Answer PhaseOf(const Job& job) const;
  bool NamesKnownService(const WorkerRecord& record, const Worker* known) const;
  void ObserveCommand(const AppliedCommand& applied, Micros now);
  /// Tells the planner which jobs a command has changed.
  void TellPlanner(const Command& command);
  void UpdateRunTimeEstimate(const RecordEnd& end, Micros now);
  /// The job's objective in milliseconds after its acceptance. Its estimates are corrected by the
  /// run times observed so far.
  std::int64_t ExpectedObjectiveMs(const Job& job) const;
  void LogEnd(const Job& job, const Command& command, Outbox& out) const;
  void LogStarts(const std::vector<Assign>& starts, WallMs wall, Outbox& out) const;
  void StopEndedJob(JobId id, Micros now, Outbox& out);
  /// Plans starts, if the time has come and earlier ones do not hold it back.
  void PlanIfDue(Micros now, WallMs wall, Outbox& out);
  void Plan(std::size_t max_starts, Micros now, WallMs wall, Outbox& out);
  /// Returns the VMs whose workers must not get tasks because of a move or maintenance.
  std::unordered_set<std::string_view> CordonedVms() const;
  /// Returns these VMs and those that are to be moved once they have no tasks.
  std::unordered_set<std::string_view> WithheldVms() const;
  /// Logs the tasks for which the state and the leader's knowledge of the workers differ.
  void CompareRuns(Outbox& out);
  /// Runs the section and reports its time.
  template <typename Section>
  void Measure(const char* metric, Outbox& out, const Section& section) const;
  /// Logs the backlog and the cost of the last period, once each period.
  void LogLoad(Micros now, Outbox& out);
  /// Logs the shares of the teams in services that did not have room for all in the last period.
  void LogShares(Micros now, Outbox& out);

  LeaderOptions options_;
  const State& state_;
  WorkerFleet fleet_;
  VmOrders orders_;
  StartPlanner planner_;
  Maintenance maintenance_;
  Demand demand_;
  PoolScaler pools_;
  WaitReport wait_report_;
  ZoneDrain zone_drain_;
  replication::Term term_ = 0;
  std::vector<Proposal> proposals_;
  std::map<std::uint64_t, Requester> requesters_;  // of proposed commands, by log index
  std::map<TeamNumber, std::uint64_t> refused_;    // jobs refused for lack of room, last period
  std::multiset<JobId> unapplied_submits_;         // jobs of proposed Submits, not applied yet
  bool configure_unapplied_ = false;               // a Configure is proposed, and not applied yet
  std::deque<HeldCall> held_calls_;                // in the order of their arrival
  Micros call_waited_ = 0;                         // of the call that is handled
  PlanPace pace_;
  bool plan_due_ = false;
  Micros next_plan_ = 0;
  Micros next_fleet_tick_ = 0;
  Micros next_load_line_ = 0;
  std::uint64_t scanned_before_ = 0;  // State::scanned at the last load line
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_LEADER_H_

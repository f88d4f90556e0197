#ifndef GODWITPADDLE_DECISION_SCHEDULER_STATE_H_
#define GODWITPADDLE_DECISION_SCHEDULER_STATE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decision/fair_queue.h"
#include "decision/pool_scheduler.h"
#include "decision/quarantine.h"
#include "decision/server_table.h"
#include "decision/usage_estimate.h"

namespace godwitpaddle {

/// A request that is queued or running, by its stage: kUnclaimed waits for its claim, kClaiming was
/// returned by TakeClaimCandidates, kReady may be placed.
struct RequestState {
  enum class Stage : std::uint8_t { kUnclaimed, kClaiming, kReady, kRunning };
  QueuedRequest request;
  int team = 0;
  int queue = 0;
  Stage stage = Stage::kReady;
  OrderKey key;
  TaskSize size;         // declared size, corrected by observed usage
  double slots = 1;      // slots that a task of this size is worth
  bool claimed = false;  // the caller has confirmed the request's claim (ConfirmClaim)
  int starts = 0;
  int failures = 0;           // attempts that failed
  bool may_have_run = false;  // a failed attempt was sent to its server
  std::vector<int> tried;     // indices of the servers on which it failed
  int server = -1;
  std::string task_id;
  Micros started = 0;
  Micros order_time = 0;    // when the task was last ordered to checkpoint
  int overrun_orders = 0;   // orders given to contain an overrun, each stronger than the one before
  Micros overrun_time = 0;  // of the last order to contain an overrun
};

/// Configuration, observed usage and deadlines of one queue.
struct QueueState {
  QueueId name;
  QueueConfig config;
  UsageEstimate usage;
  std::set<std::pair<Micros, RequestId>> deadlines;  // of queued requests
};

/// Smoothed rate of arrivals.
struct ArrivalRate {
  double per_second = 0;
  Micros updated = 0;
};

/// State of a PoolScheduler. Teams and queues are referred to by their index.
struct SchedulerState {
  SchedulerOptions options;
  Micros now = 0;  // of the last call
  std::vector<TeamState> teams;
  std::map<TeamId, int> team_ids;
  // Running tasks that may be ordered to checkpoint for urgent requests, by team: start time, id.
  std::vector<std::set<std::pair<Micros, RequestId>>> preemptible;
  std::vector<QueueState> queues;
  std::map<QueueId, int> queue_ids;
  std::unordered_map<RequestId, RequestState> requests;
  std::unordered_map<std::string, RequestId> own_tasks;  // running tasks of this scheduler, by id
  ServerTable servers;
  PoolHealth health;
  ArrivalRate arrivals;
  double mean_run_s = 0;
  double retry_tokens = 0;
  int queued = 0;
  int running = 0;
  int claiming = 0;
  int borrowed_places = 0;  // queue places that teams use beyond their guaranteed ones
  // Running tasks that were ordered to checkpoint to free a slot for an urgent request.
  std::set<RequestId> pending_checkpoints;
  // Running tasks that use far more than expected on a nearly full server.
  std::set<RequestId> overruns;
  std::vector<Refusal> displaced;    // by urgent requests; the next Expire returns them
  Micros no_capacity_since = 0;      // the last time at which the pool had a ready slot
  mutable int violation_checks = 0;  // calls of FindViolation
};

/// Advances the state's time to `now`: accrues the teams' lag, marks silent servers and ends
/// quarantines.
void AdvanceTime(SchedulerState& state, Micros now);

/// Index of the team or queue; adds it if it is new.
int TeamIndex(SchedulerState& state, const TeamId& team);
int QueueIndex(SchedulerState& state, const QueueId& queue);

/// Divides the pool's queue places among the teams by weight. Called after a change of the teams or
/// the configuration.
void DivideQueuePlaces(SchedulerState& state);

/// Adds a request to its team's queue, or removes it, and updates all counters.
void Enqueue(SchedulerState& state, RequestState& request, RequestState::Stage stage);
void Dequeue(SchedulerState& state, RequestState& request);

/// Starts queued requests: urgent ones first, then those of the team with the largest shortfall.
std::vector<Placement> StartRequests(SchedulerState& state,
                                     const std::function<int(const TeamId&)>& cap);

/// Records the end of a running request's task, and requeues the request if a retry is allowed.
FinishResult EndRequest(SchedulerState& state, RequestId id, TaskEnd end);

/// Returns the unclaimed requests whose claims should be made now, and moves them to kClaiming.
std::vector<RequestId> SelectClaimCandidates(SchedulerState& state);

/// Records the usage that an announcement states for a task. Reserves more capacity for the task if
/// it uses more than was reserved, and updates the set of overruns.
void RecordUsage(SchedulerState& state, int server, const ObservedTask& task);

/// Returns new orders to running tasks; see PoolScheduler::TakeOrders.
std::vector<TaskOrder> MakeOrders(SchedulerState& state);

/// Recounts counters, slots and connections from the requests. Returns the first violation, or
/// nothing.
std::optional<std::string> Recount(const SchedulerState& state);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_SCHEDULER_STATE_H_

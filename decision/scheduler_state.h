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

/// A request known to the scheduler.
struct RequestState {
  enum class Stage : std::uint8_t { kUnclaimed, kClaiming, kReady, kRunning };
  QueuedRequest request;
  int team = 0;
  int queue = 0;
  Stage stage = Stage::kReady;
  OrderKey key;
  TaskSize size;     // corrected
  double slots = 1;  // slots that it stands for
  bool claimed = false;
  int starts = 0;
  int failures = 0;           // starts that failed
  bool may_have_run = false;  // a failed start was sent
  std::vector<int> tried;     // servers that failed it
  int server = -1;
  std::string task_id;
  Micros started = 0;
  Micros order_time = 0;   // when a checkpoint was last ordered
  int overrun_orders = 0;  // orders given because of an overrun
  Micros last_overrun_order = 0;
};

/// What is known about one queue.
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

struct SchedulerState {
  SchedulerOptions options;
  Micros now = 0;
  std::vector<TeamState> teams;
  std::map<TeamId, int> team_ids;
  std::vector<std::set<std::pair<Micros, RequestId>>> preemptible;  // by team: start, id
  std::vector<QueueState> queues;
  std::map<QueueId, int> queue_ids;
  std::unordered_map<RequestId, RequestState> requests;
  std::unordered_map<std::string, RequestId> own_tasks;
  ServerTable servers;
  PoolHealth health;
  ArrivalRate arrivals;
  double mean_run_s = 0;
  double retry_tokens = 0;
  int queued = 0;
  int running = 0;
  int claiming = 0;
  int lent_places = 0;                      // queue places that teams use beyond their guarantee
  std::set<RequestId> pending_checkpoints;  // ordered to make room and not yet ended
  std::set<RequestId> overruns;    // running tasks that use far more than they were expected to
  std::vector<Refusal> displaced;  // reported by the next Expire
  Micros no_capacity_since = 0;
  mutable int violation_checks = 0;
};

/// Moves the state's time on: silent servers, ends of quarantines, lag of the teams.
void AdvanceTime(SchedulerState& state, Micros now);

int TeamIndex(SchedulerState& state, const TeamId& team);
int QueueIndex(SchedulerState& state, const QueueId& queue);

/// Divides the queue's places after a change of the configuration.
void DivideQueuePlaces(SchedulerState& state);

/// Puts a request into the line of its team, or takes it out, with all counters.
void Enqueue(SchedulerState& state, RequestState& request, RequestState::Stage stage);
void Dequeue(SchedulerState& state, RequestState& request);

/// Starts queued requests, urgent ones first, then by the teams' shortfall.
std::vector<Placement> StartRequests(SchedulerState& state,
                                     const std::function<int(const TeamId&)>& cap);

/// Ends a running request.
FinishResult EndRequest(SchedulerState& state, RequestId id, TaskEnd end);

/// Held requests that are next in line.
std::vector<RequestId> SelectClaimCandidates(SchedulerState& state);

/// Compares a task's announced use with what was accounted for it.
void RecordUsage(SchedulerState& state, int server, const ObservedTask& task);

/// Orders about running work.
std::vector<TaskOrder> MakeOrders(SchedulerState& state);

/// Full recount of counters, slots and connections.
std::optional<std::string> Recount(const SchedulerState& state);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_SCHEDULER_STATE_H_

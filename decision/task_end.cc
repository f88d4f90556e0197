#include <algorithm>

#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

// Limits retries to this fraction of the number of completed requests: each completed request adds
// this many tokens and each retry takes one. Up to kMaxRetryTokens are saved, so that the tasks of
// a few lost servers can be retried at once.
constexpr double kRetryTokensPerCompletion = 0.1;
constexpr double kMaxRetryTokens = 64;
// Weight of a new run time in the exponentially smoothed mean.
constexpr double kRunTimeSmoothing = 0.05;

// The third order against an overrun stops the task (see RequestState::overrun_orders), so the end
// of the task is then no evidence about its server.
constexpr int kStopOverrunOrder = 3;

void RecordRunTime(SchedulerState& state, const RequestState& request) {
  const double seconds = static_cast<double>(state.now - request.started) / kSecond;
  state.queues[request.queue].usage.run_seconds.Add(seconds);
  state.mean_run_s = state.mean_run_s == 0
                         ? seconds
                         : state.mean_run_s + kRunTimeSmoothing * (seconds - state.mean_run_s);
}

// Updates the server's health with the end of a task. A failure counts only if it is of the
// request's first attempt or the server is on trial. When a second server fails the request too,
// the request is at fault, and the failure of the first server is retracted.
void UpdateServerHealth(SchedulerState& state, const RequestState& request, TaskEnd end) {
  if (end == TaskEnd::kCheckpointed || request.overrun_orders >= kStopOverrunOrder) return;
  Server& server = state.servers.servers[request.server];
  const QueueId& queue = state.queues[request.queue].name;
  const bool good = end == TaskEnd::kDone;
  const bool trial = server.health.state == HealthState::kTrial;
  if (request.failures == 1 && !good) {
    RetractFailure(state.servers.servers[request.tried.front()].health, state.health, queue,
                   state.now);
  }
  if (request.failures > 0 && !good && !trial) return;
  if (end == TaskEnd::kBroken) {
    // The loss of a server breaks the connections of all its tasks at once and counts as one
    // failure.
    if (server.broken_since_announcement && !trial) return;
    server.broken_since_announcement = true;
  }
  if (!RecordEnd(server.health, state.health, queue, good, state.now)) return;
  if (server.health.state == HealthState::kQuarantined) {
    state.servers.quarantine_ends.emplace(server.health.quarantined_until, request.server);
  }
  Reindex(state.servers, request.server);
}

void RemoveRunning(SchedulerState& state, RequestState& request, TaskEnd end) {
  TeamState& team = state.teams[request.team];
  --team.running;
  if (request.request.priority == Priority::kUrgent) --team.urgent_running;
  team.share.used = team.running > 0 ? team.share.used - request.slots : 0;
  --state.running;
  state.preemptible[request.team].erase({request.started, request.request.id});
  state.pending_checkpoints.erase(request.request.id);
  state.overruns.erase(request.request.id);
  state.own_tasks.erase(request.task_id);
  Server& server = state.servers.servers[request.server];
  const auto own = server.own.find(request.request.id);
  if (own == server.own.end()) return;  // the server restarted and its tasks were dropped
  if (end == TaskEnd::kBroken) {
    server.possibly_running.emplace(request.task_id, own->second);
  } else {
    server.recently_ended.emplace(request.task_id, state.now);
  }
  ReleaseCapacity(state.servers, request.server, request.request.id);
}

bool IsRetrySafe(const RequestState& request, TaskEnd end) {
  return end == TaskEnd::kNotSent || request.request.idempotent;
}

bool HasUntriedServer(const SchedulerState& state, const RequestState& request) {
  const auto& servers = state.servers.servers;
  for (int i = 0; i < static_cast<int>(servers.size()); ++i) {
    if (IsUsable(servers[i]) &&
        std::find(request.tried.begin(), request.tried.end(), i) == request.tried.end()) {
      return true;
    }
  }
  return false;
}

bool TryTakeRetryToken(SchedulerState& state, const RequestState& request) {
  if (request.failures >= state.options.max_attempts || state.retry_tokens < 1 ||
      request.request.deadline <= state.now || !HasUntriedServer(state, request)) {
    return false;
  }
  state.retry_tokens -= 1;
  return true;
}

}  // namespace

FinishResult EndRequest(SchedulerState& state, RequestId id, TaskEnd end) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end() || found->second.stage != RequestState::Stage::kRunning) {
    return FinishResult::kAbandoned;
  }
  RequestState& request = found->second;
  RemoveRunning(state, request, end);
  UpdateServerHealth(state, request, end);
  if (end == TaskEnd::kDone) {
    RecordRunTime(state, request);
    state.retry_tokens = std::min(kMaxRetryTokens, state.retry_tokens + kRetryTokensPerCompletion);
    state.requests.erase(found);
    return FinishResult::kFinished;
  }
  bool retry = IsRetrySafe(request, end);
  if (end != TaskEnd::kCheckpointed) {
    ++request.failures;
    request.tried.push_back(request.server);
    retry = retry && TryTakeRetryToken(state, request);
  }
  if (!retry) {
    state.requests.erase(found);
    return FinishResult::kAbandoned;
  }
  if (end != TaskEnd::kNotSent) request.may_have_run = true;
  request.server = -1;
  Enqueue(state, request, RequestState::Stage::kReady);
  return FinishResult::kRequeued;
}

}  // namespace godwitpaddle

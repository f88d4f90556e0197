#include "decision/scheduler_state.h"

#include <algorithm>
#include <cmath>

#include "decision/admission.h"

namespace godwitpaddle {

namespace {

constexpr auto kUrgentIndex = static_cast<std::size_t>(Priority::kUrgent);

}  // namespace

void AdvanceTime(SchedulerState& state, Micros now) {
  if (now <= state.now) return;
  if (state.now > 0) UpdateLags(state.teams, now - state.now, LagHorizon(state.mean_run_s));
  state.now = now;
  UpdateServerStates(state.servers, now);
  if (state.servers.ready_slots > 0 || state.no_capacity_since == 0) state.no_capacity_since = now;
}

int TeamIndex(SchedulerState& state, const TeamId& team) {
  const auto [it, added] = state.team_ids.try_emplace(team, static_cast<int>(state.teams.size()));
  if (added) {
    TeamState& line = state.teams.emplace_back();
    line.name = team;
    state.preemptible.emplace_back();
    const auto config = state.options.teams.find(team);
    if (config != state.options.teams.end()) {
      line.share.weight = config->second.share;
      line.limit = config->second.limit;
    }
    line.cap = line.limit;
    DivideQueuePlaces(state);
  }
  return it->second;
}

int QueueIndex(SchedulerState& state, const QueueId& queue) {
  const auto [it, added] =
      state.queue_ids.try_emplace(queue, static_cast<int>(state.queues.size()));
  if (added) {
    QueueState& line = state.queues.emplace_back();
    line.name = queue;
    const auto config = state.options.queues.find(queue);
    if (config != state.options.queues.end()) line.config = config->second;
  }
  return it->second;
}

void DivideQueuePlaces(SchedulerState& state) {
  double weights = 0;
  for (const TeamState& team : state.teams) {
    if (team.limit > 0) weights += team.share.weight;
  }
  state.borrowed_places = 0;
  for (TeamState& team : state.teams) {
    const double weight_part = weights > 0 && team.limit > 0 ? team.share.weight / weights : 0;
    const double places = weight_part * state.options.config.max_queue;
    team.urgent_places = static_cast<int>(std::ceil(places * kUrgentFraction));
    team.guaranteed_places = static_cast<int>(std::ceil(places * kGuaranteedFraction));
    state.borrowed_places += std::max(0, team.queued - team.guaranteed_places);
  }
}

void Enqueue(SchedulerState& state, RequestState& request, RequestState::Stage stage) {
  TeamState& team = state.teams[request.team];
  const auto priority = static_cast<std::size_t>(request.request.priority);
  request.stage = stage;
  auto& queue = stage == RequestState::Stage::kUnclaimed ? team.unclaimed : team.ready;
  queue[priority].insert(request.key);
  if (priority == kUrgentIndex) ++team.urgent_queued;
  if (++team.queued > team.guaranteed_places) ++state.borrowed_places;
  ++state.queued;
  AddWork(team, request.request.priority, request.key,
          request.slots * static_cast<double>(request.size.run_time) / kSecond);
  state.queues[request.queue].deadlines.emplace(request.request.deadline, request.request.id);
}

void Dequeue(SchedulerState& state, RequestState& request) {
  TeamState& team = state.teams[request.team];
  const auto priority = static_cast<std::size_t>(request.request.priority);
  switch (request.stage) {
    case RequestState::Stage::kUnclaimed:
      team.unclaimed[priority].erase(request.key);
      break;
    case RequestState::Stage::kClaiming:
      --team.claiming;
      --state.claiming;
      break;
    case RequestState::Stage::kReady:
      team.ready[priority].erase(request.key);
      break;
    case RequestState::Stage::kRunning:
      return;
  }
  if (priority == kUrgentIndex) --team.urgent_queued;
  if (team.queued-- > team.guaranteed_places) --state.borrowed_places;
  --state.queued;
  AddWork(team, request.request.priority, request.key,
          -request.slots * static_cast<double>(request.size.run_time) / kSecond);
  state.queues[request.queue].deadlines.erase({request.request.deadline, request.request.id});
}

}  // namespace godwitpaddle

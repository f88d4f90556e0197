#include <algorithm>
#include <cmath>

#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

// Number of a team's first requests that are tried when the ones before them fit no server.
constexpr int kLookahead = 4;
// Servers that are tried for one request; if none fits, the request waits for the next dispatch.
constexpr int kMaxVisits = 64;
constexpr auto kUrgentIndex = static_cast<std::size_t>(Priority::kUrgent);
constexpr auto kNormalIndex = static_cast<std::size_t>(Priority::kNormal);
// Two bounds on the number of requests in kClaiming. The pool may have as many as it has free slots
// plus the starts expected within a claim's round trip, which takes about this many seconds.
constexpr double kClaimRoundTripS = 0.1;
// Each team may have this many requests in kClaiming, whatever the bound of the pool, so that its
// next request is ready when its turn comes.
constexpr int kClaimingPerTeam = 1;

// Whether the team has a request that may start. With `urgent_only` set, that is an urgent request
// within the team's UrgentQuota; else any request, and the team's urgent ones come first.
bool MayStart(const TeamState& team, bool urgent_only, double horizon_s) {
  if (team.running >= team.cap) return false;
  if (urgent_only) return !team.ready[kUrgentIndex].empty() && UrgentQuota(team, horizon_s) >= 1;
  return !team.ready[kUrgentIndex].empty() || !team.ready[kNormalIndex].empty();
}

int NextTeam(const SchedulerState& state, bool urgent_only, const std::vector<bool>& skipped) {
  const double horizon_s = LagHorizon(state.mean_run_s);
  int best = -1;
  double best_shortfall = 0;
  for (int i = 0; i < static_cast<int>(state.teams.size()); ++i) {
    const TeamState& team = state.teams[i];
    if (skipped[i] || !MayStart(team, urgent_only, horizon_s)) continue;
    const double shortfall = Shortfall(team.share, horizon_s);
    if (best < 0 || shortfall > best_shortfall) {
      best = i;
      best_shortfall = shortfall;
    }
  }
  return best;
}

int FindServerFor(const SchedulerState& state, const RequestState& request) {
  const auto fits = [&state, &request](int index) {
    const Server& server = state.servers.servers[index];
    const TaskSize& size = request.size;
    return (server.announcement.cores <= 0 || size.cores <= server.free.cores + 1e-9) &&
           (server.announcement.memory_mb <= 0 || size.memory_mb <= server.free.memory_mb) &&
           size.accelerators <= server.free.accelerators &&
           std::find(request.tried.begin(), request.tried.end(), index) == request.tried.end();
  };
  return FindServer(state.servers.index, fits, kMaxVisits);
}

Placement Start(SchedulerState& state, RequestState& request, int server) {
  Dequeue(state, request);
  request.stage = RequestState::Stage::kRunning;
  request.server = server;
  request.started = state.now;
  request.order_time = 0;
  request.overrun_orders = 0;
  ++request.starts;
  request.task_id = TaskName(state.options.task_prefix, request.request.id, request.starts);
  state.own_tasks[request.task_id] = request.request.id;
  TeamState& team = state.teams[request.team];
  ++team.running;
  if (request.request.priority == Priority::kUrgent) ++team.urgent_running;
  team.share.used += request.slots;
  ++state.running;
  if (request.request.idempotent && request.request.priority == Priority::kNormal) {
    state.preemptible[request.team].emplace(request.started, request.request.id);
  }
  ReserveCapacity(state.servers, server, request.request.id, request.size);
  return {.id = request.request.id,
          .server = state.servers.servers[server].announcement.server,
          .address = state.servers.servers[server].announcement.address,
          .attempt = request.starts,
          .task_id = request.task_id};
}

// Starts the first of the queued requests that fits a server, among the first kLookahead. Returns
// false if none fits.
bool StartFirstFit(SchedulerState& state, const OrderedRequests& queue,
                   std::vector<Placement>& placements) {
  int tries_left = kLookahead;
  for (const OrderKey& key : queue) {
    RequestState& request = state.requests.at(key.id);
    const int server = FindServerFor(state, request);
    if (server >= 0) {
      placements.push_back(Start(state, request, server));
      return true;
    }
    if (--tries_left == 0) break;
  }
  return false;
}

void StartQueued(SchedulerState& state, bool urgent_only, int reserved_slots,
                 std::vector<Placement>& placements) {
  std::vector<bool> skipped(state.teams.size(), false);
  while (state.servers.index.free_slots > reserved_slots) {
    const int team = NextTeam(state, urgent_only, skipped);
    if (team < 0) return;
    const TeamState& chosen = state.teams[team];
    if (StartFirstFit(state, chosen.ready[kUrgentIndex], placements)) continue;
    if (!urgent_only && StartFirstFit(state, chosen.ready[kNormalIndex], placements)) continue;
    skipped[team] = true;
  }
}

int ReservedSlots(const SchedulerState& state) {
  return static_cast<int>(std::ceil(state.options.urgent.reserve * state.servers.ready_slots));
}

double SlotsInUse(const SchedulerState& state) {
  double slots = 0;
  for (const TeamState& team : state.teams) slots += team.share.used;
  return slots;
}

bool HasClaimCandidate(const TeamState& team, std::size_t priority) {
  return !team.unclaimed[priority].empty() && team.running + team.claiming < team.cap;
}

}  // namespace

std::vector<Placement> StartRequests(SchedulerState& state,
                                     const std::function<int(const TeamId&)>& cap) {
  std::vector<Placement> placements;
  for (TeamState& team : state.teams) {
    if (team.queued > 0) team.cap = std::min(team.limit, cap(team.name));
  }
  DivideCapacity(state.teams, SlotsInUse(state) + state.servers.index.free_slots);
  StartQueued(state, true, 0, placements);
  StartQueued(state, false, ReservedSlots(state), placements);
  // No team is entitled to free slots that fit none of the queued requests. If they counted, every
  // lag would grow to its bound, and there the large teams always come first.
  if (state.servers.index.free_slots > 0 && state.queued > 0) {
    DivideCapacity(state.teams, SlotsInUse(state));
  }
  return placements;
}

std::vector<RequestId> SelectClaimCandidates(SchedulerState& state) {
  std::vector<RequestId> candidates;
  const double horizon_s = LagHorizon(state.mean_run_s);
  const double rate = state.mean_run_s > 0 ? state.running / state.mean_run_s : 0;
  const int max_claiming =
      state.servers.index.free_slots + static_cast<int>(std::ceil(rate * kClaimRoundTripS));
  for (const std::size_t priority : {kUrgentIndex, kNormalIndex}) {
    std::vector<bool> passed_over(state.teams.size(), false);
    while (true) {
      int best = -1;
      for (int i = 0; i < static_cast<int>(state.teams.size()); ++i) {
        const TeamState& team = state.teams[i];
        if (!HasClaimCandidate(team, priority)) continue;
        const bool may_claim = state.claiming < max_claiming || team.claiming < kClaimingPerTeam;
        if (!may_claim) continue;
        if (best < 0 ||
            Shortfall(team.share, horizon_s) - team.claiming >
                Shortfall(state.teams[best].share, horizon_s) - state.teams[best].claiming) {
          best = i;
        }
      }
      if (best < 0) break;
      TeamState& team = state.teams[best];
      RequestState& request = state.requests.at(team.unclaimed[priority].begin()->id);
      team.unclaimed[priority].erase(request.key);
      request.stage = RequestState::Stage::kClaiming;
      ++team.claiming;
      ++state.claiming;
      candidates.push_back(request.request.id);
    }
  }
  return candidates;
}

}  // namespace godwitpaddle

#include <algorithm>

#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

// An urgent request waits this long for a slot to come free by itself before lower work is asked to
// checkpoint.
constexpr Micros kUrgentPatience = 300 * kMillisecond;
// An order that has had no effect after this time is given again.
constexpr Micros kOrderRepeat = 2 * kSecond;
// A drain asks running work to checkpoint after this time.
constexpr Micros kDrainPatience = 60 * kSecond;
// A task that uses more than this multiple of its accounted size overruns.
constexpr double kOverrun = 1.25;

TaskOrder Order(const SchedulerState& state, const RequestState& request, TaskOrderKind kind) {
  return {.id = request.request.id,
          .server = state.servers.servers[request.server].last.server,
          .kind = kind};
}

int UrgentWaiting(const SchedulerState& state) {
  int waiting = 0;
  for (const TeamLine& team : state.teams) {
    int room = team.cap - team.running;
    for (const OrderKey& key : team.ready[static_cast<std::size_t>(Priority::kUrgent)]) {
      if (room-- <= 0) break;
      if (state.now - state.requests.at(key.id).request.arrived >= kUrgentPatience) ++waiting;
    }
  }
  return waiting;
}

// The latest start of the team that exceeds its entitled slots most.
RequestId NextVictim(const SchedulerState& state, const std::vector<int>& taken) {
  int best = -1;
  double most = 0;
  for (int i = 0; i < static_cast<int>(state.teams.size()); ++i) {
    if (static_cast<int>(state.preemptible[i].size()) <= taken[i]) continue;
    const double excess = state.teams[i].units - taken[i] - state.teams[i].entitled;
    if (best < 0 || excess > most) {
      best = i;
      most = excess;
    }
  }
  if (best < 0) return 0;
  for (auto it = state.preemptible[best].rbegin(); it != state.preemptible[best].rend(); ++it) {
    if (!state.checkpoints.contains(it->second)) return it->second;
  }
  return 0;
}

void MakeRoomForUrgent(SchedulerState& state, std::vector<TaskOrder>& orders) {
  if (!state.options.urgent.checkpoint || state.servers.index.free_slots > 0) return;
  const int waiting = UrgentWaiting(state);
  std::vector<int> taken(state.teams.size(), 0);
  for (const RequestId id : state.checkpoints) ++taken[state.requests.at(id).team];
  while (static_cast<int>(state.checkpoints.size()) < waiting) {
    const RequestId id = NextVictim(state, taken);
    if (id == 0) return;
    RequestState& victim = state.requests.at(id);
    ++taken[victim.team];
    victim.ordered = state.now;
    state.checkpoints.insert(id);
    orders.push_back(Order(state, victim, TaskOrderKind::kCheckpoint));
  }
}

void CheckpointDrained(SchedulerState& state, std::vector<TaskOrder>& orders) {
  for (const VmId& vm : state.servers.blocked_vms) {
    const auto [begin, end] = state.servers.by_vm.equal_range(vm);
    for (auto it = begin; it != end; ++it) {
      const Server& server = state.servers.servers[it->second];
      if (state.now - server.blocked_since < kDrainPatience) continue;
      for (const auto& [id, size] : server.own) {
        RequestState& request = state.requests.at(id);
        if (!request.request.idempotent || state.now - request.ordered < kDrainPatience) continue;
        request.ordered = state.now;
        orders.push_back(Order(state, request, TaskOrderKind::kCheckpoint));
      }
    }
  }
}

}  // namespace

std::vector<TaskOrder> MakeOrders(SchedulerState& state) {
  std::vector<TaskOrder> orders;
  MakeRoomForUrgent(state, orders);
  CheckpointDrained(state, orders);
  return orders;
}

}  // namespace godwitpaddle

#include <algorithm>

#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

// An urgent request waits this long for a slot to become free before a normal task is ordered to
// checkpoint.
constexpr Micros kUrgentMaxWait = 300 * kMillisecond;
// Running tasks on a blocked VM are ordered to checkpoint after this time, and again at this
// interval.
constexpr Micros kDrainDelay = 60 * kSecond;
// A task overruns when it uses more than kOverrunFactor times the size expected at its start, and
// less than kMinFreeFraction of its server's cores or memory is unused.
constexpr double kOverrunFactor = 2;
constexpr double kMinFreeFraction = 0.1;
// Time for which an order against an overrun may take effect before the next stronger one is given:
// two announcements and the delay of the usage report.
constexpr Micros kOverrunInterval = 3 * kSecond;

TaskOrder Order(const SchedulerState& state, const RequestState& request, TaskOrderKind kind) {
  return {.id = request.request.id,
          .server = state.servers.servers[request.server].announcement.server,
          .kind = kind};
}

int UrgentWaiting(const SchedulerState& state) {
  const double horizon_s = LagHorizon(state.mean_run_s);
  int waiting = 0;
  for (const TeamState& team : state.teams) {
    int quota = std::min(team.cap - team.running, static_cast<int>(UrgentQuota(team, horizon_s)));
    for (const OrderKey& key : team.ready[static_cast<std::size_t>(Priority::kUrgent)]) {
      if (quota-- <= 0) break;
      if (state.now - state.requests.at(key.id).request.arrived >= kUrgentMaxWait) ++waiting;
    }
  }
  return waiting;
}

// Chooses the task to preempt: the one started last by the team that exceeds its entitled slots
// most. Returns 0 if there is none. `ordered_by_team` counts the tasks per team that were already
// ordered to checkpoint.
RequestId NextVictim(const SchedulerState& state, const std::vector<int>& ordered_by_team) {
  int best = -1;
  double largest_excess = 0;
  for (int i = 0; i < static_cast<int>(state.teams.size()); ++i) {
    if (static_cast<int>(state.preemptible[i].size()) <= ordered_by_team[i]) continue;
    const double excess =
        state.teams[i].share.used - ordered_by_team[i] - state.teams[i].share.entitled;
    if (best < 0 || excess > largest_excess) {
      best = i;
      largest_excess = excess;
    }
  }
  if (best < 0) return 0;
  for (auto it = state.preemptible[best].rbegin(); it != state.preemptible[best].rend(); ++it) {
    if (!state.pending_checkpoints.contains(it->second)) return it->second;
  }
  return 0;
}

void PreemptForUrgent(SchedulerState& state, std::vector<TaskOrder>& orders) {
  if (!state.options.urgent.checkpoint || state.servers.index.free_slots > 0) return;
  const int waiting = UrgentWaiting(state);
  std::vector<int> ordered(state.teams.size(), 0);
  for (const RequestId id : state.pending_checkpoints) ++ordered[state.requests.at(id).team];
  while (static_cast<int>(state.pending_checkpoints.size()) < waiting) {
    const RequestId id = NextVictim(state, ordered);
    if (id == 0) return;
    RequestState& victim = state.requests.at(id);
    ++ordered[victim.team];
    victim.order_time = state.now;
    state.pending_checkpoints.insert(id);
    orders.push_back(Order(state, victim, TaskOrderKind::kCheckpoint));
  }
}

void CheckpointBlockedVms(SchedulerState& state, std::vector<TaskOrder>& orders) {
  for (const VmId& vm : state.servers.blocked_vms) {
    const auto [begin, end] = state.servers.by_vm.equal_range(vm);
    for (auto it = begin; it != end; ++it) {
      const Server& server = state.servers.servers[it->second];
      if (state.now - server.blocked_since < kDrainDelay) continue;
      for (const auto& [id, size] : server.own) {
        RequestState& request = state.requests.at(id);
        if (!request.request.idempotent || state.now - request.order_time < kDrainDelay) continue;
        request.order_time = state.now;
        orders.push_back(Order(state, request, TaskOrderKind::kCheckpoint));
      }
    }
  }
}

bool IsTight(const Server& server, double free_fraction) {
  const double cores = server.announcement.cores * (1 - free_fraction);
  const double memory_mb = static_cast<double>(server.announcement.memory_mb) * (1 - free_fraction);
  return (server.announcement.cores > 0 && server.used_cores > cores) ||
         (server.announcement.memory_mb > 0 &&
          static_cast<double>(server.used_memory_mb) > memory_mb);
}

// Returns the next order against an overrun (throttle, checkpoint, stop), or nothing if no stronger
// one is allowed. A task is stopped only if it is idempotent, shares its server and exhausts it.
std::optional<TaskOrderKind> NextOverrunOrder(const RequestState& request, const Server& server) {
  if (request.overrun_orders == 0) return TaskOrderKind::kThrottle;
  if (!request.request.idempotent) return std::nullopt;
  if (request.overrun_orders == 1) return TaskOrderKind::kCheckpoint;
  const bool shared = server.own.size() + static_cast<std::size_t>(server.foreign_tasks) > 1;
  if (request.overrun_orders == 2 && shared && IsTight(server, 0)) return TaskOrderKind::kStop;
  return std::nullopt;
}

void ContainOverruns(SchedulerState& state, std::vector<TaskOrder>& orders) {
  for (const RequestId id : state.overruns) {
    RequestState& request = state.requests.at(id);
    if (request.overrun_orders > 0 && state.now - request.overrun_time < kOverrunInterval) continue;
    const auto kind = NextOverrunOrder(request, state.servers.servers[request.server]);
    if (!kind) continue;
    ++request.overrun_orders;
    request.overrun_time = state.now;
    orders.push_back(Order(state, request, *kind));
  }
}

}  // namespace

void RecordUsage(SchedulerState& state, int server, const ObservedTask& task) {
  RequestState& request = state.requests.at(task.id);
  UsageEstimate& usage = state.queues[request.queue].usage;
  if (task.cores > 0) usage.cores.Add(task.cores);
  if (task.memory_mb > 0) usage.memory_mb.Add(static_cast<double>(task.memory_mb));
  const TaskSize& expected = request.size;
  const bool exceeds_expectation =
      (expected.cores > 0 && task.cores > kOverrunFactor * expected.cores) ||
      (expected.memory_mb > 0 && static_cast<double>(task.memory_mb) >
                                     kOverrunFactor * static_cast<double>(expected.memory_mb));
  if (exceeds_expectation && IsTight(state.servers.servers[server], kMinFreeFraction)) {
    state.overruns.insert(task.id);
  } else {
    state.overruns.erase(task.id);
  }
  TaskSize size = state.servers.servers[server].own.at(task.id);
  if (task.cores <= size.cores && task.memory_mb <= size.memory_mb) return;
  size.cores = std::max(size.cores, task.cores);
  size.memory_mb = std::max(size.memory_mb, task.memory_mb);
  ReserveCapacity(state.servers, server, task.id, size);
}

std::vector<TaskOrder> MakeOrders(SchedulerState& state) {
  std::vector<TaskOrder> orders;
  ContainOverruns(state, orders);
  PreemptForUrgent(state, orders);
  CheckpointBlockedVms(state, orders);
  return orders;
}

}  // namespace godwitpaddle

#include "decision/server_table.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle {
namespace {

// Ended tasks are kept this long: an announcement sent before the end of a task may still list it,
// and the task must not count as foreign.
constexpr Micros kEndedTaskRetention = 2 * kSecond;

int FindOrAddServer(ServerTable& table, const Announcement& announcement) {
  const int next = static_cast<int>(table.servers.size());
  const auto [it, added] = table.by_id.try_emplace(announcement.server, next);
  if (added) {
    table.servers.emplace_back();
    table.position.push_back(table.by_announcement.insert(table.by_announcement.end(), next));
    table.by_vm.emplace(announcement.vm, next);
  }
  return it->second;
}

void ChangeVm(ServerTable& table, int index, const VmId& from, const VmId& to) {
  const auto [begin, end] = table.by_vm.equal_range(from);
  for (auto it = begin; it != end; ++it) {
    if (it->second != index) continue;
    table.by_vm.erase(it);
    break;
  }
  table.by_vm.emplace(to, index);
}

void CountTasks(Server& server, const Announcement& announcement,
                const std::unordered_map<std::string, RequestId>& own_tasks,
                std::vector<ObservedTask>& observed) {
  server.foreign_tasks = 0;
  server.foreign_cores = 0;
  server.foreign_memory_mb = 0;
  server.used_cores = 0;
  server.used_memory_mb = 0;
  for (const RunningTask& task : announcement.tasks) {
    server.used_cores += task.cores;
    server.used_memory_mb += task.memory_mb;
    const auto own = own_tasks.find(task.task_id);
    if (own != own_tasks.end() && server.own.contains(own->second)) {
      observed.push_back({own->second, task.cores, task.memory_mb});
    } else if (!server.recently_ended.contains(task.task_id)) {
      ++server.foreign_tasks;
      server.foreign_cores += task.cores;
      server.foreign_memory_mb += task.memory_mb;
    }
  }
}

}  // namespace

std::string TaskName(const std::string& prefix, RequestId id, int attempt) {
  std::string name = prefix + std::to_string(id);
  if (attempt > 1) name += "." + std::to_string(attempt);
  return name;
}

AnnouncementEffect RecordAnnouncement(ServerTable& table, const Announcement& announcement,
                                      const std::unordered_map<std::string, RequestId>& own_tasks,
                                      Micros now) {
  AnnouncementEffect effect{.server = FindOrAddServer(table, announcement)};
  Server& server = table.servers[effect.server];
  if (!server.announcement.vm.empty() && server.announcement.vm != announcement.vm) {
    ChangeVm(table, effect.server, server.announcement.vm, announcement.vm);
  }
  if (server.announcement.incarnation != announcement.incarnation) {
    server.own.clear();
    server.recently_ended.clear();
    RecordRestart(server.health);
  }
  std::erase_if(server.recently_ended,
                [now](const auto& e) { return e.second + kEndedTaskRetention < now; });
  server.possibly_running.clear();
  server.broken_since_announcement = false;
  CountTasks(server, announcement, own_tasks, effect.observed);
  server.announcement = announcement;
  server.announcement.tasks.clear();
  server.announced_at = now;
  server.silent = false;
  server.blocked = table.blocked_vms.contains(announcement.vm);
  table.by_announcement.splice(table.by_announcement.end(), table.by_announcement,
                               table.position[effect.server]);
  Reindex(table, effect.server);
  return effect;
}

void BlockVms(ServerTable& table, std::set<VmId> vms, Micros now) {
  std::vector<VmId> changed;
  std::set_symmetric_difference(vms.begin(), vms.end(), table.blocked_vms.begin(),
                                table.blocked_vms.end(), std::back_inserter(changed));
  table.blocked_vms = std::move(vms);
  for (const VmId& vm : changed) {
    const auto [begin, end] = table.by_vm.equal_range(vm);
    for (auto it = begin; it != end; ++it) {
      Server& server = table.servers[it->second];
      server.blocked = table.blocked_vms.contains(vm);
      server.blocked_since = now;
      Reindex(table, it->second);
    }
  }
}

void UpdateServerStates(ServerTable& table, Micros now) {
  // The list is ordered by the time of the announcement, so the loop ends at the first server that
  // is not silent.
  for (const int index : table.by_announcement) {
    Server& server = table.servers[index];
    if (server.announced_at + kServerSilence > now) break;
    if (server.silent) continue;
    server.silent = true;
    Reindex(table, index);
  }
  while (!table.quarantine_ends.empty() && table.quarantine_ends.begin()->first <= now) {
    const int index = table.quarantine_ends.begin()->second;
    table.quarantine_ends.erase(table.quarantine_ends.begin());
    if (EndQuarantineIfDue(table.servers[index].health, now)) Reindex(table, index);
  }
}

bool IsUsable(const Server& server) {
  return server.announcement.state == ServerState::kReady && !server.silent && !server.blocked &&
         server.health.state != HealthState::kQuarantined;
}

void ReserveCapacity(ServerTable& table, int server, RequestId id, const TaskSize& size) {
  table.servers[server].own[id] = size;
  Reindex(table, server);
}

void ReleaseCapacity(ServerTable& table, int server, RequestId id) {
  if (table.servers[server].own.erase(id) > 0) Reindex(table, server);
}

bool FitsAnyServer(const ServerTable& table, const TaskSize& size) {
  return std::any_of(table.servers.begin(), table.servers.end(), [&size](const Server& server) {
    return FitsShape(server.announcement.cores, server.announcement.memory_mb,
                     server.announcement.accelerators, size);
  });
}

bool FitsShape(double cores, std::int64_t memory_mb, int accelerators, const TaskSize& size) {
  return (cores <= 0 || size.cores <= cores) && (memory_mb <= 0 || size.memory_mb <= memory_mb) &&
         size.accelerators <= accelerators;
}

FreeCapacity CountFreeCapacity(const Server& server) {
  const int tasks =
      static_cast<int>(server.own.size() + server.possibly_running.size()) + server.foreign_tasks;
  FreeCapacity free{.slots = server.announcement.slots - tasks,
                    .connections = server.announcement.connections - tasks,
                    .cores = server.announcement.cores - server.foreign_cores,
                    .memory_mb = server.announcement.memory_mb - server.foreign_memory_mb,
                    .accelerators = server.announcement.accelerators};
  const auto take = [&free](const auto& tasks_by_id) {
    for (const auto& [id, size] : tasks_by_id) {
      free.cores -= size.cores;
      free.memory_mb -= size.memory_mb;
      free.accelerators -= size.accelerators;
    }
  };
  take(server.own);
  take(server.possibly_running);
  return free;
}

void Reindex(ServerTable& table, int index) {
  Server& server = table.servers[index];
  server.free = CountFreeCapacity(server);
  const bool usable = IsUsable(server);
  const int counted = usable ? std::max(0, server.announcement.slots - server.foreign_tasks) : 0;
  table.ready_slots += counted - server.counted_ready_slots;
  server.counted_ready_slots = counted;
  if (!usable) {
    RemoveEntry(table.index, index);
    return;
  }
  int free = std::max(0, std::min(server.free.slots, server.free.connections));
  // A server on trial gets one task at a time.
  if (server.health.state == HealthState::kTrial) free = server.own.empty() ? std::min(free, 1) : 0;
  UpdateEntry(table.index, index, server.announcement.zone, server.announcement.rack,
              server.announcement.slots - server.free.slots, server.announcement.slots, free);
}

}  // namespace godwitpaddle

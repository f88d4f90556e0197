#ifndef GODWITPADDLE_DECISION_SERVER_TABLE_H_
#define GODWITPADDLE_DECISION_SERVER_TABLE_H_

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "decision/placement.h"
#include "decision/pool_scheduler.h"
#include "decision/quarantine.h"

namespace godwitpaddle {

/// What a server still has to give.
struct FreeCapacity {
  int slots = 0;
  int connections = 0;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};

/// One backend server as the pool's owner sees it.
struct Server {
  Announcement announcement;  // without its tasks
  Micros announced_at = 0;
  bool silent = false;
  bool blocked = false;
  Micros blocked_since = 0;
  FreeCapacity free;
  int foreign_tasks = 0;  // announced tasks that this scheduler did not start
  double foreign_cores = 0;
  std::int64_t foreign_memory_mb = 0;
  double used_cores = 0;  // as announced for all tasks
  std::int64_t used_memory_mb = 0;
  std::unordered_map<RequestId, TaskSize> own;       // running, with the size accounted for
  std::map<std::string, Micros> recently_ended;      // own tasks that ended lately
  std::map<std::string, TaskSize> possibly_running;  // own tasks that may still run after a break
  bool broken_since_announcement = false;
  ServerHealth health;
  int counted_ready_slots = 0;  // its part of ready_slots
};

struct ServerTable {
  std::vector<Server> servers;
  std::unordered_map<ServerId, int> by_id;
  std::multimap<VmId, int> by_vm;
  std::list<int> by_announcement;  // oldest first
  std::vector<std::list<int>::iterator> position;
  PlacementIndex index;
  std::set<VmId> blocked_vms;
  std::set<std::pair<Micros, int>> quarantine_ends;
  int ready_slots = 0;  // slots of usable servers that no foreign task holds
};

/// A started task of this scheduler that an announcement lists.
struct ObservedTask {
  RequestId id = 0;
  double cores = 0;
  std::int64_t memory_mb = 0;
};

/// Result of an announcement.
struct AnnouncementEffect {
  int server = 0;
  std::vector<ObservedTask> observed;
};

/// Name of the task that an attempt runs as.
std::string TaskName(const std::string& prefix, RequestId id, int attempt);

/// Records an announcement: `own_tasks` tells which of the names are running tasks of this
/// scheduler.
AnnouncementEffect RecordAnnouncement(ServerTable& table, const Announcement& announcement,
                                      const std::unordered_map<std::string, RequestId>& own_tasks,
                                      Micros now);

void BlockVms(ServerTable& table, std::set<VmId> vms, Micros now);

/// Marks servers that have been silent for kServerSilence and ends quarantines that are over.
void UpdateServerStates(ServerTable& table, Micros now);

bool IsUsable(const Server& server);

/// Takes or returns a slot, a connection and the size. `size` replaces an earlier size of the task.
void ReserveCapacity(ServerTable& table, int server, RequestId id, const TaskSize& size);
void ReleaseCapacity(ServerTable& table, int server, RequestId id);

/// True if some server seen, whatever its state, is large enough for the size.
bool FitsAnyServer(const ServerTable& table, const TaskSize& size);

/// True if a machine of this shape is large enough. Cores or memory of 0 are not stated and do not
/// bound.
bool FitsShape(double cores, std::int64_t memory_mb, int accelerators, const TaskSize& size);

/// Brings the placement index up to date after a change of the server's state.
void Reindex(ServerTable& table, int server);

/// Recounts a server's free room from its tasks.
FreeCapacity CountFreeCapacity(const Server& server);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_SERVER_TABLE_H_

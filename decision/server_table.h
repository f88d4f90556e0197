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

/// Capacity of a server that is not in use.
struct FreeCapacity {
  int slots = 0;
  int connections = 0;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
};

/// One backend server, as the owner of its pool knows it.
struct Server {
  Announcement announcement;  // the last one, without its tasks
  Micros announced_at = 0;
  bool silent = false;   // no announcement for kServerSilence
  bool blocked = false;  // its VM gets no new tasks
  Micros blocked_since = 0;
  FreeCapacity free;
  int foreign_tasks = 0;  // announced tasks that this scheduler did not start
  double foreign_cores = 0;
  std::int64_t foreign_memory_mb = 0;
  double used_cores = 0;  // sum over all announced tasks
  std::int64_t used_memory_mb = 0;
  // Running tasks of this scheduler with their reserved sizes.
  std::unordered_map<RequestId, TaskSize> own;
  std::map<std::string, Micros> recently_ended;  // own tasks by id, and when they ended
  // Own tasks whose connection broke and which may still run, until the next announcement.
  std::map<std::string, TaskSize> possibly_running;
  bool broken_since_announcement = false;  // a connection broke since the last announcement
  ServerHealth health;
  int counted_ready_slots = 0;  // its contribution to ready_slots
};

/// All servers of a pool that have announced themselves. Servers are referred to by their index.
struct ServerTable {
  std::vector<Server> servers;
  std::unordered_map<ServerId, int> by_id;
  std::multimap<VmId, int> by_vm;
  std::list<int> by_announcement;                  // servers, the oldest announcement first
  std::vector<std::list<int>::iterator> position;  // in by_announcement, by server
  PlacementIndex index;
  std::set<VmId> blocked_vms;
  std::set<std::pair<Micros, int>> quarantine_ends;
  int ready_slots = 0;  // slots of usable servers that no foreign task occupies
};

/// Usage that an announcement states for a running task of this scheduler.
struct ObservedTask {
  RequestId id = 0;
  double cores = 0;
  std::int64_t memory_mb = 0;
};

/// Result of recording an announcement.
struct AnnouncementEffect {
  int server = 0;
  std::vector<ObservedTask> observed;
};

/// Id of the task that runs the given attempt of a request.
std::string TaskName(const std::string& prefix, RequestId id, int attempt);

/// Records an announcement. `own_tasks` holds the running tasks of this scheduler by task id; all
/// other announced tasks count as foreign.
AnnouncementEffect RecordAnnouncement(ServerTable& table, const Announcement& announcement,
                                      const std::unordered_map<std::string, RequestId>& own_tasks,
                                      Micros now);

/// Sets the VMs whose servers get no new tasks.
void BlockVms(ServerTable& table, std::set<VmId> vms, Micros now);

/// Marks servers without an announcement for kServerSilence as silent, and ends quarantines whose
/// time is over.
void UpdateServerStates(ServerTable& table, Micros now);

/// True if the server is ready and neither silent, blocked nor quarantined.
bool IsUsable(const Server& server);

/// Reserves or releases a slot, a connection and the size of a task. `size` replaces an earlier
/// reservation of the same task.
void ReserveCapacity(ServerTable& table, int server, RequestId id, const TaskSize& size);
void ReleaseCapacity(ServerTable& table, int server, RequestId id);

/// True if the size fits any known server when empty, whatever the server's state.
bool FitsAnyServer(const ServerTable& table, const TaskSize& size);

/// True if the size fits an empty VM with these resources. Cores or memory of 0 mean that they are
/// not stated and impose no bound.
bool FitsShape(double cores, std::int64_t memory_mb, int accelerators, const TaskSize& size);

/// Updates free capacity, ready slots and the placement index after a change of the server's state.
void Reindex(ServerTable& table, int server);

/// Recounts a server's free capacity from its tasks.
FreeCapacity CountFreeCapacity(const Server& server);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_SERVER_TABLE_H_

#ifndef GODWITPADDLE_DECISION_PLACEMENT_H_
#define GODWITPADDLE_DECISION_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace godwitpaddle {

/// Index of the servers with free slots, ordered by load (used part of the slots) at three levels:
/// availability zone, rack, server. An update costs O(log n); a search visits the least loaded
/// branch first.
struct PlacementIndex {
  /// A zone or a rack, with the sums over its servers.
  struct Group {
    int used = 0;
    int slots = 0;
    std::int64_t load = 0;                           // key in the parent's by_load
    std::set<std::pair<std::int64_t, int>> by_load;  // load and id of each child with free slots
  };
  /// A server; zone and rack are -1 while it is not in the index.
  struct Entry {
    int zone = -1;
    int rack = -1;
    int used = 0;
    int slots = 0;
    std::int64_t load = 0;
    int free = 0;  // the server is in its rack's by_load while this is above 0
  };
  std::map<std::string, int> zone_ids;
  std::map<std::pair<int, std::string>, int> rack_ids;
  std::vector<Group> zones;
  std::vector<Group> racks;
  std::vector<int> rack_zone;
  std::vector<Entry> entries;                            // by server
  std::set<std::pair<std::int64_t, int>> zones_by_load;  // load and id of each zone with free slots
  int free_slots = 0;
};

/// Adds the server or updates its location and load. FindServer skips a server with `free` of 0,
/// but its load counts for its rack and zone.
void UpdateEntry(PlacementIndex& index, int server, const std::string& zone,
                 const std::string& rack, int used, int slots, int free);
void RemoveEntry(PlacementIndex& index, int server);

/// Returns the first server for which `fits` holds. Visits the servers in increasing order of the
/// load of their zone, then of their rack, then of the server. Returns -1 if none of the first
/// `max_visits` servers fits.
int FindServer(const PlacementIndex& index, const std::function<bool(int)>& fits, int max_visits);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_PLACEMENT_H_

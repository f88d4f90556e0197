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

/// Servers with free slots, ordered by load at three levels: zone, rack, server. An update costs
/// O(log n); a search visits the least loaded branch first.
struct PlacementIndex {
  struct Group {
    int used = 0;
    int slots = 0;
    std::int64_t load = 0;  // key in the parent's order
    std::set<std::pair<std::int64_t, int>>
        by_load;  // load and child, children with free slots only
  };
  struct Entry {
    int zone = -1;
    int rack = -1;
    int used = 0;
    int slots = 0;
    std::int64_t load = 0;
    int free = 0;  // listed while above 0
  };
  std::map<std::string, int> zone_ids;
  std::map<std::pair<int, std::string>, int> rack_ids;
  std::vector<Group> zones;
  std::vector<Group> racks;
  std::vector<int> rack_zone;
  std::vector<Entry> entries;                            // by server
  std::set<std::pair<std::int64_t, int>> zones_by_load;  // of zones
  int free_slots = 0;
};

/// Sets the place and use of a server. A server with `free` slots 0 is not listed.
void UpdateEntry(PlacementIndex& index, int server, const std::string& zone,
                 const std::string& rack, int used, int slots, int free);
void RemoveEntry(PlacementIndex& index, int server);

/// Least loaded server in the least loaded rack and zone that `fits`, or -1. At most
/// `max_visits` servers are looked at.
int FindServer(const PlacementIndex& index, const std::function<bool(int)>& fits, int max_visits);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_PLACEMENT_H_

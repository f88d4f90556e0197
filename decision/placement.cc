#include "decision/placement.h"

#include <algorithm>

namespace godwitpaddle {
namespace {

// Load of a server or group whose slots are all used, or that has no slots.
constexpr std::int64_t kLoadScale = 1 << 20;

std::int64_t LoadOf(int used, int slots) {
  return slots > 0 ? used * kLoadScale / slots : kLoadScale;
}

int ZoneOf(PlacementIndex& index, const std::string& zone) {
  const auto [it, added] = index.zone_ids.try_emplace(zone, static_cast<int>(index.zones.size()));
  if (added) index.zones.emplace_back();
  return it->second;
}

int RackOf(PlacementIndex& index, int zone, const std::string& rack) {
  const auto [it, added] =
      index.rack_ids.try_emplace({zone, rack}, static_cast<int>(index.racks.size()));
  if (added) {
    index.racks.emplace_back();
    index.rack_zone.push_back(zone);
  }
  return it->second;
}

// Adds to a group's used and total slots and updates its key in the parent's index. A group without
// children that have free slots is not in the index.
void UpdateGroup(std::set<std::pair<std::int64_t, int>>& parent, PlacementIndex::Group& group,
                 int id, int used, int slots) {
  group.used += used;
  group.slots += slots;
  parent.erase({group.load, id});
  group.load = LoadOf(group.used, group.slots);
  if (!group.by_load.empty()) parent.insert({group.load, id});
}

void Propagate(PlacementIndex& index, const PlacementIndex::Entry& entry, int used, int slots) {
  PlacementIndex::Group& zone = index.zones[entry.zone];
  UpdateGroup(zone.by_load, index.racks[entry.rack], entry.rack, used, slots);
  UpdateGroup(index.zones_by_load, zone, entry.zone, used, slots);
}

}  // namespace

void UpdateEntry(PlacementIndex& index, int server, const std::string& zone,
                 const std::string& rack, int used, int slots, int free) {
  if (server >= static_cast<int>(index.entries.size())) index.entries.resize(server + 1);
  const int zone_id = ZoneOf(index, zone);
  const int rack_id = RackOf(index, zone_id, rack);
  if (index.entries[server].rack >= 0 && index.entries[server].rack != rack_id) {
    RemoveEntry(index, server);
  }
  PlacementIndex::Entry& entry = index.entries[server];
  entry.zone = zone_id;
  entry.rack = rack_id;
  PlacementIndex::Group& group = index.racks[rack_id];
  if (entry.free > 0) group.by_load.erase({entry.load, server});
  const int used_change = used - entry.used;
  const int slots_change = slots - entry.slots;
  entry.used = used;
  entry.slots = slots;
  entry.load = LoadOf(used, slots);
  index.free_slots += free - entry.free;
  entry.free = free;
  if (free > 0) group.by_load.insert({entry.load, server});
  Propagate(index, entry, used_change, slots_change);
}

void RemoveEntry(PlacementIndex& index, int server) {
  if (server >= static_cast<int>(index.entries.size())) return;
  PlacementIndex::Entry& entry = index.entries[server];
  if (entry.rack < 0) return;
  index.free_slots -= entry.free;
  if (entry.free > 0) index.racks[entry.rack].by_load.erase({entry.load, server});
  Propagate(index, entry, -entry.used, -entry.slots);
  entry = {};
}

int FindServer(const PlacementIndex& index, const std::function<bool(int)>& fits, int max_visits) {
  for (const auto& [zone_load, zone] : index.zones_by_load) {
    for (const auto& [rack_load, rack] : index.zones[zone].by_load) {
      for (const auto& [load, server] : index.racks[rack].by_load) {
        if (fits(server)) return server;
        if (--max_visits <= 0) return -1;
      }
    }
  }
  return -1;
}

}  // namespace godwitpaddle

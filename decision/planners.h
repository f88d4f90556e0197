#ifndef GODWITPADDLE_DECISION_PLANNERS_H_
#define GODWITPADDLE_DECISION_PLANNERS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/time.h"
#include "decision/commands.h"
#include "decision/fleet_state.h"
#include "decision/service_level.h"

namespace godwitpaddle {

/// A team at one node: requests running, and running plus those that would start with more
/// allotment.
struct TeamUsage {
  int running = 0;
  int wanted = 0;
  bool operator==(const TeamUsage&) const = default;
  MSGPACK_DEFINE(running, wanted)
};

/// A pool at its owner.
struct PoolUsage {
  int queued = 0;
  int running = 0;
  int ready_slots = 0;
  double arrivals_per_s = 0;  // smoothed
  double mean_run_s = 0;
  bool operator==(const PoolUsage&) const = default;
  MSGPACK_DEFINE(queued, running, ready_slots, arrivals_per_s, mean_run_s)
};

/// A VM as its pool's owner sees it.
struct VmUsage {
  bool ready = false;              // announced ready within the silence bound
  int running = 0;                 // tasks on it, orphans included
  std::string server_incarnation;  // changes when the backend server restarts
  bool operator==(const VmUsage&) const = default;
  MSGPACK_DEFINE(ready, running, server_incarnation)
};

/// What a node tells the leader: only entries that changed since its last acknowledged report,
/// unless `full`.
struct NodeReport {
  bool full = false;
  bool draining = false;
  std::map<TeamId, TeamUsage> teams;
  std::map<PoolId, PoolUsage> pools;
  std::map<VmId, VmUsage> vms;
  std::map<QueueId, ServiceCounts> service_counts;
  MSGPACK_DEFINE(full, draining, teams, pools, vms, service_counts)
};

/// The leader's view of one incarnation.
struct NodeView {
  Micros last_granted = 0;  // the latest grant, or the start of leadership
  std::uint64_t applied_index = 0;
  bool draining = false;
  std::map<TeamId, TeamUsage> teams;
};

/// Everything the planners see beside the replicated state. Rebuilt by a new leader from reports.
struct FleetView {
  Micros leader_since = 0;
  NodeId leader_node;
  std::map<Incarnation, NodeView> nodes;
  std::map<PoolId, PoolUsage> pools;
  std::map<VmId, VmUsage> vms;
  std::map<VmId, Micros> ready_changed;  // when `ready` last changed, for debouncing
};

/// A call to the platform. Idempotent by `operation_id`; repeated until answered.
struct PlatformCall {
  std::string operation_id;
  VmId vm;
  std::string action;  // reboot, move
  PoolId pool;         // moves only
};

/// What the leader should propose and call now.
struct Plan {
  std::vector<CommandBody> commands;
  std::vector<PlatformCall> calls;
};

/// NodeLeaseExpired after kNodeLease + kLeaseMargin without a grant, NodeRemoved after the task
/// lease on top.
void PlanNodes(const FleetState& state, const FleetView& view, Micros now, Plan& plan);

/// Releases and assigns pools: even by load, region of the pool's VMs first, not to draining nodes,
/// and not to the leader's node while two or more others are live.
void PlanOwners(const FleetState& state, const FleetView& view, Micros now, Plan& plan);

/// Divides each team's limit over the incarnations by what they want; cuts first, raises after
/// confirmation.
void PlanAllotments(const FleetState& state, const FleetView& view, Micros now, Plan& plan);

/// Health changes, steps of operations, next VMs of running waves, pauses on correlated failures,
/// lapsed reviews.
void PlanWaves(const FleetState& state, const FleetView& view, Micros now, WallMs wall, Plan& plan);

/// State that the move planner keeps between calls (hysteresis); rebuilt by a new leader.
struct MovePlannerState {
  std::map<PoolId, double> smoothed_load;   // demanded VMs
  std::map<PoolId, Micros> shortage_since;  // since when the pool is short of VMs
  std::map<PoolId, Micros> surplus_since;   // since when the pool could do without a VM
  std::map<VmId, Micros> last_move;
  Micros last_planned = 0;
};

/// Moves between pools: from spare pools when the expected gain exceeds the cost.
void PlanMoves(const FleetState& state, const FleetView& view, Micros now,
               MovePlannerState& planner_state, Plan& plan);

inline constexpr Micros kNodeLease = 1'200 * kMillisecond;
// Covers the reply's time on the way and clocks that run at slightly different rates.
inline constexpr Micros kLeaseMargin = 300 * kMillisecond;
inline constexpr Micros kTaskLease = 5 * kSecond;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_PLANNERS_H_

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

/// Demand of one team at one node, in requests. `wanted` counts the running requests and those that
/// the node would start if the team's allotment allowed it.
struct TeamUsage {
  int running = 0;
  int wanted = 0;
  bool operator==(const TeamUsage&) const = default;
  MSGPACK_DEFINE(running, wanted)
};

/// Load of one pool, as its owner reports it.
struct PoolUsage {
  int queued = 0;
  int running = 0;
  int ready_slots = 0;
  double arrivals_per_s = 0;  // smoothed rate
  double mean_run_s = 0;
  bool operator==(const PoolUsage&) const = default;
  MSGPACK_DEFINE(queued, running, ready_slots, arrivals_per_s, mean_run_s)
};

/// State of one VM, as the owner of its pool reports it.
struct VmUsage {
  bool ready = false;  // the backend server announced itself as ready within kServerSilence
  int running = 0;     // tasks on the VM, including those that this owner did not start
  std::string server_incarnation;  // changes when the backend server restarts
  bool operator==(const VmUsage&) const = default;
  MSGPACK_DEFINE(ready, running, server_incarnation)
};

/// A node's report to the leader. It holds only the entries that changed since the last report that
/// the leader acknowledged; with `full` set it holds all entries.
struct NodeReport {
  bool full = false;
  bool draining = false;
  std::map<TeamId, TeamUsage> teams;
  std::map<PoolId, PoolUsage> pools;
  std::map<VmId, VmUsage> vms;
  std::map<QueueId, ServiceCounts> service_counts;
  MSGPACK_DEFINE(full, draining, teams, pools, vms, service_counts)
};

/// What the leader has learned about one incarnation of a node from its reports.
struct NodeView {
  // Time of the leader's latest grant of the node lease; before the first grant, the time at which
  // its leadership began.
  Micros last_granted = 0;
  std::uint64_t applied_index = 0;
  bool draining = false;
  std::map<TeamId, TeamUsage> teams;
};

/// Input of the planners beside the replicated state. It is not replicated: a new leader rebuilds
/// it from the nodes' reports.
struct FleetView {
  Micros leader_since = 0;  // when this leader's leadership began
  NodeId leader_node;
  std::map<Incarnation, NodeView> nodes;
  std::map<PoolId, PoolUsage> pools;
  std::map<VmId, VmUsage> vms;
  std::map<VmId, Micros> ready_changed;  // when VmUsage::ready last changed, to debounce health
};

/// A call to the platform. It is idempotent by `operation_id` and repeated until the platform
/// reports a result.
struct PlatformCall {
  std::string operation_id;
  VmId vm;
  std::string action;  // "reboot" or "move"
  PoolId pool;         // target of a move; empty for other actions
};

/// Commands that the leader should propose and platform calls that it should make now.
struct Plan {
  std::vector<CommandBody> commands;
  std::vector<PlatformCall> calls;
};

/// Proposes NodeLeaseExpired for a node that was granted no lease for kNodeLease + kLeaseMargin,
/// and NodeRemoved once another kTaskLease has passed without a grant.
void PlanNodes(const FleetState& state, const FleetView& view, Micros now, Plan& plan);

/// Assigns pools to owners and releases them from unsuitable ones. Load is spread evenly, and nodes
/// in the region of the pool's VMs are preferred. Draining nodes get no pools, and the leader's
/// node gets none while two or more other nodes are candidates.
void PlanOwners(const FleetState& state, const FleetView& view, Micros now, Plan& plan);

/// Divides each team's limit among the incarnations in proportion to their demand. An allotment is
/// raised only by what is free within the limit; what another incarnation must release becomes free
/// once that incarnation has reported that it applied its lower target and runs no more requests
/// than that. Thus the sum stays within the limit.
void PlanAllotments(const FleetState& state, const FleetView& view, Micros now, Plan& plan);

/// Updates the health of VMs, advances VM operations, starts the next VMs of running waves, pauses
/// waves after several failures, and puts configuration files in force whose review window has
/// ended.
void PlanWaves(const FleetState& state, const FleetView& view, Micros now, WallMs wall, Plan& plan);

/// State that the move planner keeps between calls, for hysteresis. A new leader starts with an
/// empty one.
struct MovePlannerState {
  std::map<PoolId, double> smoothed_load;   // demand in VMs
  std::map<PoolId, Micros> shortage_since;  // start of the present shortage of VMs, if any
  std::map<PoolId, Micros> surplus_since;   // since when the pool could spare a VM, if it can
  std::map<VmId, Micros> last_move;
  Micros last_planned = 0;
};

/// Moves VMs from spare pools to pools that are short of VMs when the expected gain exceeds the
/// cost, and moves VMs back to their configured pools. Does nothing within a second of
/// its last run.
void PlanMoves(const FleetState& state, const FleetView& view, Micros now,
               MovePlannerState& planner_state, Plan& plan);

// Length of a node's lease, from the time at which the node sent the report that the leader
// granted.
inline constexpr Micros kNodeLease = 1'200 * kMillisecond;
// The leader waits this much longer than kNodeLease before it treats the lease as expired. The
// margin covers the time of the reply on the network and clocks that run at slightly different
// rates.
inline constexpr Micros kLeaseMargin = 300 * kMillisecond;
// Backend servers stop the tasks of an owner that has not renewed their leases for this long.
inline constexpr Micros kTaskLease = 5 * kSecond;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_PLANNERS_H_

#ifndef GODWITPADDLE_NODE_CONTEXT_H_
#define GODWITPADDLE_NODE_CONTEXT_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "decision/fleet_state.h"
#include "node/node.h"

namespace godwitpaddle {

/// Data that the parts of one node share: its options, the applied state, the time of the current
/// step and the effects that the step has emitted so far.
struct NodeContext {
  NodeOptions options;
  Incarnation incarnation;
  FleetState state;
  Rng rng;
  Micros now = 0;
  WallMs wall = 0;
  Micros lease_until = 0;  // end of the node lease; 0: none
  bool draining = false;
  std::string leader_address;  // empty when no leader is known
  std::uint64_t next_unique_id = 1;
  std::vector<Effect> effects;
  std::deque<PeerMessage> to_self;  // messages of this node to itself, handled within the same step

  bool HoldsLease() const { return now < lease_until; }

  /// Sends to another node, or queues a message to this node in `to_self`. Drops the message if the
  /// address is empty; senders retry.
  void Send(const std::string& address, PeerMessage message);
  void SendToLeader(PeerMessage message) { Send(leader_address, std::move(message)); }
  void Log(Severity severity, std::string event,
           std::vector<std::pair<std::string, std::string>> fields);
  void Metric(std::string name, double value = 1);
  void Respond(RespondEffect response) { effects.emplace_back(std::move(response)); }
  /// Returns an id that is unique over all nodes and calls.
  std::string UniqueId();
};

/// Returns a random name for a new incarnation of the node: NODE-xxxxxxxx (hexadecimal).
Incarnation MakeIncarnation(const NodeId& node, Rng& rng);

/// Returns the address of a node whose lease has not expired, or an empty string.
std::string NodeAddress(const FleetState& state, const Incarnation& incarnation);

/// Returns the address of the node that owns the pool, or an empty string.
std::string OwnerAddress(const FleetState& state, const PoolId& pool);

/// Returns the JSON response that refuses a caller's request.
RespondEffect RefuseHttp(std::uint64_t connection, int status, const ForwardRefusal& refusal);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_CONTEXT_H_

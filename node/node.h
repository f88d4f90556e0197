#ifndef GODWITPADDLE_NODE_NODE_H_
#define GODWITPADDLE_NODE_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"
#include "decision/fleet_state.h"
#include "node/common_events.h"
#include "replication/replica.h"

namespace godwitpaddle {

/// Settings of one node that affect its decisions.
struct NodeOptions {
  NodeId node;
  std::string region;
  std::string zone;
  std::string peer_address;                 // address at which other nodes reach this one
  std::vector<std::string> seed_addresses;  // nodes that this one asks to join the group
  bool has_disk = false;
  std::uint64_t seed = 1;  // also determines the incarnation's name; random per process start
  int voter_target = 3;
  std::size_t max_inflight = 10'000;  // bound on unanswered requests of callers at this gateway
  std::size_t answer_cache_bytes = 32U << 20U;  // bound on answers kept for repeated requests
  std::size_t max_body_bytes = 4U << 20U;
  std::int64_t max_deadline_ms = 600'000;
  bool assert_invariants = true;
};

// ---- events ----

/// A complete HTTP request arrived. Header names are in lower case. The path excludes the query.
struct HttpEvent {
  std::uint64_t connection = 0;  // unique per request
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

enum class TransferEnd : std::uint8_t {
  kAnswered,  // a complete HTTP response arrived
  kNotSent,   // no connection could be established, so nothing was sent
  kBroken,    // the connection broke or timed out after data may have been sent
};

/// The result of a StartTaskEffect.
struct TaskEvent {
  std::string task_id;
  TransferEnd end = TransferEnd::kAnswered;
  int status = 0;
  std::string content_type;
  bool not_run = false;       // the response had X-Not-Run: true
  bool checkpointed = false;  // the response had X-Checkpointed: true
  std::string body;
  std::string error;
};

enum class PlatformState : std::uint8_t { kRunning, kDone, kFailed, kUnreachable };

/// The platform's answer to a PlatformEffect; kUnreachable if it did not answer.
struct PlatformEvent {
  std::string operation_id;
  PlatformState state = PlatformState::kRunning;
  std::string error;
};

using Event = std::variant<TickEvent, PeerEvent, SyncedEvent, HttpEvent, HttpClosedEvent, TaskEvent,
                           PlatformEvent, ShutdownEvent>;

// ---- effects ----

/// Answer the HTTP request of this connection.
struct RespondEffect {
  std::uint64_t connection = 0;
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// POST {address}/tasks/{task_id}. A TaskEvent always follows.
struct StartTaskEffect {
  std::string task_id;
  std::string address;
  std::map<std::string, std::string> headers;
  std::string body;
  std::int64_t timeout_ms = 0;
};

/// DELETE {address}/tasks/{task_id} or POST {address}/tasks/{task_id}/checkpoint or .../throttle.
/// No event follows.
struct OrderTaskEffect {
  std::string task_id;
  std::string address;
  TaskOrderKind kind = TaskOrderKind::kStop;
};

/// PUT and then GET /operations/{id} at the platform. One PlatformEvent follows.
struct PlatformEffect {
  PlatformCall call;
};

using Effect = std::variant<SendEffect, PersistEffect, RespondEffect, StartTaskEffect,
                            OrderTaskEffect, PlatformEffect, LogEffect, MetricEffect, ExitEffect>;

/// Thrown when an invariant does not hold. The driver logs it and stops the process.
class InvariantViolation : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/// One entry VM as a deterministic state machine: the same options, stored state and events give
/// the same effects.
class Node {
 public:
  /// `replica` is the id of the data folder, or a random id for a diskless node.
  Node(NodeOptions options, replication::ReplicaId replica, replication::StoredState stored,
       Micros now, WallMs wall);
  ~Node();

  /// Handles one event and returns the effects that the driver must carry out, in order. Messages
  /// that acknowledge durable data are only returned after the SyncedEvent, so the driver may write
  /// to the disk in another thread. Throws InvariantViolation.
  std::vector<Effect> Step(const Event& event, Micros now, WallMs wall);

  const FleetState& state() const;
  const replication::Replica& replica() const;
  const Incarnation& incarnation() const;
  bool HoldsLease(Micros now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_NODE_H_

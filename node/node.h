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
#include "node/messages.h"
#include "replication/replica.h"

namespace godwitpaddle {

/// Settings of one node that its decisions depend on.
struct NodeOptions {
  NodeId node;
  std::string region;
  std::string zone;
  std::string peer_address;                 // where other nodes reach it
  std::vector<std::string> seed_addresses;  // other nodes to join through
  bool has_disk = false;
  std::uint64_t seed = 1;  // also makes the incarnation; random per process start
  int voter_target = 3;
  std::size_t max_inflight = 10'000;  // callers' requests held by this gateway
  std::size_t answer_cache_bytes = 32U << 20U;
  std::size_t max_body_bytes = 4U << 20U;
  std::int64_t max_deadline_ms = 600'000;
  bool assert_invariants = true;
};

// ---- events ----

/// Time passed; expected at least every kTickPeriod.
struct TickEvent {};

/// A frame of another node arrived.
struct PeerEvent {
  PeerMessage message;
};

/// A batch is durable.
struct SyncedEvent {
  std::uint64_t token = 0;
};

/// A whole HTTP request arrived. Header names are in lower case. The path is without the query.
struct HttpEvent {
  std::uint64_t connection = 0;  // unique per request
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// The caller closed the connection before the answer.
struct HttpClosedEvent {
  std::uint64_t connection = 0;
};

enum class TransferEnd : std::uint8_t {
  kAnswered,  // a whole HTTP answer arrived
  kNotSent,   // the connection could not be made
  kBroken,    // it broke or timed out after something may have been sent
};

/// The end of a StartTask.
struct TaskEvent {
  std::string task_id;
  TransferEnd end = TransferEnd::kAnswered;
  int status = 0;
  std::string content_type;
  bool not_run = false;       // the answer had X-Not-Run: true
  bool checkpointed = false;  // the answer had X-Checkpointed: true
  std::string body;
  std::string error;
};

enum class PlatformState : std::uint8_t { kRunning, kDone, kFailed, kUnreachable };

/// The platform's answer to a call.
struct PlatformEvent {
  std::string operation_id;
  PlatformState state = PlatformState::kRunning;
  std::string error;
};

/// SIGTERM: drain, then Exit.
struct ShutdownEvent {};

using Event = std::variant<TickEvent, PeerEvent, SyncedEvent, HttpEvent, HttpClosedEvent, TaskEvent,
                           PlatformEvent, ShutdownEvent>;

// ---- effects ----

struct SendEffect {
  std::string address;
  PeerMessage message;
};

struct PersistEffect {
  replication::PersistBatch batch;
};

struct RespondEffect {
  std::uint64_t connection = 0;
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// POST {address}/tasks/{task_id}; TaskEvent follows in every case.
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

/// PUT and then GET /operations/{id}; one PlatformEvent follows.
struct PlatformEffect {
  PlatformCall call;
};

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

/// One line "event=NAME key=value ...".
struct LogEffect {
  Severity severity = Severity::kInfo;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// One sample for a histogram or counter, by name.
struct MetricEffect {
  std::string name;
  double value = 1;
};

/// The process ends: status 0 after a graceful shutdown, else the reason is an error.
struct ExitEffect {
  int status = 0;
  std::string reason;
};

using Effect = std::variant<SendEffect, PersistEffect, RespondEffect, StartTaskEffect,
                            OrderTaskEffect, PlatformEffect, LogEffect, MetricEffect, ExitEffect>;

/// An invariant does not hold. The driver logs it and stops the process.
class InvariantViolation : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

inline constexpr Micros kTickPeriod = 20 * kMillisecond;

/// One entry VM as a deterministic machine: the same options, stored state and events give the same
/// effects.
class Node {
 public:
  /// `replica` is the data folder's id, or a random one for a diskless node.
  Node(NodeOptions options, replication::ReplicaId replica, replication::StoredState stored,
       Micros now, WallMs wall);
  ~Node();

  /// Handles one event and returns what the driver must do, in order. Messages that promise
  /// durability are held back until the SyncedEvent, so a driver may write to the disk in another
  /// thread. Throws InvariantViolation.
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

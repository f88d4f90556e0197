#ifndef GODWITPADDLE_NODE_COMMON_EVENTS_H_
#define GODWITPADDLE_NODE_COMMON_EVENTS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "node/messages.h"
#include "replication/replica.h"

/// Events and effects that the nodes of both halves of the program have in common: Node of the
/// request service, and CoreNode and EdgeNode of job control (control/). The halves share these,
/// the messages between nodes, `base/`, `replication/` and `runtime/`, and nothing else.
namespace godwitpaddle {

// ---- events ----

inline constexpr Micros kTickPeriod = 20 * kMillisecond;

/// Time has passed. The driver sends it at least once per kTickPeriod.
struct TickEvent {};

/// A message from another node arrived.
struct PeerEvent {
  PeerMessage message;
};

/// The batch of the PersistEffect with this token is durable.
struct SyncedEvent {
  std::uint64_t token = 0;
};

/// The caller closed the connection before the answer.
struct HttpClosedEvent {
  std::uint64_t connection = 0;
};

/// The process received SIGTERM: the node drains and then emits an ExitEffect.
struct ShutdownEvent {};

// ---- effects ----

/// Send a message to another node. Delivery is not guaranteed.
struct SendEffect {
  std::string address;
  PeerMessage message;
};

/// Write a batch to the disk; a SyncedEvent with its token follows.
struct PersistEffect {
  replication::PersistBatch batch;
};

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

/// One log line "event=NAME key=value ...".
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

/// Exit the process: status 0 after a graceful shutdown, else `reason` is an error.
struct ExitEffect {
  int status = 0;
  std::string reason;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_COMMON_EVENTS_H_

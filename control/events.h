#ifndef GODWITPADDLE_CONTROL_EVENTS_H_
#define GODWITPADDLE_CONTROL_EVENTS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/calls.h"
#include "jobs/orders.h"
#include "node/common_events.h"

/// Input events and output effects of the deterministic nodes in this package.
namespace godwitpaddle::jobs {

/// A call from a client, operator or worker that arrived at this node.
struct CallEvent {
  std::uint64_t connection = 0;
  Call call;
  std::int64_t timeout_ms = 0;  // how long the caller waits for the answer
};

/// The settings were reloaded with different seeds (peer addresses).
struct SeedsEvent {
  std::vector<std::string> seeds;
};

using Event = std::variant<TickEvent, PeerEvent, SyncedEvent, CallEvent, HttpClosedEvent,
                           OrderEvent, VmEvent, SeedsEvent, ShutdownEvent>;

/// Answers the call that arrived on the connection.
struct AnswerEffect {
  std::uint64_t connection = 0;
  Answer answer;
};

using Effect = std::variant<SendEffect, PersistEffect, AnswerEffect, OrderEffect, VmEffect,
                            LogEffect, MetricEffect, ExitEffect>;

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Collects the effects that a node produces in one step.
struct Outbox {
  std::vector<Effect> effects;

  template <typename T>
  void Add(T effect) {
    effects.emplace_back(std::move(effect));
  }
  void Send(std::string address, PeerMessage message) {
    Add(SendEffect{.address = std::move(address), .message = std::move(message)});
  }
  void Log(std::string event, Fields fields, Severity severity = Severity::kInfo) {
    Add(LogEffect{.severity = severity, .event = std::move(event), .fields = std::move(fields)});
  }
  void Count(std::string name, double value = 1) {
    Add(MetricEffect{.name = std::move(name), .value = value});
  }
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_EVENTS_H_

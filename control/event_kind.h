#ifndef GODWITPADDLE_CONTROL_EVENT_KIND_H_
#define GODWITPADDLE_CONTROL_EVENT_KIND_H_

#include <cstdint>

#include "base/enum_names.h"
#include "control/events.h"

namespace godwitpaddle::jobs {

/// Kinds of events of a node, by what waits for them.
enum class EventKind : std::uint8_t {
  kTick,
  kReplication,   // messages and syncs of the replicated log
  kLeaderSearch,  // queries for the leader, and joins
  kOrderReply,    // from workers
  kVmReply,       // from the platform
  kControlCall,   // of operators, and leave calls of workers
  kHeartbeat,
  kClientCall,
  kReply,         // the leader's answers to calls that this node forwarded
  kRelayedOrder,  // of the leader, for this node to send
  kOther,
};
inline constexpr EnumNames<11> kEventKindNames = {
    "tick",      "replication", "leader_search", "order_reply",   "vm_reply", "control_call",
    "heartbeat", "client_call", "reply",         "relayed_order", "other"};

EventKind KindOf(const Event& event);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_EVENT_KIND_H_

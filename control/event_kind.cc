#include "control/event_kind.h"

#include <variant>

namespace godwitpaddle::jobs {
namespace {

EventKind KindOfCall(const Call& call) {
  if (std::holds_alternative<JobCall>(call)) return EventKind::kClientCall;
  if (std::holds_alternative<HeartbeatCall>(call)) return EventKind::kHeartbeat;
  return EventKind::kControlCall;
}

struct KindOfMessage {
  EventKind operator()(const ReplicationFrame& /*message*/) const {
    return EventKind::kReplication;
  }
  EventKind operator()(const Join& /*message*/) const { return EventKind::kLeaderSearch; }
  EventKind operator()(const JoinReply& /*message*/) const { return EventKind::kLeaderSearch; }
  EventKind operator()(const LeaderQuery& /*message*/) const { return EventKind::kLeaderSearch; }
  EventKind operator()(const LeaderInfo& /*message*/) const { return EventKind::kLeaderSearch; }
  EventKind operator()(const CallRequest& message) const { return KindOfCall(message.call); }
  EventKind operator()(const CallReply& /*message*/) const { return EventKind::kReply; }
  EventKind operator()(const OrderBatch& /*message*/) const { return EventKind::kRelayedOrder; }
  EventKind operator()(const OrderReplyBatch& /*message*/) const { return EventKind::kOrderReply; }
  template <typename Other>
  EventKind operator()(const Other& /*message*/) const {
    return EventKind::kOther;
  }
};

struct KindOfEvent {
  EventKind operator()(const TickEvent& /*event*/) const { return EventKind::kTick; }
  EventKind operator()(const SyncedEvent& /*event*/) const { return EventKind::kReplication; }
  EventKind operator()(const PeerEvent& event) const {
    return std::visit(KindOfMessage{}, event.message);
  }
  EventKind operator()(const OrderEvent& /*event*/) const { return EventKind::kOrderReply; }
  EventKind operator()(const VmEvent& /*event*/) const { return EventKind::kVmReply; }
  EventKind operator()(const CallEvent& event) const { return KindOfCall(event.call); }
  template <typename Other>
  EventKind operator()(const Other& /*event*/) const {
    return EventKind::kOther;
  }
};

}  // namespace

EventKind KindOf(const Event& event) { return std::visit(KindOfEvent{}, event); }

}  // namespace godwitpaddle::jobs

#ifndef GODWITPADDLE_NODE_MESSAGES_H_
#define GODWITPADDLE_NODE_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "base/time.h"
#include "decision/commands.h"
#include "decision/planners.h"
#include "decision/pool_scheduler.h"
#include "jobs/calls.h"
#include "replication/messages.h"

namespace godwitpaddle {

/// A replication message between two replicas.
struct ReplicationFrame {
  std::uint32_t group = 0;
  replication::ReplicaId from;
  replication::ReplicaId to;
  replication::Message message;
  MSGPACK_DEFINE(group, from, to, message)
};

/// Asks to become a member. Repeated until the node finds itself in the membership.
struct Join {
  replication::ReplicaId replica;
  replication::Member member;
  MSGPACK_DEFINE(replica, member)
};

/// Tells a joining node whom to ask instead.
struct JoinReply {
  bool accepted = false;
  std::string leader_address;
  MSGPACK_DEFINE(accepted, leader_address)
};

/// Asks for a node lease and reports to the leader.
struct LeaseRenew {
  Incarnation incarnation;
  NodeRecord record;
  std::uint64_t seq = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t acknowledged_report =
      0;  // seq of the report that this one is a change to; 0 for a full one
  NodeReport report;
  MSGPACK_DEFINE(incarnation, record, seq, applied_index, acknowledged_report, report)
};

struct LeaseGrant {
  Incarnation incarnation;
  std::uint64_t seq = 0;
  std::uint64_t commit_index = 0;
  bool granted = false;
  bool lease_expired = false;      // the incarnation lapsed: take a new one
  bool wants_full_report = false;  // the leader lacks the report that this one changes
  std::string leader_address;      // where to renew when not granted
  MSGPACK_DEFINE(incarnation, seq, commit_index, granted, lease_expired, wants_full_report,
                 leader_address)
};

/// A caller's request as its gateway hands it to the pool's owner. The attempt id is unique per
/// call.
struct Forward {
  std::string attempt;
  std::uint64_t send_seq = 0;  // grows with each sending of the attempt
  std::string gateway_address;
  QueueId queue;
  TeamId team;
  std::string request_id;  // the caller's, may be empty on idempotent queues
  Priority priority = Priority::kNormal;
  TaskSize size;
  std::int64_t remaining_ms = 0;  // until the deadline
  bool asynchronous = false;
  std::map<std::string, std::string> headers;  // handed on to the backend server
  std::string body;
  MSGPACK_DEFINE(attempt, send_seq, gateway_address, queue, team, request_id, priority, size,
                 remaining_ms, asynchronous, headers, body)
};

/// Why a request was not answered by a backend server.
struct ForwardRefusal {
  std::string error;
  std::string message;
  bool not_run = true;
  std::int64_t retry_after_ms = 0;
  MSGPACK_DEFINE(error, message, not_run, retry_after_ms)
};

/// The end of an attempt at one owner. `again` asks the gateway to forward to the current owner.
struct ForwardAnswer {
  std::string attempt;
  std::uint64_t send_seq = 0;  // the latest copy that this answers
  Incarnation owner;
  bool retry = false;
  bool may_have_run = false;  // with `again` and refusals: an earlier place may have run it
  int status = 0;
  std::string content_type;
  std::string body;
  std::optional<ForwardRefusal> refusal;
  MSGPACK_DEFINE(attempt, send_seq, owner, retry, may_have_run, status, content_type, body, refusal)
};

/// The owner holds the attempt; the gateway need not repeat it so soon.
struct ForwardAccepted {
  std::string attempt;
  MSGPACK_DEFINE(attempt)
};

/// Cancels by request id, or by attempt when the caller is gone.
struct ForwardCancel {
  std::string cancel_attempt;  // attempt of the cancelling call, to be answered; may be empty
  std::string gateway_address;
  std::string attempt;  // attempt to cancel; may be empty
  QueueId queue;
  TeamId team;
  std::string request_id;
  MSGPACK_DEFINE(cancel_attempt, gateway_address, attempt, queue, team, request_id)
};

/// Asks for the state or answer of an asynchronous request.
struct ForwardQuery {
  std::string attempt;
  std::string gateway_address;
  QueueId queue;
  TeamId team;
  std::string request_id;
  MSGPACK_DEFINE(attempt, gateway_address, queue, team, request_id)
};

struct AnnounceRelay {
  std::string relay;  // unique per call
  std::string gateway_address;
  Announcement announcement;
  MSGPACK_DEFINE(relay, gateway_address, announcement)
};

struct AnnounceReply {
  std::string relay;
  bool accepted = false;
  std::string error;
  std::uint64_t epoch = 0;
  std::int64_t announce_after_ms = 0;
  std::int64_t lease_ms = 0;
  std::vector<std::string> renewed;
  MSGPACK_DEFINE(relay, accepted, error, epoch, announce_after_ms, lease_ms, renewed)
};

/// Asks the leader to append a command; its answer follows once it is applied there.
struct Propose {
  std::string proposal;  // unique per call; empty when no answer is wanted
  std::string reply_address;
  CommandBody body;
  MSGPACK_DEFINE(proposal, reply_address, body)
};

struct ProposeReply {
  std::string proposal;
  bool accepted = false;  // false: not the leader, or lost on a change of leader; try again
  std::uint64_t index = 0;
  ApplyResult result;
  MSGPACK_DEFINE(proposal, accepted, index, result)
};

/// A node asks the leader for its fleet view (status); answered as JSON text.
struct StatusQuery {
  std::string query;
  std::string reply_address;
  MSGPACK_DEFINE(query, reply_address)
};

struct StatusReply {
  std::string query;
  std::string json;
  MSGPACK_DEFINE(query, json)
};

using PeerMessage =
    std::variant<ReplicationFrame, Join, JoinReply, LeaseRenew, LeaseGrant, Forward, ForwardAnswer,
                 ForwardAccepted, ForwardCancel, ForwardQuery, AnnounceRelay, AnnounceReply,
                 Propose, ProposeReply, StatusQuery, StatusReply, jobs::LeaderQuery,
                 jobs::LeaderInfo, jobs::CallRequest, jobs::CallReply>;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_MESSAGES_H_

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
#include "jobs/relayed_orders.h"
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

/// A node asks that its replica be added to the replication group as a learner. The node resends
/// the request until the membership lists the replica and a leader is known.
struct Join {
  replication::ReplicaId replica;
  replication::Member member;
  MSGPACK_DEFINE(replica, member)
};

/// Answer to a Join. If it was not accepted, `leader_address` names the node to ask instead; empty
/// if no leader is known.
struct JoinReply {
  bool accepted = false;
  std::string leader_address;
  MSGPACK_DEFINE(accepted, leader_address)
};

/// Asks the leader to grant or renew the node lease, and carries the node's report.
struct LeaseRenew {
  Incarnation incarnation;
  NodeRecord record;
  std::uint64_t seq = 0;
  std::uint64_t applied_index = 0;
  // seq of the last acknowledged report; `report` lists the changes since that one. 0: full report
  std::uint64_t acknowledged_report = 0;
  NodeReport report;
  MSGPACK_DEFINE(incarnation, record, seq, applied_index, acknowledged_report, report)
};

/// The leader's answer to a LeaseRenew.
struct LeaseGrant {
  Incarnation incarnation;
  std::uint64_t seq = 0;
  std::uint64_t commit_index = 0;
  bool granted = false;
  bool lease_expired = false;      // the node must take a new incarnation
  bool wants_full_report = false;  // the leader lacks the report to which the changes refer
  std::string leader_address;      // where to renew if the lease was not granted; empty: unknown
  MSGPACK_DEFINE(incarnation, seq, commit_index, granted, lease_expired, wants_full_report,
                 leader_address)
};

/// A caller's request that its gateway forwards to the pool's owner. The attempt id is unique per
/// call.
struct Forward {
  std::string attempt;
  std::uint64_t send_seq = 0;  // number of times that the attempt was sent, this one included
  std::string gateway_address;
  QueueId queue;
  TeamId team;
  std::string request_id;  // set by the caller; may be empty on idempotent queues
  Priority priority = Priority::kNormal;
  TaskSize size;
  std::int64_t remaining_ms = 0;  // time left until the deadline
  bool asynchronous = false;
  std::map<std::string, std::string> headers;  // passed on to the backend server
  std::string body;
  MSGPACK_DEFINE(attempt, send_seq, gateway_address, queue, team, request_id, priority, size,
                 remaining_ms, asynchronous, headers, body)
};

/// Why a request has no answer of a backend server. `not_run` is true if no backend server has run
/// any part of it. `retry_after_ms`: 0 if no retry is suggested.
struct ForwardRefusal {
  std::string error;
  std::string message;
  bool not_run = true;
  std::int64_t retry_after_ms = 0;
  MSGPACK_DEFINE(error, message, not_run, retry_after_ms)
};

/// The result of an attempt at one owner. `retry` asks the gateway to forward the request to the
/// current owner of the pool.
struct ForwardAnswer {
  std::string attempt;
  std::uint64_t send_seq = 0;  // the highest send_seq of the attempt that the owner received
  Incarnation owner;
  bool retry = false;
  bool may_have_run = false;  // for `retry`, `refusal`: a backend server may have run the request
  int status = 0;
  std::string content_type;
  std::string body;
  std::optional<ForwardRefusal> refusal;
  MSGPACK_DEFINE(attempt, send_seq, owner, retry, may_have_run, status, content_type, body, refusal)
};

/// Tells the gateway that the pool's owner has received the attempt and holds its request in
/// memory. When it arrives, the gateway answers an asynchronous caller with HTTP status 202.
struct ForwardAccepted {
  std::string attempt;
  MSGPACK_DEFINE(attempt)
};

/// Asks the pool's owner to cancel a request. The request is given by its id, or by its attempt if
/// the caller closed the connection.
struct ForwardCancel {
  std::string cancel_attempt;  // attempt of the call that cancels, for the answer; empty: no answer
  std::string gateway_address;
  std::string attempt;  // attempt to cancel; empty: cancel by request id
  QueueId queue;
  TeamId team;
  std::string request_id;
  MSGPACK_DEFINE(cancel_attempt, gateway_address, attempt, queue, team, request_id)
};

/// Asks the pool's owner for the state or answer of an asynchronous request.
struct ForwardQuery {
  std::string attempt;
  std::string gateway_address;
  QueueId queue;
  TeamId team;
  std::string request_id;
  MSGPACK_DEFINE(attempt, gateway_address, queue, team, request_id)
};

/// A backend server's announcement, forwarded by a gateway to the pool's owner.
struct AnnounceRelay {
  std::string relay;  // unique per call
  std::string gateway_address;
  Announcement announcement;
  MSGPACK_DEFINE(relay, gateway_address, announcement)
};

/// The owner's answer to an AnnounceRelay. `renewed` lists the tasks whose leases are renewed for
/// `lease_ms`.
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

/// Asks the leader to append a command. The leader answers once it has applied the command.
struct Propose {
  std::string proposal;  // unique per call; empty: no answer is sent
  std::string reply_address;
  CommandBody body;
  MSGPACK_DEFINE(proposal, reply_address, body)
};

struct ProposeReply {
  std::string proposal;
  bool accepted = false;  // false: the receiver is not the leader or lost leadership: retry
  std::uint64_t index = 0;
  ApplyResult result;
  MSGPACK_DEFINE(proposal, accepted, index, result)
};

/// Asks the leader for the status of the fleet, see StatusJson.
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
                 jobs::LeaderInfo, jobs::CallRequest, jobs::CallReply, jobs::OrderBatch,
                 jobs::OrderReplyBatch>;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_MESSAGES_H_

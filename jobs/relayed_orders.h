#ifndef GODWITPADDLE_JOBS_RELAYED_ORDERS_H_
#define GODWITPADDLE_JOBS_RELAYED_ORDERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/orders.h"
#include "replication/messages.h"

/// Messages between the leader and the core nodes that relay its orders to workers.
namespace godwitpaddle::jobs {

/// Orders that the receiver sends to workers for the leader of `term`. A receiver that knows a
/// later term sends none of them.
struct OrderBatch {
  std::string reply_address;
  replication::Term term = 0;
  /// Process of the receiver to which OrderEffect::newest_connection refers: another one numbers
  /// its connections anew.
  std::uint64_t session = 0;
  /// The receiver's monotonic clock showed at least this when the batch was sent.
  Micros given_at = 0;
  std::vector<OrderEffect> orders;
  MSGPACK_DEFINE(reply_address, term, session, given_at, orders)
};

/// The workers' replies, with the tokens of the orders.
struct OrderReplyBatch {
  std::string relay_address;
  std::uint64_t session = 0;  // process of the sender, to which OrderReply::connection refers
  replication::Term term = 0;
  std::vector<OrderEvent> replies;
  MSGPACK_DEFINE(relay_address, session, term, replies)
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_RELAYED_ORDERS_H_

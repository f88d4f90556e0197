#ifndef GODWITPADDLE_CONTROL_ORDER_RELAY_H_
#define GODWITPADDLE_CONTROL_ORDER_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "control/events.h"
#include "jobs/relayed_orders.h"

namespace godwitpaddle::jobs {

/// Sends the leader's orders to workers and returns their replies, so that the leader's processor
/// does not carry a connection to each worker. It decides nothing: the leader treats an order whose
/// reply does not come as one that may have been carried out.
class OrderRelay {
 public:
  /// `session` identifies this process.
  OrderRelay(std::string own_address, std::uint64_t session);

  /// Sends the orders, or replies that they were not sent: if a later term than theirs is known, if
  /// they were given long ago, or if they refer to connections of an earlier process.
  void OnBatch(const OrderBatch& batch, replication::Term known_term, Micros now, Outbox& out);
  /// Returns false if the order is not one that was relayed.
  bool OnReply(const OrderEvent& event);
  /// Sends the replies that have come, several at once while many come. Call after each event.
  void Flush(Micros now, bool tick, Outbox& out);

  /// Number of orders without a reply.
  std::size_t in_flight() const { return sent_.size(); }

 private:
  /// Who waits for the reply to an order.
  struct Requester {
    std::string address;
    replication::Term term = 0;
    std::uint64_t token = 0;
  };

  void AddReply(const Requester& requester, OrderReply reply);

  const std::string own_address_;
  const std::uint64_t session_;
  std::uint64_t next_token_;
  std::unordered_map<std::uint64_t, Requester> sent_;         // by token
  std::unordered_map<std::string, OrderReplyBatch> replies_;  // by address of the leader
  Micros last_flush_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_ORDER_RELAY_H_

#ifndef GODWITPADDLE_CONTROL_ORDER_ROUTER_H_
#define GODWITPADDLE_CONTROL_ORDER_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "control/events.h"
#include "jobs/calls.h"
#include "jobs/relayed_orders.h"

namespace godwitpaddle::jobs {

struct OrderRouterOptions {
  std::string own_address;
  std::size_t min_workers = 256;  // with fewer workers the leader sends all orders itself
};

/// Divides the leader's orders to workers among the core nodes that relay them. The orders of one
/// worker take the same way for as long as it works, so that they share connections. A worker whose
/// order failed on its way is called directly for a while.
///
/// A reply that does not come in time counts as unknown, as does every reply of a relay that has
/// gone silent. Connections of relays get numbers that do not collide with those of other processes
/// (ConnectionId), and an order that must use a connection of another way is not sent.
class OrderRouter {
 public:
  explicit OrderRouter(OrderRouterOptions options) : options_(std::move(options)) {}

  /// Handles the query of a core node that relays orders, or that does not any more.
  void OnOffer(const LeaderQuery& offer, Micros now, Outbox& out);
  /// Takes the orders that relays send out of the effects, and adds messages to these relays.
  void Route(replication::Term term, std::size_t workers, Micros now, Outbox& out);
  /// Returns the replies to orders that wait for one.
  std::vector<OrderEvent> OnReplies(OrderReplyBatch batch, Micros now);
  /// Returns the replies that will not come or that this node gives itself. Call regularly. All
  /// replies that had arrived by `now` must have been handled.
  std::vector<OrderEvent> TakeFailed(Micros now, Outbox& out);
  /// Forgets all orders. Call when the term as leader ends.
  void Clear();

 private:
  /// Part of a ConnectionId that identifies the relay's process; 0: this node.
  using Slot = std::uint64_t;

  struct Relay {
    std::uint64_t session = 0;
    Slot slot = 0;
    Micros offered_at = 0;  // when its newest offer came
    Micros offer_time = 0;  // when it was sent, on the relay's clock
  };
  struct PendingOrder {
    Slot slot = 0;
    WorkerId worker;
    bool bound = false;  // to a connection: that none is free says nothing about the way
  };
  using Deadline = std::pair<Micros, std::uint64_t>;  // time, token

  /// Returns the address of the relay for the worker; nullptr: this node sends its orders.
  const std::string* ChooseRelay(const WorkerId& worker, Micros now);
  /// Whether the order may take this way: it uses no connection of another one.
  static bool MayUse(const OrderEffect& order, Slot slot);
  void Fail(std::uint64_t token, OrderOutcome outcome);
  /// Stops the use of the relay until its next offer. No reply to its orders is expected.
  void Abandon(const std::string& address, Relay& relay, Outbox& out);
  void CallDirectly(const WorkerId& worker, Micros now);
  static bool IsUsable(const Relay& relay, Micros now);

  OrderRouterOptions options_;
  std::map<std::string, Relay> relays_;  // by address
  Slot last_slot_ = 0;
  std::unordered_map<std::uint64_t, PendingOrder> pending_;  // by token
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
  std::unordered_map<WorkerId, Micros> direct_until_;
  std::vector<OrderEvent> failed_;
  Micros last_check_ = 0;
  Micros no_expiry_until_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_ORDER_ROUTER_H_

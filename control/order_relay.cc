#include "control/order_relay.h"

#include <utility>

namespace godwitpaddle::jobs {
namespace {

/// Tokens of relayed orders begin here, those of this node's own orders, as a leader, at 1.
constexpr std::uint64_t kFirstToken = 1ULL << 63U;
/// Longest time from the sending of a batch until its orders are sent, shorter than any lease. A
/// process that was suspended finds batches of long before. The next incarnation of a worker, which
/// knows nothing of earlier orders, would carry them out.
constexpr Micros kMaxAge = 1'500 * kMillisecond;
/// Replies that come within this time share a message.
constexpr Micros kFlushPause = 10 * kMillisecond;

}  // namespace

OrderRelay::OrderRelay(std::string own_address, std::uint64_t session)
    : own_address_(std::move(own_address)), session_(session), next_token_(kFirstToken) {}

void OrderRelay::OnBatch(const OrderBatch& batch, replication::Term known_term, Micros now,
                         Outbox& out) {
  const Micros deadline = batch.given_at + kMaxAge;
  const bool outdated = batch.term < known_term || now > deadline;
  for (const OrderEffect& order : batch.orders) {
    const Requester requester{
        .address = batch.reply_address, .term = batch.term, .token = order.token};
    const bool other_process = order.newest_connection != 0 && batch.session != session_;
    if (outdated || other_process) {
      AddReply(requester, {.outcome = OrderOutcome::kNotSent});
      continue;
    }
    OrderEffect relayed = order;
    relayed.token = next_token_++;
    relayed.send_deadline = deadline;
    sent_.emplace(relayed.token, requester);
    out.Add(std::move(relayed));
  }
}

bool OrderRelay::OnReply(const OrderEvent& event) {
  const auto found = sent_.find(event.token);
  if (found == sent_.end()) return event.token >= kFirstToken;
  AddReply(found->second, event.reply);
  sent_.erase(found);
  return true;
}

void OrderRelay::AddReply(const Requester& requester, OrderReply reply) {
  OrderReplyBatch& batch = replies_[requester.address];
  batch.relay_address = own_address_;
  batch.session = session_;
  // Replies to orders of an earlier term have no use.
  if (requester.term < batch.term) return;
  if (requester.term > batch.term) batch.replies.clear();
  batch.term = requester.term;
  batch.replies.push_back({.token = requester.token, .reply = std::move(reply)});
}

void OrderRelay::Flush(Micros now, bool tick, Outbox& out) {
  if (replies_.empty() || (!tick && now - last_flush_ < kFlushPause)) return;
  last_flush_ = now;
  for (auto& [address, batch] : std::exchange(replies_, {})) out.Send(address, std::move(batch));
}

}  // namespace godwitpaddle::jobs

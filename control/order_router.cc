#include "control/order_router.h"

#include <algorithm>
#include <string_view>

namespace godwitpaddle::jobs {
namespace {

/// Core nodes repeat their offer every 0.4 s.
constexpr Micros kOfferValid = 1'200 * kMillisecond;
/// Time for the ways from this node to the relay and back, beyond the timeout of the order.
constexpr Micros kWayTime = 500 * kMillisecond;
/// Longest time between two checks if the process was not suspended, and the time to read what has
/// arrived meanwhile.
constexpr Micros kMaxCheckPause = 100 * kMillisecond;
constexpr Micros kCatchUp = 200 * kMillisecond;
constexpr Micros kDirectAfterFailure = 5 * kSecond;
constexpr std::size_t kPurgeAbove = 64;  // entries of workers that are called directly
/// Bits of a ConnectionId that hold the number of the connection; the others hold the slot.
constexpr unsigned kNumberBits = 48;
constexpr ConnectionId kNumberMask = (1ULL << kNumberBits) - 1;

std::uint64_t SlotOf(ConnectionId connection) { return connection >> kNumberBits; }

/// Weight of a relay for a worker. The relay with the highest weight carries the worker's orders,
/// so that only the workers of a lost relay change theirs.
std::size_t Weight(const WorkerId& worker, const std::string& relay) {
  constexpr std::size_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  const std::size_t mixed =
      (std::hash<std::string_view>{}(worker) ^ std::hash<std::string_view>{}(relay)) * kMultiplier;
  return mixed ^ (mixed >> 32U);
}

}  // namespace

void OrderRouter::OnOffer(const LeaderQuery& offer, Micros now, Outbox& out) {
  const std::string& address = offer.reply_address;
  if (address == options_.own_address) return;
  if (offer.relay_session == 0) {
    // Its replies still come. If they do not, they expire.
    const auto known = relays_.find(address);
    if (known != relays_.end()) known->second.offered_at = 0;
    return;
  }
  Relay& relay = relays_[address];
  if (relay.session != offer.relay_session) {
    if (relay.session != 0) Abandon(address, relay, out);
    relay.session = offer.relay_session;
    relay.slot = ++last_slot_;
    out.Log("relay_found", {{"address", address}});
  }
  relay.offered_at = now;
  relay.offer_time = offer.relay_time;
}

bool OrderRouter::IsUsable(const Relay& relay, Micros now) {
  return relay.offered_at != 0 && now - relay.offered_at < kOfferValid;
}

const std::string* OrderRouter::ChooseRelay(const WorkerId& worker, Micros now) {
  const auto direct = direct_until_.find(worker);
  if (direct != direct_until_.end()) {
    if (now < direct->second) return nullptr;
    direct_until_.erase(direct);
  }
  const std::string* chosen = nullptr;
  std::size_t highest = 0;
  for (const auto& [address, relay] : relays_) {
    if (!IsUsable(relay, now)) continue;
    const std::size_t weight = Weight(worker, address);
    if (chosen != nullptr && weight <= highest) continue;
    chosen = &address;
    highest = weight;
  }
  return chosen;
}

bool OrderRouter::MayUse(const OrderEffect& order, Slot slot) {
  return order.newest_connection == 0 || SlotOf(order.newest_connection) == slot;
}

void OrderRouter::Route(replication::Term term, std::size_t workers, Micros now, Outbox& out) {
  const bool has_order = std::ranges::any_of(out.effects, [](const Effect& effect) {
    return std::holds_alternative<OrderEffect>(effect);
  });
  if (!has_order) return;
  const bool relays_orders = workers >= options_.min_workers && !relays_.empty();
  std::map<std::string_view, OrderBatch> batches;  // by address of the relay
  std::erase_if(out.effects, [&](Effect& effect) {
    auto* order = std::get_if<OrderEffect>(&effect);
    if (order == nullptr) return false;
    const std::string* address = relays_orders ? ChooseRelay(order->worker, now) : nullptr;
    const Relay* relay = address == nullptr ? nullptr : &relays_.at(*address);
    if (!MayUse(*order, relay == nullptr ? 0 : relay->slot)) {
      Fail(order->token, OrderOutcome::kNotSent);
      return true;
    }
    if (relay == nullptr) return false;
    pending_.emplace(order->token, PendingOrder{.slot = relay->slot,
                                                .worker = order->worker,
                                                .bound = order->newest_connection != 0});
    deadlines_.emplace(now + order->timeout_ms * kMillisecond + kWayTime, order->token);
    order->newest_connection &= kNumberMask;
    OrderBatch& batch = batches[*address];
    batch.session = relay->session;
    batch.given_at = relay->offer_time + (now - relay->offered_at);
    batch.orders.push_back(std::move(*order));
    return true;
  });
  for (auto& [address, batch] : batches) {
    out.Count("orders_relayed_total", static_cast<double>(batch.orders.size()));
    batch.reply_address = options_.own_address;
    batch.term = term;
    out.Send(std::string(address), std::move(batch));
  }
}

std::vector<OrderEvent> OrderRouter::OnReplies(OrderReplyBatch batch, Micros now) {
  const auto found = relays_.find(batch.relay_address);
  if (found == relays_.end() || found->second.session != batch.session) return {};
  const Slot slot = found->second.slot;
  std::erase_if(batch.replies, [&](OrderEvent& event) {
    const auto pending = pending_.find(event.token);
    if (pending == pending_.end() || pending->second.slot != slot) return true;
    OrderReply& reply = event.reply;
    const bool not_sent = reply.outcome == OrderOutcome::kNotSent && !pending->second.bound;
    if (not_sent || reply.outcome == OrderOutcome::kUnknown) {
      CallDirectly(pending->second.worker, now);
    }
    if (reply.connection != 0) reply.connection |= slot << kNumberBits;
    pending_.erase(pending);
    return false;
  });
  return std::move(batch.replies);
}

std::vector<OrderEvent> OrderRouter::TakeFailed(Micros now, Outbox& out) {
  // After a pause of this process, replies and offers may wait in its sockets.
  if (now - std::exchange(last_check_, now) > kMaxCheckPause) no_expiry_until_ = now + kCatchUp;
  if (now < no_expiry_until_) return std::exchange(failed_, {});
  for (auto& [address, relay] : relays_) {
    if (relay.offered_at != 0 && !IsUsable(relay, now)) Abandon(address, relay, out);
  }
  while (!deadlines_.empty() && deadlines_.top().first <= now) {
    const std::uint64_t token = deadlines_.top().second;
    deadlines_.pop();
    const auto pending = pending_.find(token);
    if (pending == pending_.end()) continue;
    CallDirectly(pending->second.worker, now);
    pending_.erase(pending);
    Fail(token, OrderOutcome::kUnknown);
  }
  return std::exchange(failed_, {});
}

void OrderRouter::Abandon(const std::string& address, Relay& relay, Outbox& out) {
  relay.offered_at = 0;
  const std::size_t unanswered = std::erase_if(pending_, [&](const auto& entry) {
    if (entry.second.slot != relay.slot) return false;
    Fail(entry.first, OrderOutcome::kUnknown);
    return true;
  });
  out.Log("relay_silent", {{"address", address}, {"unanswered", std::to_string(unanswered)}},
          Severity::kWarning);
}

void OrderRouter::Fail(std::uint64_t token, OrderOutcome outcome) {
  failed_.push_back({.token = token, .reply = {.outcome = outcome}});
}

void OrderRouter::CallDirectly(const WorkerId& worker, Micros now) {
  if (direct_until_.size() > kPurgeAbove) {
    std::erase_if(direct_until_, [now](const auto& entry) { return entry.second <= now; });
  }
  direct_until_[worker] = now + kDirectAfterFailure;
}

void OrderRouter::Clear() {
  pending_.clear();
  deadlines_ = {};
  direct_until_.clear();
  failed_.clear();
}

}  // namespace godwitpaddle::jobs

#include "control/vm_orders.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kOrderRetry = 500 * kMillisecond;
/// Orders may be sent together that the platform accepts within this time.
constexpr double kBurstSeconds = 0.25;
constexpr Micros kListRetry = kSecond;
/// Pause before the list is requested again after an empty one: VMs may start after the leader.
constexpr Micros kEmptyListRetry = 2 * kSecond;
/// An order is not sent later than this after the leader's lease was checked. The next leader waits
/// for longer than this (`takeover_ms`).
constexpr Micros kMaxSendDelay = 500 * kMillisecond;
/// Largest difference between the wall clocks of two nodes.
constexpr std::int64_t kMaxClockSkewMs = 1'000;

std::string OrderName(const VmOrder& order) {
  if (std::holds_alternative<MoveVm>(order)) return "move to " + std::get<MoveVm>(order).pool;
  if (const auto* maintain = std::get_if<MaintainVm>(&order)) {
    return "maintain for wave " + std::to_string(maintain->wave);
  }
  return "list";
}

/// Whether the call was certainly not carried out, for lack of time or of a connection.
bool HadNoTime(VmOutcome outcome) {
  return outcome == VmOutcome::kThrottled || outcome == VmOutcome::kNotSent;
}

/// Whether the order was certainly executed or will certainly never be. Orders with another outcome
/// are retried.
bool IsFinal(VmOutcome outcome) { return outcome != VmOutcome::kUnknown && !HadNoTime(outcome); }

}  // namespace

void VmOrders::BeginTerm(std::uint64_t fencing_token, Micros now) {
  EndTerm();
  fencing_token_ = fencing_token;
  term_began_ = now;
  now_ = now;
  list_due_ = true;
}

void VmOrders::EndTerm() {
  fencing_token_ = 0;
  sent_.clear();
  orders_.clear();
  due_.clear();
  waiting_.clear();
  active_ = 0;
  claims_.clear();
  vms_.clear();
  partial_list_.clear();
  busy_until_ = 0;
  list_in_flight_ = false;
  next_page_.clear();
}

bool VmOrders::TakeoverElapsed(Micros now) const {
  return fencing_token_ != 0 && now - term_began_ >= options_.takeover_ms * kMillisecond;
}

bool VmOrders::MayOrder(const VmId& vm) const {
  if (fencing_token_ == 0) return false;
  const RecordVmOrder* record = state_.FindVmOrder(vm);
  if (record == nullptr || record->fencing_token == fencing_token_ || TakeoverElapsed(now_)) {
    return true;
  }
  const auto seen = seen_records_.find(vm);
  // An installed snapshot may hold a later record than the one that was applied here.
  if (seen != seen_records_.end() && seen->second.wall_ms == record->wall_ms) {
    return now_ - seen->second.at >= options_.takeover_ms * kMillisecond;
  }
  return wall_ - record->wall_ms >= options_.takeover_ms + kMaxClockSkewMs;
}

void VmOrders::OnRecorded(const RecordVmOrder& record, bool replayed, Micros now) {
  if (replayed) {
    seen_records_.erase(record.vm);
  } else {
    seen_records_[record.vm] = {.wall_ms = record.wall_ms, .at = now};
  }
  const auto order = orders_.find(record.vm);
  if (order == orders_.end() || record.fencing_token != fencing_token_) return;
  order->second.recorded = order->second.record_proposed;
  due_.emplace(0, record.vm);
}

void VmOrders::Order(const VmId& vm, VmOrder order, Done done) {
  if (orders_.contains(vm)) throw StateError(vm + " already has an order in progress");
  orders_[vm] = {.order = std::move(order), .done = std::move(done), .ordered = now_};
  due_.emplace(0, vm);
}

std::uint64_t VmOrders::Send(const VmId& vm, VmOrder order, Micros now, Outbox& out) {
  const std::uint64_t token = next_token_++;
  sent_[token] = vm;
  out.Add(VmEffect{.token = token,
                   .send_deadline = now + kMaxSendDelay,
                   .holder = options_.holder,
                   .fencing_token = fencing_token_,
                   .order = std::move(order)});
  return token;
}

void VmOrders::Tick(Micros now, WallMs wall, Outbox& out) {
  now_ = now;
  wall_ = wall;
  if (fencing_token_ == 0) return;
  if (list_due_ && !list_in_flight_ && now >= next_list_) {
    list_in_flight_ = true;
    Send({}, ListVms{.page = next_page_}, now, out);
  }
  std::vector<VmId> due;
  while (!due_.empty() && due_.begin()->first <= now) {
    due.push_back(due_.begin()->second);
    due_.erase(due_.begin());
  }
  for (const VmId& vm : due) Advance(vm, now, out);
  while (!waiting_.empty() && HasSlot(now)) {
    const VmId vm = std::move(waiting_.front());
    waiting_.pop_front();
    Advance(vm, now, out);
  }
}

void VmOrders::Advance(const VmId& vm, Micros now, Outbox& out) {
  const auto found = orders_.find(vm);
  if (found == orders_.end() || found->second.token != 0) return;
  PendingOrder& pending = found->second;
  if (!MayOrder(vm)) {
    due_.emplace(now + 1, vm);  // each tick examines it again
  } else if (pending.recorded) {
    pending.recorded = false;
    pending.record_proposed = false;
    ++pending.sends;
    pending.token = Send(vm, pending.order, now, out);
  } else if (!pending.record_proposed) {
    if (!TakeSlot(now)) {
      waiting_.push_back(vm);
      return;
    }
    pending.record_proposed = true;
    propose_(RecordVmOrder{.vm = vm, .fencing_token = fencing_token_, .wall_ms = wall_});
  }
}

bool VmOrders::HasSlot(Micros now) {
  if (options_.orders_per_s > 0) {
    const double passed = static_cast<double>(now - accepted_at_) / kSecond;
    const double most = std::max(1.0, options_.orders_per_s * kBurstSeconds);
    accepted_ = std::min(most, accepted_ + passed * options_.orders_per_s);
    accepted_at_ = now;
  }
  return active_ < kMaxVmOrdersInProgress && (options_.orders_per_s <= 0 || accepted_ >= 1);
}

bool VmOrders::TakeSlot(Micros now) {
  if (!HasSlot(now)) return false;
  ++active_;
  accepted_ -= 1;
  return true;
}

void VmOrders::OnReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out) {
  const auto sent = sent_.find(event.token);
  if (sent == sent_.end()) return;
  const VmId vm = sent->second;
  sent_.erase(sent);
  if (vm.empty()) return OnList(event.reply, now, out);
  const auto found = orders_.find(vm);
  if (found == orders_.end() || found->second.token != event.token) return;
  --active_;
  const VmOutcome outcome = event.reply.outcome;
  const Micros age = now - found->second.ordered;
  out.Log("vm_order",
          {{"vm", vm},
           {"order", OrderName(found->second.order)},
           {"outcome", std::string(NameOf(kVmOutcomeNames, outcome))},
           {"sends", std::to_string(found->second.sends)},
           {"age_ms", std::to_string(age / kMillisecond)}},
          found->second.sends > 1 ? Severity::kWarning : Severity::kInfo);
  found->second.may_be_done = found->second.may_be_done || outcome == VmOutcome::kUnknown;
  if (HadNoTime(outcome)) busy_until_ = now + kOrderRetry;
  const bool abandoned = HadNoTime(outcome) && !found->second.may_be_done &&
                         std::holds_alternative<MoveVm>(found->second.order);
  if (!IsFinal(outcome) && !abandoned) {
    found->second.token = 0;
    due_.emplace(now + kOrderRetry, vm);
    return;
  }
  const Done done = std::move(found->second.done);
  orders_.erase(found);
  done(outcome, now, wall, out);
}

void VmOrders::OnList(const VmReply& reply, Micros now, Outbox& out) {
  list_in_flight_ = false;
  if (reply.outcome != VmOutcome::kDone) {
    out.Log("vm_list_failed", {{"outcome", std::string(NameOf(kVmOutcomeNames, reply.outcome))}},
            Severity::kWarning);
    next_list_ = now + kListRetry;
    next_page_.clear();
    partial_list_.clear();
    return;
  }
  if (reply.unreadable > 0) {
    out.Log("vm_entries_unreadable", {{"entries", std::to_string(reply.unreadable)}},
            Severity::kWarning);
  }
  for (const VmRecord& vm : reply.vms) partial_list_[vm.vm] = vm;
  next_page_ = reply.next_page;
  if (!next_page_.empty()) return;
  vms_ = std::exchange(partial_list_, {});
  list_due_ = vms_.empty();
  next_list_ = now + kEmptyListRetry;
  out.Log("vms_listed", {{"vms", std::to_string(vms_.size())}});
}

}  // namespace godwitpaddle::jobs

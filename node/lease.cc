#include "node/lease.h"

#include <algorithm>

namespace godwitpaddle {
namespace {

// Bound on the unanswered renewals and unapplied grants that are kept. A grant for an older renewal
// would have expired already, since the lease is shorter than the time of this many renewals.
constexpr std::size_t kMaxUnanswered = 32;

template <typename Key, typename Value>
void Track(detail::ChangeTracker<Key, Value>& tracker, const std::map<Key, Value>& current,
           std::uint64_t seq) {
  for (const auto& [key, value] : current) tracker.Set(key, value, seq);
  tracker.ResetMissing(current, Value{}, seq);
}

}  // namespace

bool LeaseHolder::IsDue() const {
  const Micros period = renew_soon_ ? kMinRenewPeriod : kRenewPeriod;
  return context_.now - last_sent_ >= period;
}

void LeaseHolder::Tick(const NodeReport& report) {
  if (!IsDue() || context_.leader_address.empty()) return;
  renew_soon_ = false;
  last_sent_ = context_.now;
  ++seq_;
  Track(teams_, report.teams, seq_);
  Track(pools_, report.pools, seq_);
  Track(vms_, report.vms, seq_);
  Track(service_counts_, report.service_counts, seq_);

  NodeReport changes{.full = acknowledged_ == 0, .draining = report.draining};
  changes.teams = teams_.ChangedSince(acknowledged_);
  changes.pools = pools_.ChangedSince(acknowledged_);
  changes.vms = vms_.ChangedSince(acknowledged_);
  changes.service_counts = service_counts_.ChangedSince(acknowledged_);

  sent_at_[seq_] = context_.now;
  if (sent_at_.size() > kMaxUnanswered) sent_at_.erase(sent_at_.begin());
  context_.SendToLeader(LeaseRenew{
      .incarnation = context_.incarnation,
      .record = {.node = context_.options.node,
                 .region = context_.options.region,
                 .zone = context_.options.zone,
                 .peer_address = context_.options.peer_address},
      .seq = seq_,
      .applied_index = context_.state.applied_index,
      .acknowledged_report = acknowledged_,
      .report = std::move(changes),
  });
}

bool LeaseHolder::OnGrant(const LeaseGrant& grant) {
  if (grant.incarnation != context_.incarnation) return false;
  if (grant.lease_expired) return true;
  const auto sent = sent_at_.find(grant.seq);
  if (sent == sent_at_.end()) return false;
  const Micros until = sent->second + kNodeLease;
  sent_at_.erase(sent_at_.begin(), std::next(sent));
  if (!grant.granted) return false;
  if (grant.wants_full_report) {
    acknowledged_ = 0;
    renew_soon_ = true;
  } else {
    acknowledged_ = std::max(acknowledged_, grant.seq);
  }
  if (pending_grants_.size() >= kMaxUnanswered) pending_grants_.pop_front();
  pending_grants_.push_back({.commit_index = grant.commit_index, .until = until});
  OnApplied();
  return false;
}

void LeaseHolder::OnApplied() {
  while (!pending_grants_.empty() &&
         context_.state.applied_index >= pending_grants_.front().commit_index) {
    context_.lease_until = std::max(context_.lease_until, pending_grants_.front().until);
    pending_grants_.pop_front();
  }
}

void LeaseHolder::Reset() {
  context_.lease_until = 0;
  acknowledged_ = 0;
  renew_soon_ = true;
  sent_at_.clear();
  pending_grants_.clear();
  teams_.Clear();
  pools_.Clear();
  vms_.Clear();
  service_counts_.Clear();
}

}  // namespace godwitpaddle

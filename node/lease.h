#ifndef GODWITPADDLE_NODE_LEASE_H_
#define GODWITPADDLE_NODE_LEASE_H_

#include <cstdint>
#include <deque>
#include <map>

#include "node/context.h"
#include "node/messages.h"

namespace godwitpaddle {

namespace detail {

/// Tracks values of which a report contains only those that changed. Each report contains every
/// value that changed after the last acknowledged report, so no change is lost with a report and
/// the leader only has to overwrite its values.
template <typename Key, typename Value>
class ChangeTracker {
 public:
  void Set(const Key& key, const Value& value, std::uint64_t seq) {
    auto [entry, inserted] = entries_.try_emplace(key, Entry{value, seq});
    if (!inserted && !(entry->second.value == value)) entry->second = Entry{value, seq};
  }
  std::map<Key, Value> ChangedSince(std::uint64_t acknowledged) const {
    std::map<Key, Value> changed;
    for (const auto& [key, entry] : entries_) {
      if (entry.seq > acknowledged) changed.emplace(key, entry.value);
    }
    return changed;
  }
  /// Sets each tracked value whose key is missing from `current` to `empty`.
  void ResetMissing(const std::map<Key, Value>& current, const Value& empty, std::uint64_t seq) {
    for (auto& [key, entry] : entries_) {
      if (!current.contains(key) && !(entry.value == empty)) entry = Entry{empty, seq};
    }
  }
  void Clear() { entries_.clear(); }

 private:
  struct Entry {
    Value value;
    std::uint64_t seq = 0;
  };
  std::map<Key, Entry> entries_;
};

}  // namespace detail

/// Renews the node lease and reports to the leader.
class LeaseHolder {
 public:
  explicit LeaseHolder(NodeContext& context) : context_(context) {}

  /// Sends a renewal when one is due. `report` is the full current report.
  void Tick(const NodeReport& report);
  /// Returns whether a renewal is due. If not, the caller need not build a report.
  bool IsDue() const;
  /// Sends the next renewal as soon as kMinRenewPeriod allows.
  void RenewSoon() { renew_soon_ = true; }
  /// Handles the leader's answer. Returns true if the lease of this incarnation has expired for the
  /// leader, so that the node must take a new incarnation.
  bool OnGrant(const LeaseGrant& grant);
  /// Extends the lease by the grants whose commit index is now applied. A grant takes effect
  /// only then, so that a node with a lease has applied what was committed when the lease was
  /// granted.
  void OnApplied();
  /// Discards the lease and all reports, for a new incarnation.
  void Reset();

 private:
  NodeContext& context_;
  std::uint64_t seq_ = 0;
  std::uint64_t acknowledged_ = 0;
  Micros last_sent_ = 0;
  bool renew_soon_ = true;
  std::map<std::uint64_t, Micros> sent_at_;
  struct PendingGrant {
    std::uint64_t commit_index = 0;
    Micros until = 0;
  };
  std::deque<PendingGrant> pending_grants_;  // grants whose commit index is not yet applied
  detail::ChangeTracker<TeamId, TeamUsage> teams_;
  detail::ChangeTracker<PoolId, PoolUsage> pools_;
  detail::ChangeTracker<VmId, VmUsage> vms_;
  detail::ChangeTracker<QueueId, ServiceCounts> service_counts_;
};

inline constexpr Micros kRenewPeriod = 300 * kMillisecond;
inline constexpr Micros kMinRenewPeriod = 50 * kMillisecond;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_LEASE_H_

#ifndef GODWITPADDLE_NODE_LEASE_H_
#define GODWITPADDLE_NODE_LEASE_H_

#include <cstdint>
#include <deque>
#include <map>

#include "node/context.h"
#include "node/messages.h"

namespace godwitpaddle {

namespace detail {

/// Values that are reported by change. Every value changed after the last acknowledged report is
/// sent again, so that a lost report loses nothing and the leader only has to overwrite.
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
  /// Sets every value that `current` lacks to `empty`.
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
  /// True when Tick would send, so that the caller need not build the report otherwise.
  bool IsDue() const;
  /// Sends the next renewal as soon as kMinRenewPeriod allows.
  void RenewSoon() { renew_soon_ = true; }
  /// Handles a grant; true when this incarnation lapsed and the node must take a new one.
  bool OnGrant(const LeaseGrant& grant);
  /// A grant starts to count once its commit index is applied.
  void OnApplied();
  /// Starts over under a new incarnation.
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
  std::deque<PendingGrant> pending_grants_;  // grants whose commit index is not applied yet
  detail::ChangeTracker<TeamId, TeamUsage> teams_;
  detail::ChangeTracker<PoolId, PoolUsage> pools_;
  detail::ChangeTracker<VmId, VmUsage> vms_;
  detail::ChangeTracker<QueueId, ServiceCounts> service_counts_;
};

inline constexpr Micros kRenewPeriod = 300 * kMillisecond;
inline constexpr Micros kMinRenewPeriod = 50 * kMillisecond;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_LEASE_H_

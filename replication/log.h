#ifndef GODWITPADDLE_REPLICATION_LOG_H_
#define GODWITPADDLE_REPLICATION_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "replication/messages.h"

namespace godwitpaddle::replication {

/// The in-memory part of the log: the entries after a base index, with the memberships that they
/// carry. The newest membership is in force, whether it is committed or not.
class Log {
 public:
  Log() : memberships_({{0, {}}}) {}

  /// Drops all entries and continues after `base`, where `membership` is in force.
  void Reset(Index base, Term base_term, Membership membership);
  /// Appends an entry. Throws std::logic_error unless its index follows the last one.
  void Append(Entry entry);
  /// Removes the entries from `index` on.
  void TruncateFrom(Index index);
  /// Removes the entries up to `index`, which becomes the base.
  void DropThrough(Index index);

  Index base() const { return base_; }
  Index last_index() const { return base_ + entries_.size(); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  /// Returns the term of the entry at `index`; nothing below the base or beyond the last entry.
  std::optional<Term> TermAt(Index index) const;
  const Entry& At(Index index) const { return entries_.at(index - base_ - 1); }
  /// Returns the first index above the base whose entry has the same term as the entry at `index`.
  Index FirstOfTermAt(Index index) const;
  /// Returns the entries from `from` to `last`: the first one and as many more as fit into
  /// `max_bytes`.
  std::vector<Entry> Slice(Index from, Index last, std::size_t max_bytes) const;

  const Membership& membership() const { return memberships_.back().second; }
  /// Index of the entry that carries the membership in force. If that entry was dropped, an index
  /// of at most the base.
  Index membership_index() const { return memberships_.back().first; }
  /// The membership that is in force after the entry at `index`.
  const Membership& MembershipAt(Index index) const;
  /// Returns whether `id` is a voter in the membership in force at `index` or in a later one.
  bool IsVoterSince(Index index, const ReplicaId& id) const;

 private:
  Index base_ = 0;
  Term base_term_ = 0;
  std::deque<Entry> entries_;
  /// By index; the first is in force at the base.
  std::vector<std::pair<Index, Membership>> memberships_;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_LOG_H_

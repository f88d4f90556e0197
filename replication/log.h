#ifndef GODWITPADDLE_REPLICATION_LOG_H_
#define GODWITPADDLE_REPLICATION_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "replication/messages.h"

namespace godwitpaddle::replication {

/// Entries in memory after a base index, with the memberships they carry. The newest membership is
/// in force, committed or not.
class Log {
 public:
  Log() : memberships_({{0, {}}}) {}

  /// Drops everything and starts after `base`.
  void Reset(Index base, Term base_term, Membership membership);
  /// Appends the entry after the last one. Throws std::logic_error on a gap.
  void Append(Entry entry);
  void TruncateFrom(Index index);
  /// Moves the base forward to `index`.
  void DropThrough(Index index);

  Index base() const { return base_; }
  Index last_index() const { return base_ + entries_.size(); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  /// Nothing below the base or beyond the end.
  std::optional<Term> TermAt(Index index) const;
  const Entry& At(Index index) const { return entries_.at(index - base_ - 1); }
  /// The first index above the base in the run of entries that share the term of `index`.
  Index FirstOfTermAt(Index index) const;
  /// Entries from `from` up to `last`, at least one and then while they fit into `max_bytes`.
  std::vector<Entry> Slice(Index from, Index last, std::size_t max_bytes) const;

  const Membership& membership() const { return memberships_.back().second; }
  /// Index of the entry that carries the membership in force, or at most the base.
  Index membership_index() const { return memberships_.back().first; }
  const Membership& MembershipAt(Index index) const;
  /// Whether `id` is a voter in the membership at `index` or in a later one.
  bool IsVoterSince(Index index, const ReplicaId& id) const;

 private:
  Index base_ = 0;
  Term base_term_ = 0;
  std::deque<Entry> entries_;
  std::vector<std::pair<Index, Membership>> memberships_;  // the first one holds at the base
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_LOG_H_

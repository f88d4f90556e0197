#include "replication/log.h"

#include <algorithm>
#include <stdexcept>
#include <string>

#include "replication/membership.h"

namespace godwitpaddle::replication {

void Log::Reset(Index base, Term base_term, Membership membership) {
  base_ = base;
  base_term_ = base_term;
  entries_.clear();
  memberships_.clear();
  memberships_.emplace_back(base, std::move(membership));
}

void Log::Append(Entry entry) {
  if (entry.index != last_index() + 1) {
    throw std::logic_error("log entry " + std::to_string(entry.index) + " does not follow " +
                           std::to_string(last_index()));
  }
  if (entry.kind == EntryKind::kMembership) {
    memberships_.emplace_back(entry.index, Decode<Membership>(entry.payload));
  }
  entries_.push_back(std::move(entry));
}

void Log::TruncateFrom(Index index) {
  while (last_index() >= index && !entries_.empty()) entries_.pop_back();
  while (memberships_.size() > 1 && memberships_.back().first >= index) memberships_.pop_back();
}

void Log::DropThrough(Index index) {
  if (index <= base_) return;
  base_term_ = TermAt(index).value();
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(index - base_));
  base_ = index;
  while (memberships_.size() > 1 && memberships_[1].first <= index) {
    memberships_.erase(memberships_.begin());
  }
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == base_) return base_term_;
  if (index < base_ || index > last_index()) return std::nullopt;
  return At(index).term;
}

Index Log::FirstOfTermAt(Index index) const {
  const auto end = entries_.begin() + static_cast<std::ptrdiff_t>(index - base_);
  const auto first =
      std::lower_bound(entries_.begin(), end, At(index).term,
                       [](const Entry& entry, Term term) { return entry.term < term; });
  return first->index;
}

std::vector<Entry> Log::Slice(Index from, Index last, std::size_t max_bytes) const {
  std::vector<Entry> result;
  std::size_t bytes = 0;
  for (Index index = from; index <= std::min(last, last_index()); ++index) {
    const Entry& entry = At(index);
    bytes += entry.payload.size() + sizeof(Entry);
    if (!result.empty() && bytes > max_bytes) break;
    result.push_back(entry);
  }
  return result;
}

const Membership& Log::MembershipAt(Index index) const {
  auto it = memberships_.rbegin();
  while (std::next(it) != memberships_.rend() && it->first > index) ++it;
  return it->second;
}

bool Log::IsVoterSince(Index index, const ReplicaId& id) const {
  for (auto it = memberships_.rbegin(); it != memberships_.rend(); ++it) {
    if (IsVoter(it->second, id)) return true;
    if (it->first <= index) break;
  }
  return false;
}

}  // namespace godwitpaddle::replication

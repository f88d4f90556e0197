#include "node/answer_cache.h"

namespace godwitpaddle {
namespace {

// Estimated memory of an entry apart from its strings, in bytes.
constexpr std::size_t kEntryOverhead = 256;

}  // namespace

std::size_t AnswerCache::Cost(const std::string& key, const ForwardAnswer& answer) {
  return kEntryOverhead + 2 * key.size() + answer.body.size();
}

void AnswerCache::Put(const std::string& key, const ForwardAnswer& answer) {
  const std::size_t cost = Cost(key, answer);
  if (cost > max_bytes_ || !answers_.emplace(key, answer).second) return;
  insertion_order_.push_back(key);
  bytes_ += cost;
  while (bytes_ > max_bytes_) {
    const auto oldest = answers_.find(insertion_order_.front());
    bytes_ -= Cost(oldest->first, oldest->second);
    answers_.erase(oldest);
    insertion_order_.pop_front();
  }
}

void AnswerCache::Replace(const std::string& key, const ForwardAnswer& answer) {
  const auto existing = answers_.find(key);
  if (existing == answers_.end()) return Put(key, answer);
  bytes_ -= Cost(key, existing->second);
  existing->second = answer;
  bytes_ += Cost(key, answer);
}

const ForwardAnswer* AnswerCache::Find(const std::string& key) const {
  const auto found = answers_.find(key);
  return found == answers_.end() ? nullptr : &found->second;
}

}  // namespace godwitpaddle

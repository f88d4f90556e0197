#ifndef GODWITPADDLE_NODE_ANSWER_CACHE_H_
#define GODWITPADDLE_NODE_ANSWER_CACHE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "node/messages.h"

namespace godwitpaddle {

/// Cache of answers to finished requests. Its size in bytes is bounded; it evicts the oldest first.
class AnswerCache {
 public:
  explicit AnswerCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Stores an answer, unless the key already has one or the answer exceeds the size of the cache.
  void Put(const std::string& key, const ForwardAnswer& answer);
  /// Stores an answer and overwrites an earlier one with the same key.
  void Replace(const std::string& key, const ForwardAnswer& answer);
  /// Returns the answer of the key, or nullptr if none was stored or it was evicted.
  const ForwardAnswer* Find(const std::string& key) const;
  std::size_t bytes() const { return bytes_; }

 private:
  static std::size_t Cost(const std::string& key, const ForwardAnswer& answer);

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::unordered_map<std::string, ForwardAnswer> answers_;
  std::deque<std::string> insertion_order_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_ANSWER_CACHE_H_

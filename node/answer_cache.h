#ifndef GODWITPADDLE_NODE_ANSWER_CACHE_H_
#define GODWITPADDLE_NODE_ANSWER_CACHE_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "node/messages.h"

namespace godwitpaddle {

/// Answers of finished requests by key, bounded by bytes; the oldest go first.
class AnswerCache {
 public:
  explicit AnswerCache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Keeps the first answer under a key.
  void Put(const std::string& key, const ForwardAnswer& answer);
  /// Keeps this answer under the key in place of an earlier one.
  void Replace(const std::string& key, const ForwardAnswer& answer);
  /// Returns nullptr when there is none (any more).
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

#include "runtime/timers.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle {

Timers::Id Timers::Schedule(Micros when, std::function<void()> action) {
  const Id id = ++last_id_;
  actions_.emplace(id, std::move(action));
  heap_.push_back({.when = when, .id = id});
  std::ranges::push_heap(heap_, std::greater());
  return id;
}

void Timers::Cancel(Id id) {
  if (actions_.erase(id) > 0) DropCancelled();
}

Micros Timers::Next() const { return heap_.empty() ? kNever : heap_.front().when; }

void Timers::RunDue(Micros now) {
  const Id newest = last_id_;
  std::vector<Entry> added;  // by actions, and due
  while (!heap_.empty() && heap_.front().when <= now) {
    std::ranges::pop_heap(heap_, std::greater());
    const Entry next = heap_.back();
    heap_.pop_back();
    if (next.id > newest) {
      added.push_back(next);
    } else if (const auto found = actions_.find(next.id); found != actions_.end()) {
      const std::function<void()> action = std::move(found->second);
      actions_.erase(found);
      action();
    }
  }
  for (const Entry& entry : added) {
    heap_.push_back(entry);
    std::ranges::push_heap(heap_, std::greater());
  }
  DropCancelled();
}

/// Keeps the front a timer that is still to run, and the memory in proportion to these.
void Timers::DropCancelled() {
  constexpr std::size_t kSpare = 64;
  if (heap_.size() > 2 * actions_.size() + kSpare) {
    std::erase_if(heap_, [this](const Entry& entry) { return !actions_.contains(entry.id); });
    std::ranges::make_heap(heap_, std::greater());
  }
  while (!heap_.empty() && !actions_.contains(heap_.front().id)) {
    std::ranges::pop_heap(heap_, std::greater());
    heap_.pop_back();
  }
}

}  // namespace godwitpaddle

#include "runtime/timers.h"

#include <utility>

namespace godwitpaddle {

Timers::Id Timers::Schedule(Micros when, std::function<void()> action) {
  const Id id = ++last_id_;
  actions_.emplace(std::pair(when, id), std::move(action));
  times_.emplace(id, when);
  return id;
}

void Timers::Cancel(Id id) {
  const auto found = times_.find(id);
  if (found == times_.end()) return;
  actions_.erase({found->second, id});
  times_.erase(found);
}

Micros Timers::Next() const { return actions_.empty() ? kNever : actions_.begin()->first.first; }

void Timers::RunDue(Micros now) {
  const Id newest = last_id_;
  auto next = actions_.begin();
  while (next != actions_.end() && next->first.first <= now) {
    const auto key = next->first;
    if (key.second <= newest) {
      const std::function<void()> action = std::move(next->second);
      actions_.erase(next);
      times_.erase(key.second);
      action();
    }
    next = actions_.upper_bound(key);
  }
}

}  // namespace godwitpaddle

#include "jobs/early_cancels.h"

namespace godwitpaddle::jobs {

void EarlyCancels::Add(const JobPath& path, std::int64_t wall_ms) {
  const auto [entry, is_new] = times_.try_emplace(path, wall_ms);
  if (!is_new) {
    by_time_.erase({entry->second, path});
    entry->second = wall_ms;
  }
  by_time_.emplace(wall_ms, path);
}

void EarlyCancels::RemoveBefore(std::int64_t wall_ms) {
  while (!by_time_.empty() && by_time_.begin()->first < wall_ms) {
    times_.erase(by_time_.begin()->second);
    by_time_.erase(by_time_.begin());
  }
}

void EarlyCancels::Restore(Stored stored) {
  times_ = std::move(stored);
  by_time_.clear();
  for (const auto& [path, wall_ms] : times_) by_time_.emplace(wall_ms, path);
}

}  // namespace godwitpaddle::jobs

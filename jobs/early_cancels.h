#ifndef GODWITPADDLE_JOBS_EARLY_CANCELS_H_
#define GODWITPADDLE_JOBS_EARLY_CANCELS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "jobs/types.h"

namespace godwitpaddle::jobs {

/// Cancellations that were acknowledged although no job had been accepted at their paths. The
/// submission may have been overtaken on its way, so it is refused when it arrives.
class EarlyCancels {
 public:
  using Stored = std::map<JobPath, std::int64_t>;  // with the Unix times, in milliseconds

  void Add(const JobPath& path, std::int64_t wall_ms);
  bool Contains(const JobPath& path) const { return times_.contains(path); }
  std::size_t size() const { return times_.size(); }
  /// Removes those that were added before this Unix time.
  void RemoveBefore(std::int64_t wall_ms);

  const Stored& Store() const { return times_; }
  void Restore(Stored stored);

 private:
  Stored times_;
  std::set<std::pair<std::int64_t, JobPath>> by_time_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_EARLY_CANCELS_H_

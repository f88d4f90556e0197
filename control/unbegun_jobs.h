#ifndef GODWITPADDLE_CONTROL_UNBEGUN_JOBS_H_
#define GODWITPADDLE_CONTROL_UNBEGUN_JOBS_H_

#include <cstddef>
#include <unordered_map>
#include <unordered_set>

#include "jobs/commands.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

/// The jobs with assigned tasks of which no worker is known to have begun one: the start may be
/// refused, or never arrive. Follows what the leader of one term learns. Jobs that an earlier
/// leader started belong to them until a worker lists one of their runs.
class UnbegunJobs {
 public:
  explicit UnbegunJobs(const State& state) : state_(state) {}

  void Clear();
  /// Call after each change of the job in the state, and for each job with assigned tasks at the
  /// start of a term.
  void Update(JobId id);
  void OnApplied(const Command& command);
  /// Call when a worker has begun a run of the job.
  void OnBegun(JobId id);

  bool Contains(JobId id) const { return queues_.contains(id); }
  /// Number of unbegun jobs of the queue.
  std::size_t Count(QueueNumber queue) const;

 private:
  void Erase(JobId id);

  const State& state_;
  std::unordered_map<JobId, QueueNumber> queues_;        // of each unbegun job
  std::unordered_map<QueueNumber, std::size_t> counts_;  // by queue
  std::unordered_set<JobId> begun_;                      // known in this term, and not recorded yet
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_UNBEGUN_JOBS_H_

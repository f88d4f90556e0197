#ifndef GODWITPADDLE_JOBS_KNOWN_QUEUES_H_
#define GODWITPADDLE_JOBS_KNOWN_QUEUES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs/known_teams.h"
#include "jobs/types.h"

namespace godwitpaddle::jobs {

/// Identifies a queue that has jobs; 0: it is not known at which host and prefix.
using QueueNumber = std::uint32_t;

/// What jobs use and ask for. Does not count repeated jobs, whose tasks wait for their time, but
/// for what they use.
struct TeamLoad {
  Resources used;             // reserved by the tasks that are assigned
  Resources waiting;          // to be reserved by the tasks that could start
  double open_cpu_ms = 0;     // estimated work, see State::OpenCoreMs; thousandths of a core
  double open_memory_ms = 0;  // the same in megabytes

  TeamLoad& operator+=(const TeamLoad& other);
  TeamLoad& operator-=(const TeamLoad& other);
  bool operator==(const TeamLoad&) const = default;
};

/// A queue that has jobs, as the newest configuration that has it describes it. A queue is what its
/// host and prefix select: its name and all its other settings may change, and it may be removed
/// while it has jobs.
struct KnownQueue {
  QueueNumber number = 0;
  Queue queue;
  MSGPACK_DEFINE(number, queue)

  // Of the jobs in the state. Derived, not stored.
  std::size_t jobs = 0;         // all of them, ended ones included
  std::size_t queued_jobs = 0;  // none of whose tasks is assigned or has started
  double open_core_ms = 0;      // see State::OpenCoreMs
  /// By team; 0: jobs without one. Teams without load have no entry.
  std::map<TeamNumber, TeamLoad> loads;
};

/// The queues that have jobs. Pointers to them are valid until their last job is removed.
class KnownQueues {
 public:
  /// Updates the queues that the configuration has.
  void Configure(const Configuration& configuration);
  /// Adds a job and returns its queue.
  KnownQueue& AddJob(const Queue& queue);
  /// Adds a job of an earlier version's snapshot, which names its queue only.
  KnownQueue& AddUnplacedJob(const std::string& name, const std::string& service,
                             const Configuration& configuration);
  void RemoveJob(KnownQueue& known);
  /// Returns the queue at the same host and prefix; null if it has no jobs.
  const KnownQueue* Find(const Queue& queue) const;
  /// Estimated open work by service, see State::OpenCoreMs.
  std::map<std::string, double> OpenCoreMs() const;
  /// The loads of the queues that the service has at present, by team.
  std::map<TeamNumber, TeamLoad> LoadsOf(const std::string& service) const;

  /// The queues in the form that a snapshot stores.
  struct Stored {
    QueueNumber last_number = 0;
    std::vector<KnownQueue> queues;
    MSGPACK_DEFINE(last_number, queues)
  };
  Stored Store() const;
  /// Replaces all queues. They have no jobs until AddStoredJob adds these, and RemoveUnused has to
  /// be called then.
  void Restore(Stored stored);
  /// Adds a job of a snapshot. Returns null if no stored queue has the number.
  KnownQueue* AddStoredJob(QueueNumber number);
  void RemoveUnused();

 private:
  using Place = std::pair<std::string, std::string>;  // host and prefix

  QueueNumber last_number_ = 0;
  std::map<Place, KnownQueue> by_place_;
  std::map<std::string, KnownQueue> unplaced_;  // by name, see AddUnplacedJob
  std::map<QueueNumber, KnownQueue*> by_number_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_KNOWN_QUEUES_H_

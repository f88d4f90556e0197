#include "control/group_report.h"

#include <algorithm>
#include <string>

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kLinePeriod = kSecond;

std::string Milliseconds(Micros time) { return std::to_string(time / kMillisecond); }

}  // namespace

void GroupReport::Tick(const replication::Replica& replica, Micros waited, Micros now,
                       Outbox& out) {
  longest_wait_ = std::max(longest_wait_, waited);
  if (replica.leader() && (!replica.is_leader() || replica.HasCommittedInTerm())) {
    leaderless_since_ = kNever;
    return;
  }
  if (leaderless_since_ == kNever) {
    leaderless_since_ = now;
    next_line_ = now + kLinePeriod;
    heard_.clear();
    longest_wait_ = waited;
  }
  if (now < next_line_) return;
  Log(replica, now, out);
  next_line_ = now + kLinePeriod;
  heard_.clear();
  longest_wait_ = 0;
}

void GroupReport::Log(const replication::Replica& replica, Micros now, Outbox& out) const {
  const replication::ElectionStatus status = replica.election_status(now);
  out.Log("no_leader",
          {{"for_ms", Milliseconds(now - leaderless_since_)},
           {"state", std::string(NameOf(replication::kReplicaStateNames, status.state))},
           {"term", std::to_string(replica.term())},
           {"members", std::to_string(replica.membership().size())},
           {"heard", std::to_string(heard_.size())},
           {"vote_pending_ms", Milliseconds(status.vote_pending)},
           {"slowest_vote_ms", Milliseconds(status.slowest_vote)},
           {"failed_elections", std::to_string(status.failed_elections)},
           {"tick_late_ms", Milliseconds(longest_wait_)},
           {"last_index", std::to_string(replica.last_index())},
           {"committed", std::to_string(replica.commit_index())}},
          Severity::kWarning);
}

}  // namespace godwitpaddle::jobs

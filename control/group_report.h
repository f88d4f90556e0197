#ifndef GODWITPADDLE_CONTROL_GROUP_REPORT_H_
#define GODWITPADDLE_CONTROL_GROUP_REPORT_H_

#include <set>

#include "control/events.h"
#include "replication/replica.h"

namespace godwitpaddle::jobs {

/// Logs, once a second while this core node knows no leader, what tells the causes apart: no
/// messages of the other voters (network, or they do not run), votes that do not become durable
/// (disk), late ticks (processor), or elections that fail although nothing of this is so.
class GroupReport {
 public:
  /// A message of this replica has arrived.
  void OnMessage(const replication::ReplicaId& from) { heard_.insert(from); }
  /// The node ticks now; its tick was due `waited` before.
  void Tick(const replication::Replica& replica, Micros waited, Micros now, Outbox& out);

 private:
  void Log(const replication::Replica& replica, Micros now, Outbox& out) const;

  std::set<replication::ReplicaId> heard_;  // since the last line
  Micros longest_wait_ = 0;                 // of a tick, since the last line
  Micros leaderless_since_ = kNever;        // kNever: a leader is known
  Micros next_line_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_GROUP_REPORT_H_

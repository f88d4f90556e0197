#ifndef GODWITPADDLE_REPLICATION_PROGRESS_H_
#define GODWITPADDLE_REPLICATION_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <memory>
#include <string>

#include "base/time.h"
#include "replication/messages.h"

namespace godwitpaddle::replication {

/// Time of something that has not happened.
inline constexpr Micros kNever = std::numeric_limits<Micros>::min() / 2;

/// How the leader feeds one member.
enum class SendMode : std::uint8_t {
  kProbe,      // looks for the point where the logs agree, one message per heartbeat
  kReplicate,  // streams entries within the window
  kSnapshot,   // transfers a snapshot
};

/// What the leader knows about one other member.
struct Progress {
  std::string address;
  SendMode mode = SendMode::kProbe;
  Index match = 0;  // durable there
  Index next = 1;   // next entry to send
  Index commit_sent = 0;
  Micros acked_send_time = kNever;  // send time of the newest message that was acknowledged
  Micros last_contact = 0;          // the leader's election counts as the first sign
  Micros probe_sent = kNever;       // replies to earlier messages say nothing about the probe
  std::deque<Index> in_flight;      // last index of each unacknowledged message
  std::shared_ptr<const Snapshot> snapshot;
  std::size_t snapshot_acked = 0;  // bytes
  std::size_t snapshot_sent = 0;   // bytes
  Micros snapshot_updated_at = 0;  // when a chunk was last acknowledged or resent

  /// Frees the window up to `index` and moves match forward.
  void Acknowledge(Index index) {
    if (index > match) match = index;
    if (next <= match) next = match + 1;
    while (!in_flight.empty() && in_flight.front() <= match) in_flight.pop_front();
  }
  void Probe(Index from) {
    mode = SendMode::kProbe;
    next = from;
    in_flight.clear();
    snapshot.reset();
  }
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_PROGRESS_H_

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

/// Time of an event that has not happened.
inline constexpr Micros kNever = std::numeric_limits<Micros>::min() / 2;

/// How the leader sends the log to one member.
enum class SendMode : std::uint8_t {
  kProbe,      // searches for the last index at which the logs match, one message per heartbeat
  kReplicate,  // streams entries, up to a limit of unacknowledged messages
  kSnapshot,   // sends a snapshot
};

/// The leader's record of one other member.
struct Progress {
  std::string address;
  SendMode mode = SendMode::kProbe;
  Index match = 0;                  // last index known to be durable on the member
  Index next = 1;                   // index of the next entry to send
  Index commit_sent = 0;            // last commit index that was sent
  Micros acked_send_time = kNever;  // send time of the newest message that was acknowledged
  /// Time of the newest reply; initially the time at which the leader added the member.
  Micros last_contact = 0;
  /// Send time of the current probe. Replies to messages sent earlier do not answer it.
  Micros probe_sent = kNever;
  std::deque<Index> in_flight;  // last index of each unacknowledged message with entries
  std::shared_ptr<const Snapshot> snapshot;  // being sent; null outside of kSnapshot
  std::size_t snapshot_acked = 0;            // bytes
  std::size_t snapshot_sent = 0;             // bytes
  Micros snapshot_updated_at = 0;            // when a chunk was last acknowledged or resent

  /// Records that the member has the entries up to `index` on its disk.
  void Acknowledge(Index index) {
    if (index > match) match = index;
    if (next <= match) next = match + 1;
    while (!in_flight.empty() && in_flight.front() <= match) in_flight.pop_front();
  }
  /// Starts to search for the last matching index; the first message refers to the entry before
  /// `from`.
  void Probe(Index from) {
    mode = SendMode::kProbe;
    next = from;
    in_flight.clear();
    snapshot.reset();
  }
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_REPLICATION_PROGRESS_H_

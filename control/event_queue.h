#ifndef GODWITPADDLE_CONTROL_EVENT_QUEUE_H_
#define GODWITPADDLE_CONTROL_EVENT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/time.h"
#include "control/event_kind.h"
#include "control/events.h"

namespace godwitpaddle::jobs {

/// A job whose call has waited on this node for longer than this is refused.
inline constexpr Micros kMaxSubmitWait = 500 * kMillisecond;

/// An event and the time at which it arrived at the node.
struct QueuedEvent {
  Event event;
  Micros queued = 0;
};

/// Events that wait for a node, in the order in which it handles them. What keeps promises comes
/// first: messages of the replicated log, and answers of workers and of the platform. Calls get a
/// share of the events, calls of workers and operators and calls of clients in turn, so that none
/// waits for ever while there are more events than the node can handle. Events of one of these
/// three groups stay in the order of their arrival.
class EventQueue {
 public:
  void Push(QueuedEvent event);
  /// Removes and returns the next event. The queue must not be empty. Calls of clients that have
  /// waited for longer than kMaxSubmitWait at `now` get every second turn: refusing them takes
  /// little time, and those behind them are not late yet.
  QueuedEvent Pop(Micros now);
  bool empty() const { return size() == 0; }
  std::size_t size() const {
    return promises_.size() + control_calls_.size() + client_calls_.size();
  }
  std::size_t client_calls() const { return client_calls_.size(); }

 private:
  std::deque<QueuedEvent>& NextGroup(Micros now);

  std::deque<QueuedEvent> promises_;
  std::deque<QueuedEvent> control_calls_;  // of workers and operators
  std::deque<QueuedEvent> client_calls_;
  int promises_in_a_row_ = 0;
  bool client_call_next_ = false;
  bool late_call_next_ = false;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_EVENT_QUEUE_H_

#include "control/event_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace godwitpaddle::jobs {
namespace {

/// While calls wait, one call follows after this many other events.
constexpr int kPromisesPerCall = 3;

/// Returns the number of workers' replies in the event, or 1 if it has none.
int CountReplies(const QueuedEvent& event) {
  const auto* peer = std::get_if<PeerEvent>(&event.event);
  if (peer == nullptr) return 1;
  const auto* batch = std::get_if<OrderReplyBatch>(&peer->message);
  return batch == nullptr ? 1 : std::max(1, static_cast<int>(batch->replies.size()));
}

}  // namespace

void EventQueue::Push(QueuedEvent event) {
  switch (KindOf(event.event)) {
    case EventKind::kClientCall:
      client_calls_.push_back(std::move(event));
      return;
    case EventKind::kControlCall:
    case EventKind::kHeartbeat:
      control_calls_.push_back(std::move(event));
      return;
    default:
      promises_.push_back(std::move(event));
  }
}

QueuedEvent EventQueue::Pop(Micros now) {
  std::deque<QueuedEvent>& group = NextGroup(now);
  QueuedEvent event = std::move(group.front());
  group.pop_front();
  return event;
}

std::deque<QueuedEvent>& EventQueue::NextGroup(Micros now) {
  const bool late = !client_calls_.empty() && now - client_calls_.front().queued > kMaxSubmitWait;
  // Other events get every second turn: the refusals alone could take the whole processor.
  late_call_next_ = late && !late_call_next_;
  if (late_call_next_ || (late && size() == client_calls_.size())) return client_calls_;
  const bool calls_wait = !control_calls_.empty() || !client_calls_.empty();
  const bool call_due = calls_wait && promises_in_a_row_ >= kPromisesPerCall;
  if (!promises_.empty() && !call_due) {
    promises_in_a_row_ = calls_wait ? promises_in_a_row_ + CountReplies(promises_.front()) : 0;
    return promises_;
  }
  promises_in_a_row_ = 0;
  const bool client_call = control_calls_.empty() || (client_call_next_ && !client_calls_.empty());
  client_call_next_ = !client_call;
  return client_call ? client_calls_ : control_calls_;
}

}  // namespace godwitpaddle::jobs

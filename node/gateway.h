#ifndef GODWITPADDLE_NODE_GATEWAY_H_
#define GODWITPADDLE_NODE_GATEWAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "decision/service_level.h"
#include "node/context.h"
#include "node/messages.h"

namespace godwitpaddle {

/// Serves callers and backend servers over HTTP: checks their requests and forwards them to the
/// owner of the pool.
class Gateway {
 public:
  explicit Gateway(NodeContext& context) : context_(context) {}

  /// Handles all paths except /v1/admin/.
  void OnHttp(const HttpEvent& request);
  void OnHttpClosed(std::uint64_t connection);
  void OnAnswer(const ForwardAnswer& answer);
  void OnAccepted(const ForwardAccepted& accepted);
  void OnAnnounceReply(const AnnounceReply& reply);
  /// Resends attempts without an answer and refuses those whose deadline has passed.
  void Tick();
  /// Returns whether no attempt waits for an answer. Attempts continue under their old ids after a
  /// change of incarnation.
  bool Idle() const { return attempts_.empty(); }
  /// Counts of requests by outcome as seen by callers.
  const std::map<QueueId, ServiceCounts>& service_counts() const { return service_counts_; }

 private:
  enum class Kind : std::uint8_t { kRequest, kCancel, kQuery };
  /// One call that waits for the pool's owner.
  struct Attempt {
    Kind kind = Kind::kRequest;
    std::uint64_t connection = 0;  // 0 once the caller was answered or has disconnected
    Forward forward;
    PoolId pool;
    bool idempotent = false;
    Micros arrived = 0;
    Micros deadline = 0;
    Micros next_send = 0;
    Incarnation sent_to;
    // Owners that may still hold the request or have run it, with the last send_seq sent to each.
    std::map<Incarnation, std::uint64_t> unresolved;
    bool may_have_run = false;
  };

  void OnRequest(const HttpEvent& request, const QueueId& queue);
  void OnCancelOrQuery(const HttpEvent& request, const std::string& target);
  void OnAnnouncement(const HttpEvent& request);
  /// Returns the caller's team. Without a valid key it answers with 401 or 403 and returns nothing.
  std::optional<TeamId> Authenticate(const HttpEvent& request, const QueueId& queue,
                                     const QueueConfig& config);
  /// Returns whether this node can serve requests; if not, answers with 503.
  bool AcceptsRequests(const HttpEvent& request);
  /// Stores the attempt and sends it for the first time.
  void Start(Attempt attempt);
  Incarnation TargetOf(const Attempt& attempt) const;
  void SendAttempt(const std::string& id, Attempt& attempt);
  /// Answers an attempt whose deadline has passed.
  void Expire(const std::string& id, Attempt& attempt);
  void Finish(const std::string& id, const Attempt& attempt, RespondEffect response,
              ServiceOutcome outcome);

  NodeContext& context_;
  std::unordered_map<std::string, Attempt> attempts_;
  std::unordered_map<std::uint64_t, std::string> by_connection_;
  std::set<std::pair<Micros, std::string>> timers_;  // (next send or deadline, attempt)
  /// An announcement of a backend server that waits for the answer of the pool's owner.
  struct Relay {
    std::uint64_t connection = 0;
    Micros expires = 0;
  };
  std::map<std::string, Relay> relays_;
  std::map<QueueId, ServiceCounts> service_counts_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_GATEWAY_H_

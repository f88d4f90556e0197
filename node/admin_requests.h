#ifndef GODWITPADDLE_NODE_ADMIN_REQUESTS_H_
#define GODWITPADDLE_NODE_ADMIN_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "node/admin.h"
#include "node/context.h"
#include "node/messages.h"

namespace godwitpaddle {

/// Forwards admin requests to the leader and returns the answers to the operator's connection.
class AdminRequests {
 public:
  /// `bootstrap` forms the group on this node. It returns false if the node already belongs to a
  /// group or has no disk.
  AdminRequests(NodeContext& context, std::function<bool()> bootstrap)
      : context_(context), bootstrap_(std::move(bootstrap)) {}

  void OnHttp(const HttpEvent& request);
  void OnHttpClosed(std::uint64_t connection);
  void OnReply(const ProposeReply& reply);
  void OnStatus(const StatusReply& reply);
  /// Resends requests that the leader has not answered and refuses those that have timed out.
  void Tick();
  bool Idle() const { return pending_.empty(); }

 private:
  struct PendingRequest {
    std::uint64_t connection = 0;
    std::optional<CommandBody> command;  // empty: a status query
    Micros expires = 0;
    Micros next_send = 0;
    std::optional<ProposeReply> reply;  // sent to the operator once this node has applied its index
    std::vector<GrantKey> remaining_keys;  // bootstrap: keys to grant next, one at a time
  };

  void Send(const std::string& id, PendingRequest& pending);
  bool AnswerIfApplied(PendingRequest& pending);

  NodeContext& context_;
  std::function<bool()> bootstrap_;
  std::map<std::string, PendingRequest> pending_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_ADMIN_REQUESTS_H_

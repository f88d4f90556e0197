#ifndef GODWITPADDLE_CONTROL_EDGE_NODE_H_
#define GODWITPADDLE_CONTROL_EDGE_NODE_H_

#include <string>
#include <vector>

#include "control/events.h"
#include "control/gateway.h"

namespace godwitpaddle::jobs {

/// A node without a disk that accepts calls of clients. Its only state is the calls that wait for
/// an answer.
class EdgeNode {
 public:
  explicit EdgeNode(GatewayOptions options) : gateway_(std::move(options)) {}

  std::vector<Effect> Step(const Event& event, Micros now, WallMs wall);

  /// Whether the load balancer should send clients to this node.
  bool Ready(Micros now) const { return !stopping_ && gateway_.HasLeader(now); }

 private:
  void OnTick(Micros now);
  void OnPeer(const PeerMessage& message, Micros now);

  Gateway gateway_;
  Outbox out_;
  bool stopping_ = false;
  Micros stopping_since_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_EDGE_NODE_H_

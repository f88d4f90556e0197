#include "control/edge_node.h"

#include <utility>

namespace godwitpaddle::jobs {
namespace {

/// Calls that arrived before the shutdown are answered within kStopGrace. New calls keep arriving
/// until the load balancer has noticed, after kBalancerDelay, that the node is not ready.
constexpr Micros kStopGrace = 4 * kSecond;
constexpr Micros kBalancerDelay = 2'200 * kMillisecond;

}  // namespace

std::vector<Effect> EdgeNode::Step(const Event& event, Micros now, WallMs /*wall*/) {
  if (std::holds_alternative<TickEvent>(event)) {
    OnTick(now);
  } else if (const auto* peer = std::get_if<PeerEvent>(&event)) {
    OnPeer(peer->message, now);
  } else if (const auto* call = std::get_if<CallEvent>(&event)) {
    gateway_.OnCall(*call, now, out_);
  } else if (const auto* closed = std::get_if<HttpClosedEvent>(&event)) {
    gateway_.OnClosed(closed->connection);
  } else if (const auto* seeds = std::get_if<SeedsEvent>(&event)) {
    gateway_.SetSeeds(seeds->seeds);
  } else if (std::holds_alternative<ShutdownEvent>(event) && !stopping_) {
    stopping_ = true;
    stopping_since_ = now;
    out_.Log("draining", {{"waiting", std::to_string(gateway_.waiting())}});
  }
  return std::exchange(out_.effects, {});
}

void EdgeNode::OnTick(Micros now) {
  gateway_.Tick(now, out_);
  if (!stopping_) return;
  const Micros since = now - stopping_since_;
  const bool idle = gateway_.waiting() == 0 && since > kBalancerDelay;
  if (idle || since > kStopGrace) out_.Add(ExitEffect{.status = 0, .reason = "stopped"});
}

void EdgeNode::OnPeer(const PeerMessage& message, Micros now) {
  if (const auto* info = std::get_if<LeaderInfo>(&message)) {
    gateway_.OnInfo(*info, now, out_);
  } else if (const auto* reply = std::get_if<CallReply>(&message)) {
    gateway_.OnReply(*reply, out_);
  }
}

}  // namespace godwitpaddle::jobs

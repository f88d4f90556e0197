#ifndef GODWITPADDLE_CONTROL_CORE_NODE_H_
#define GODWITPADDLE_CONTROL_CORE_NODE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "control/events.h"
#include "control/gateway.h"
#include "control/group_report.h"
#include "control/leader.h"
#include "control/order_relay.h"
#include "control/order_router.h"
#include "jobs/state.h"
#include "replication/replica.h"

namespace godwitpaddle::jobs {

struct CoreNodeOptions {
  std::string node;
  std::string zone;
  std::string peer_address;
  std::vector<std::string> seeds;  // peer addresses of core nodes
  std::uint64_t seed = 1;          // for random numbers; differs at each process start
  int voter_target = 5;
  StateOptions state;
  LeaderOptions leader;
  std::size_t relay_min_workers = OrderRouterOptions{}.min_workers;
};

/// The stored state with which a seed begins at the first start of the whole system, when its disk
/// is empty: a replication group of all seeds. Every seed computes the same state, so that no seed
/// has to start before the others.
replication::StoredState InitialGroup(const std::vector<std::string>& seeds);
/// The replica id that InitialGroup gives to the seed at `address`.
replication::ReplicaId InitialReplicaId(const std::string& address);

/// A node with a disk: a voter of the replicated log and, when elected, the leader. Deterministic:
/// the same options, stored state and events give the same effects.
class CoreNode {
 public:
  CoreNode(CoreNodeOptions options, const replication::ReplicaId& replica,
           replication::StoredState stored, Micros now);

  /// `waited`: time for which the event has waited on this node.
  std::vector<Effect> Step(const Event& event, Micros now, WallMs wall, Micros waited = 0);

  const State& state() const { return state_; }
  const replication::Replica& replica() const { return replica_; }
  /// Whether this node leads with a valid lease and has committed an entry of its term.
  bool Serving() const;

 private:
  void Handle(const TickEvent& event);
  void Handle(const PeerEvent& event);
  void Handle(const SyncedEvent& event);
  void Handle(const CallEvent& event);
  void Handle(const HttpClosedEvent& event);
  void Handle(const OrderEvent& event);
  void Handle(const VmEvent& event);
  void Handle(const SeedsEvent& event);
  void Handle(const ShutdownEvent& event);

  void Receive(const ReplicationFrame& frame);
  void Receive(const Join& join);
  void Receive(const JoinReply& reply);
  void Receive(const LeaderQuery& query);
  void Receive(const LeaderInfo& info);
  void Receive(const CallRequest& request);
  void Receive(const CallReply& reply);
  void Receive(const OrderBatch& batch);
  void Receive(const OrderReplyBatch& batch);
  template <typename Other>
  void Receive(const Other& /*message*/) {}  // messages of the request service are ignored

  void ExecuteEffects(replication::Effects effects);
  void Apply(const replication::Entry& entry);
  void UpdateLeadership();
  void ProposeAll();
  void DeliverToSelf();
  /// Hands the leader's orders to the core nodes that relay them.
  void RouteOrders();
  void JoinIfNeeded();
  void SendJoin(const std::string& address);
  std::string LeaderAddress() const;

  CoreNodeOptions options_;
  replication::ReplicaId replica_id_;
  const replication::Index stored_index_;  // last index on the disk at process start
  State state_;
  replication::Replica replica_;
  Leader leader_;
  Gateway gateway_;
  OrderRouter router_;
  OrderRelay relay_;
  GroupReport group_report_;
  replication::Index applied_ = 0;
  Micros next_proposal_ = 0;
  Micros now_ = 0;
  WallMs wall_ = 0;
  Micros waited_ = 0;
  Outbox out_;
  Micros leader_last_seen_ = 0;
  Micros next_join_ = 0;
  std::size_t next_seed_ = 0;
  bool stopping_ = false;
  Micros stopping_since_ = 0;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_CORE_NODE_H_

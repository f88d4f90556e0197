#include "node/node.h"

#include <algorithm>
#include <utility>

#include "node/admin_requests.h"
#include "node/context.h"
#include "node/gateway.h"
#include "node/leader.h"
#include "node/lease.h"
#include "node/owner.h"

namespace godwitpaddle {
namespace {

constexpr std::uint32_t kGroup = 0;  // id of the only replication group
constexpr Micros kJoinPeriod = 500 * kMillisecond;
// A member that has known no leader for this time may have been removed from the membership while
// it was unreachable, so it sends a Join.
constexpr Micros kRejoinAfter = 3 * kSecond;
constexpr Micros kShutdownPoll = 100 * kMillisecond;
// Bound on the wait for other nodes to take over the pools. When all nodes shut down at once, none
// does, and an idle owner exits while it still owns its pools.
constexpr Micros kHandoverWait = 5 * kSecond;

}  // namespace

struct Node::Impl {
  NodeContext context;
  replication::ReplicaId replica_id;
  replication::Replica replica;
  LeaseHolder lease;
  Gateway gateway;
  Owner owner;
  Leader leader;
  AdminRequests admin;
  bool was_leading = false;
  Micros next_join = 0;
  Micros leader_last_seen = 0;
  std::size_t next_seed = 0;
  bool exited = false;

  Impl(NodeOptions options, replication::ReplicaId id, replication::StoredState stored, Micros now,
       WallMs wall)
      : context(MakeContext(std::move(options), now, wall)),
        replica_id(std::move(id)),
        replica(ReplicaSettings(context.options, replica_id), std::move(stored), now),
        lease(context),
        gateway(context),
        owner(context),
        leader(context, replica,
               [this](std::string payload) { return Append(std::move(payload)); }),
        admin(context, [this] { return Bootstrap(); }),
        leader_last_seen(now) {}

  static NodeContext MakeContext(NodeOptions options, Micros now, WallMs wall) {
    NodeContext context{.options = std::move(options), .now = now, .wall = wall};
    context.rng.seed(context.options.seed);
    context.incarnation = MakeIncarnation(context.options.node, context.rng);
    return context;
  }

  static replication::ReplicaOptions ReplicaSettings(const NodeOptions& options,
                                                     const replication::ReplicaId& id) {
    return {.id = id,
            .self = {.node = options.node,
                     .zone = options.zone,
                     .address = options.peer_address,
                     .role = replication::Role::kLearner,
                     .has_disk = options.has_disk},
            .seed = options.seed,
            .voter_target = options.voter_target};
  }

  // ---- replication ----

  std::uint64_t Append(std::string payload) {
    replication::Effects effects;
    std::vector<std::string> payloads;
    payloads.push_back(std::move(payload));
    const auto index = replica.Propose(std::move(payloads), context.now, effects);
    ExecuteEffects(std::move(effects));
    return index.value_or(0);
  }

  bool Bootstrap() {
    if (!context.options.has_disk || !replica.membership().empty()) return false;
    replication::Effects effects;
    replica.Bootstrap(context.now, effects);
    ExecuteEffects(std::move(effects));
    context.Log(Severity::kInfo, "bootstrapped", {{"replica", replica_id}});
    return true;
  }

  /// Turns the replica's effects into effects of the node. Committed entries are queued, since
  /// applying them may append further entries.
  void ExecuteEffects(replication::Effects effects) {
    if (effects.persist && !effects.persist->empty()) {
      if (context.options.has_disk) {
        context.effects.emplace_back(PersistEffect{.batch = std::move(*effects.persist)});
      } else {
        synced.push_back(effects.persist->token);
      }
    }
    for (replication::Envelope& envelope : effects.send) {
      context.Send(envelope.address, ReplicationFrame{.group = kGroup,
                                                      .from = replica_id,
                                                      .to = envelope.to,
                                                      .message = std::move(envelope.message)});
    }
    if (effects.install) {
      to_apply.clear();
      install = std::move(effects.install);
    }
    for (replication::Entry& entry : effects.committed) to_apply.push_back(std::move(entry));
    wants_snapshot |= effects.wants_snapshot;
  }

  void Install() {
    const replication::Snapshot snapshot = std::move(*install);
    install.reset();
    context.state = snapshot.state.empty() ? FleetState{} : Decode<FleetState>(snapshot.state);
    context.state.applied_index = snapshot.index;
    context.Log(Severity::kInfo, "snapshot_installed", {{"index", std::to_string(snapshot.index)}});
    owner.OnInstalled();
    lease.OnApplied();
  }

  void ApplyEntry(const replication::Entry& entry) {
    if (entry.index <= context.state.applied_index) return;
    if (entry.kind == replication::EntryKind::kCommand) {
      const auto command = Decode<Command>(entry.payload);
      const ApplyResult result = Apply(context.state, entry.index, command);
      context.state.applied_index = entry.index;
      CheckInvariants(command);
      owner.OnApplied(command, result);
      leader.OnApplied(entry.index, result);
    }
    context.state.applied_index = entry.index;
    lease.OnApplied();
  }

  void CheckInvariants(const Command& command) const {
    if (!context.options.assert_invariants) return;
    if (const auto violation = FindViolationAfter(context.state, command)) {
      throw InvariantViolation(*violation);
    }
  }

  void Compact() {
    wants_snapshot = false;
    replication::Effects effects;
    replica.Compact(context.state.applied_index, Encode(context.state), effects);
    ExecuteEffects(std::move(effects));
  }

  // ---- messages ----

  void OnPeer(const PeerMessage& message) {
    std::visit([this](const auto& body) { Handle(body); }, message);
  }

  void Handle(const ReplicationFrame& frame) {
    if (frame.group != kGroup || frame.to != replica_id) return;
    replication::Effects effects;
    replica.Receive(frame.from, frame.message, context.now, effects);
    ExecuteEffects(std::move(effects));
  }
  void Handle(const Join& join) {
    JoinReply reply{.accepted = false, .leader_address = context.leader_address};
    if (replica.is_leader()) {
      const auto member = replica.membership().find(join.replica);
      const bool known =
          member != replica.membership().end() && member->second.address == join.member.address;
      replication::Effects effects;
      reply.accepted = known || replica.AddLearner(join.replica, join.member, context.now, effects);
      ExecuteEffects(std::move(effects));
    }
    context.Send(join.member.address, reply);
  }
  void Handle(const JoinReply& reply) {
    if (replica.is_member() && replica.leader()) return;
    if (!reply.accepted && !reply.leader_address.empty() &&
        reply.leader_address != context.options.peer_address) {
      SendJoin(reply.leader_address);
    }
  }
  void Handle(const LeaseRenew& renew) { leader.OnRenew(renew); }
  void Handle(const LeaseGrant& grant) {
    if (lease.OnGrant(grant)) TakeNewIncarnation();
  }
  void Handle(const Forward& forward) { owner.OnForward(forward); }
  void Handle(const ForwardAnswer& answer) { gateway.OnAnswer(answer); }
  void Handle(const ForwardAccepted& accepted) { gateway.OnAccepted(accepted); }
  void Handle(const ForwardCancel& cancel) { owner.OnCancel(cancel); }
  void Handle(const ForwardQuery& query) { owner.OnQuery(query); }
  void Handle(const AnnounceRelay& relay) { owner.OnAnnounce(relay); }
  void Handle(const AnnounceReply& reply) { gateway.OnAnnounceReply(reply); }
  void Handle(const Propose& propose) { leader.OnPropose(propose); }
  void Handle(const ProposeReply& reply) { admin.OnReply(reply); }
  void Handle(const StatusQuery& query) { leader.OnStatusQuery(query); }
  void Handle(const StatusReply& reply) { admin.OnStatus(reply); }
  // Messages of job control are handled by the nodes in control/ and ignored here.
  void Handle(const jobs::LeaderQuery&) {}
  void Handle(const jobs::LeaderInfo&) {}
  void Handle(const jobs::CallRequest&) {}
  void Handle(const jobs::CallReply&) {}
  void Handle(const jobs::OrderBatch&) {}
  void Handle(const jobs::OrderReplyBatch&) {}

  // ---- events ----

  void Handle(const TickEvent&) {
    replication::Effects effects;
    replica.Tick(context.now, effects);
    ExecuteEffects(std::move(effects));
    JoinIfNeeded();
    gateway.Tick();
    admin.Tick();
    leader.Tick();
    if (owner.TakeDemandChanged()) lease.RenewSoon();
  }
  void Handle(const PeerEvent& event) { OnPeer(event.message); }
  void Handle(const SyncedEvent& event) { Synced(event.token); }
  void Handle(const HttpEvent& request) {
    if (request.path.rfind("/v1/admin/", 0) == 0) {
      admin.OnHttp(request);
    } else {
      gateway.OnHttp(request);
    }
  }
  void Handle(const HttpClosedEvent& event) {
    gateway.OnHttpClosed(event.connection);
    admin.OnHttpClosed(event.connection);
  }
  void Handle(const TaskEvent& event) { owner.OnTask(event); }
  void Handle(const PlatformEvent& event) { leader.OnPlatform(event); }
  void Handle(const ShutdownEvent&) {
    if (context.draining) return;
    context.draining = true;
    draining_since = context.now;
    lease.RenewSoon();
    context.Log(Severity::kInfo, "draining", {});
  }

  void Synced(std::uint64_t token) {
    replication::Effects effects;
    replica.Synced(token, context.now, effects);
    ExecuteEffects(std::move(effects));
  }

  // ---- membership ----

  void SendJoin(const std::string& address) {
    context.Send(address, Join{.replica = replica_id,
                               .member = {.node = context.options.node,
                                          .zone = context.options.zone,
                                          .address = context.options.peer_address,
                                          .role = replication::Role::kLearner,
                                          .has_disk = context.options.has_disk}});
  }

  void JoinIfNeeded() {
    if (replica.leader()) leader_last_seen = context.now;
    const bool joined = replica.is_member() && context.now - leader_last_seen < kRejoinAfter;
    if (joined || context.now < next_join || context.options.seed_addresses.empty()) return;
    next_join = context.now + kJoinPeriod;
    SendJoin(context.options.seed_addresses[next_seed++ % context.options.seed_addresses.size()]);
  }

  void TakeNewIncarnation() {
    const Incarnation previous = context.incarnation;
    owner.DetachAll();
    context.incarnation = MakeIncarnation(context.options.node, context.rng);
    lease.Reset();
    context.Log(Severity::kWarning, "incarnation_lapsed",
                {{"former", previous}, {"now", context.incarnation}});
  }

  // ---- end of a step ----

  void UpdateLeader() {
    context.leader_address.clear();
    if (const auto id = replica.leader()) {
      const auto member = replica.membership().find(*id);
      if (member != replica.membership().end()) context.leader_address = member->second.address;
    }
    if (replica.is_leader() != was_leading) {
      was_leading = replica.is_leader();
      leader.OnLeadership(was_leading);
      lease.RenewSoon();
    }
  }

  /// Handles the work that the step caused within this node until none is pending: synced batches
  /// of a diskless replica, snapshots, committed entries and messages of this node to itself.
  void ProcessPending() {
    while (true) {
      UpdateLeader();
      if (!synced.empty()) {
        const std::uint64_t token = synced.front();
        synced.pop_front();
        Synced(token);
      } else if (install) {
        Install();
      } else if (!to_apply.empty()) {
        const replication::Entry entry = std::move(to_apply.front());
        to_apply.pop_front();
        ApplyEntry(entry);
      } else if (!context.to_self.empty()) {
        const PeerMessage message = std::move(context.to_self.front());
        context.to_self.pop_front();
        OnPeer(message);
      } else if (wants_snapshot) {
        Compact();
      } else {
        return;
      }
    }
  }

  void RenewLease() {
    if (!lease.IsDue() || context.leader_address.empty()) return;
    NodeReport report{.draining = context.draining};
    owner.Report(report);
    report.service_counts = gateway.service_counts();
    lease.Tick(report);
  }

  /// A draining node exits when it has answered its callers, its running tasks have ended and its
  /// pools have other owners. It does not wait for new owners if no other node can take the pools,
  /// if it holds no lease, or after kHandoverWait.
  void ExitWhenDrained() {
    if (!context.draining || exited || context.now < next_exit_check) return;
    next_exit_check = context.now + kShutdownPoll;
    const bool other_nodes = std::any_of(
        context.state.nodes.begin(), context.state.nodes.end(), [this](const auto& entry) {
          return entry.first != context.incarnation && !entry.second.lease_expired;
        });
    const bool may_wait = context.now - draining_since < kHandoverWait;
    const bool pools_left = owner.owns_pools() && other_nodes && context.HoldsLease() && may_wait;
    if (pools_left || !gateway.Idle() || !owner.Idle() || !admin.Idle()) return;
    exited = true;
    context.effects.emplace_back(ExitEffect{.status = 0, .reason = "drained"});
  }

  std::deque<std::uint64_t> synced;
  std::deque<replication::Entry> to_apply;
  std::optional<replication::Snapshot> install;
  bool wants_snapshot = false;
  Micros next_exit_check = 0;
  Micros draining_since = 0;
};

Node::Node(NodeOptions options, replication::ReplicaId replica, replication::StoredState stored,
           Micros now, WallMs wall) {
  std::optional<replication::Snapshot> snapshot = stored.snapshot;
  impl_ =
      std::make_unique<Impl>(std::move(options), std::move(replica), std::move(stored), now, wall);
  if (snapshot) {
    impl_->install = std::move(snapshot);
    impl_->Install();
  }
}

Node::~Node() = default;

std::vector<Effect> Node::Step(const Event& event, Micros now, WallMs wall) {
  NodeContext& context = impl_->context;
  context.now = std::max(context.now, now);
  context.wall = std::max(context.wall, wall);
  std::visit([this](const auto& body) { impl_->Handle(body); }, event);
  impl_->ProcessPending();
  // Answers to this node's own gateway may free capacity for further requests. The second round
  // starts these within the same step.
  for (int round = 0; round < 2; ++round) {
    impl_->owner.ProcessDue();
    impl_->ProcessPending();
  }
  impl_->RenewLease();
  impl_->ProcessPending();
  impl_->ExitWhenDrained();
  return std::exchange(context.effects, {});
}

const FleetState& Node::state() const { return impl_->context.state; }
const replication::Replica& Node::replica() const { return impl_->replica; }
const Incarnation& Node::incarnation() const { return impl_->context.incarnation; }
bool Node::HoldsLease(Micros now) const { return now < impl_->context.lease_until; }

}  // namespace godwitpaddle

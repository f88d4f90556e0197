#include "control/core_node.h"

#include <algorithm>
#include <set>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

constexpr std::uint32_t kGroup = 0;
constexpr Micros kJoinPeriod = 300 * kMillisecond;
constexpr Micros kRejoinAfter = 1'500 * kMillisecond;
constexpr Micros kStopGrace = 1'500 * kMillisecond;
/// Pause between batches of commands. Each batch costs a message and a disk sync on every node, so
/// the pause after a larger batch is longer, to gather more commands for the next one.
constexpr Micros kMinProposalPause = 5 * kMillisecond;
constexpr Micros kPausePerCommand = kMillisecond / 2;
constexpr Micros kMaxProposalPause = 20 * kMillisecond;
/// Log entries between snapshots of a small state. Taking them often keeps the log in memory short.
constexpr replication::Index kSnapshotEvery = 4'000;
/// About the bytes of an entry: snapshots of a large state cost as many bytes as the log itself.
constexpr std::size_t kSnapshotBytesPerEntry = 128;
/// A voter that is silent for this long is replaced, so that the group has its full number of
/// voters again before the next one may be lost.
constexpr Micros kReplaceSilentVoterAfter = 1'500 * kMillisecond;

replication::ReplicaOptions ReplicaOptionsOf(const CoreNodeOptions& options,
                                             const replication::ReplicaId& id) {
  return {.id = id,
          .self = {.node = options.node,
                   .zone = options.zone,
                   .address = options.peer_address,
                   .has_disk = true},
          .seed = options.seed,
          .voter_target = options.voter_target,
          .snapshot_every = kSnapshotEvery,
          .snapshot_bytes_per_entry = kSnapshotBytesPerEntry,
          .replace_silent_voter_after = kReplaceSilentVoterAfter,
          .announce_commits = false};  // only the leader acts on committed entries
}

replication::Index LastIndex(const replication::StoredState& stored) {
  if (!stored.log.empty()) return stored.log.back().index;
  return stored.snapshot ? stored.snapshot->index : 0;
}

/// Identifies this process among those of the node. Not 0, which means that orders are not relayed.
std::uint64_t RelaySession(const CoreNodeOptions& options) { return options.seed | 1U; }

/// The job that the command may end; nullptr if there is none or it has ended already.
const Job* FindActiveJob(const Command& command, const State& state) {
  const Job* job = nullptr;
  if (const auto* end = std::get_if<RecordEnd>(&command)) job = state.FindJob(end->task.job);
  if (const auto* cancel = std::get_if<Cancel>(&command)) job = state.FindJob(cancel->job);
  if (const auto* assign = std::get_if<Assign>(&command)) job = state.FindJob(assign->task.job);
  return job != nullptr && job->active() ? job : nullptr;
}

}  // namespace

replication::ReplicaId InitialReplicaId(const std::string& address) { return "first-" + address; }

replication::StoredState InitialGroup(const std::vector<std::string>& seeds) {
  replication::Snapshot snapshot{.index = 1, .term = 1};
  for (const std::string& address : seeds) {
    snapshot.membership[InitialReplicaId(address)] = {.node = InitialReplicaId(address),
                                                      .address = address,
                                                      .role = replication::Role::kVoter,
                                                      .has_disk = true};
  }
  return {.term = 1, .snapshot = std::move(snapshot)};
}

CoreNode::CoreNode(CoreNodeOptions options, const replication::ReplicaId& replica,
                   replication::StoredState stored, Micros now)
    : options_(std::move(options)),
      replica_id_(replica),
      stored_index_(LastIndex(stored)),
      state_(options_.state),
      replica_(ReplicaOptionsOf(options_, replica), std::move(stored), now),
      leader_(options_.leader, state_),
      gateway_({.own_address = options_.peer_address,
                .seeds = options_.seeds,
                .first_call = options_.seed,
                .relay_session = RelaySession(options_)}),
      router_({.own_address = options_.peer_address, .min_workers = options_.relay_min_workers}),
      relay_(options_.peer_address, RelaySession(options_)) {}

bool CoreNode::Serving() const {
  return replica_.HoldsLease(now_) && replica_.HasCommittedInTerm();
}

std::vector<Effect> CoreNode::Step(const Event& event, Micros now, WallMs wall, Micros waited) {
  now_ = now;
  wall_ = wall;
  waited_ = waited;
  std::visit([this](const auto& one) { Handle(one); }, event);
  UpdateLeadership();
  if (Serving()) leader_.Tick(now_, wall_, out_);
  ProposeAll();
  DeliverToSelf();
  relay_.Flush(now_, std::holds_alternative<TickEvent>(event), out_);
  RouteOrders();
  return std::exchange(out_.effects, {});
}

// ---- events ----

void CoreNode::Handle(const TickEvent& /*event*/) {
  replication::Effects effects;
  replica_.Tick(now_, effects);
  ExecuteEffects(std::move(effects));
  JoinIfNeeded();
  group_report_.Tick(replica_, waited_, now_, out_);
  // Replies that arrived before this tick have been handled: EventQueue keeps their order.
  for (const OrderEvent& failed : router_.TakeFailed(now_ - waited_, out_)) Handle(failed);
  gateway_.Tick(now_, out_);
  if (!stopping_) return;
  const bool done = gateway_.waiting() == 0 && relay_.in_flight() == 0 && !replica_.is_leader();
  if (done || now_ - stopping_since_ > kStopGrace) {
    out_.Add(ExitEffect{.status = 0, .reason = "stopped"});
  }
}

void CoreNode::Handle(const PeerEvent& event) {
  std::visit([this](const auto& message) { Receive(message); }, event.message);
}

void CoreNode::Handle(const SyncedEvent& event) {
  replication::Effects effects;
  replica_.Synced(event.token, now_, effects);
  ExecuteEffects(std::move(effects));
}

void CoreNode::Handle(const CallEvent& event) { gateway_.OnCall(event, now_, out_); }

void CoreNode::Handle(const HttpClosedEvent& event) { gateway_.OnClosed(event.connection); }

void CoreNode::Handle(const OrderEvent& event) {
  if (!relay_.OnReply(event)) leader_.OnOrderReply(event, now_, wall_, out_);
}

void CoreNode::Handle(const VmEvent& event) { leader_.OnVmReply(event, now_, wall_, out_); }

void CoreNode::Handle(const SeedsEvent& event) {
  options_.seeds = event.seeds;
  gateway_.SetSeeds(event.seeds);
}

void CoreNode::Handle(const ShutdownEvent& /*event*/) {
  if (stopping_) return;
  stopping_ = true;
  stopping_since_ = now_;
  out_.Log("draining", {{"leading", leader_.leading() ? "true" : "false"}});
  gateway_.StopRelaying(now_, out_);
  if (!replica_.is_leader()) return;
  ProposeAll();
  replication::Effects effects;
  const bool handover_started = replica_.TransferLeadership(now_, effects);
  ExecuteEffects(std::move(effects));
  out_.Log("leadership_handed_over", {{"asked", handover_started ? "true" : "false"}});
}

// ---- messages ----

void CoreNode::Receive(const ReplicationFrame& frame) {
  if (frame.group != kGroup || frame.to != replica_id_) return;
  group_report_.OnMessage(frame.from);
  replication::Effects effects;
  replica_.Receive(frame.from, frame.message, now_, effects);
  ExecuteEffects(std::move(effects));
}

void CoreNode::Receive(const Join& join) {
  JoinReply reply{.accepted = false, .leader_address = LeaderAddress()};
  if (replica_.is_leader()) {
    replication::Effects effects;
    reply.accepted = replica_.AddLearner(join.replica, join.member, now_, effects);
    ExecuteEffects(std::move(effects));
  }
  out_.Send(join.member.address, reply);
}

void CoreNode::Receive(const JoinReply& reply) {
  if (replica_.is_member() && replica_.leader()) return;
  if (reply.accepted || reply.leader_address.empty()) return;
  if (reply.leader_address != options_.peer_address) SendJoin(reply.leader_address);
}

void CoreNode::Receive(const LeaderQuery& query) {
  if (replica_.is_leader()) router_.OnOffer(query, now_ - waited_, out_);
  LeaderInfo info{.sender_address = options_.peer_address,
                  .serving = Serving(),
                  .term = replica_.term(),
                  .leader_address = LeaderAddress()};
  for (const auto& [id, member] : replica_.membership()) info.addresses.push_back(member.address);
  out_.Send(query.reply_address, std::move(info));
}

void CoreNode::Receive(const LeaderInfo& info) { gateway_.OnInfo(info, now_, out_); }

void CoreNode::Receive(const CallRequest& request) {
  if (!Serving() || replica_.term() != request.term || !leader_.leading()) {
    out_.Send(request.reply_address,
              CallReply{.id = request.id, .term = request.term, .handled = false});
    return;
  }
  leader_.OnCall(request, waited_, now_, wall_, out_);
}

void CoreNode::Receive(const CallReply& reply) { gateway_.OnReply(reply, out_); }

void CoreNode::Receive(const OrderBatch& batch) {
  // This node has not noticed yet that another one leads. That one takes the orders for unanswered.
  if (leader_.leading()) return;
  relay_.OnBatch(batch, replica_.term(), now_, out_);
}

void CoreNode::Receive(const OrderReplyBatch& batch) {
  if (!leader_.leading() || batch.term != replica_.term()) return;
  for (const OrderEvent& reply : router_.OnReplies(batch, now_)) Handle(reply);
}

void CoreNode::RouteOrders() {
  if (leader_.leading()) {
    router_.Route(replica_.term(), state_.worker_count(), now_, out_);
  } else {
    router_.Clear();
  }
}

/// Delivers messages that this node addressed to itself, without a connection.
void CoreNode::DeliverToSelf() {
  for (int round = 0; round < 4; ++round) {
    std::vector<PeerMessage> own;
    std::erase_if(out_.effects, [&](Effect& effect) {
      auto* send = std::get_if<SendEffect>(&effect);
      if (send == nullptr || send->address != options_.peer_address) return false;
      own.push_back(std::move(send->message));
      return true;
    });
    if (own.empty()) return;
    for (const PeerMessage& message : own) {
      std::visit([this](const auto& one) { Receive(one); }, message);
    }
    ProposeAll();
  }
}

// ---- replication ----

void CoreNode::ExecuteEffects(replication::Effects effects) {
  if (effects.persist) out_.Add(PersistEffect{.batch = std::move(*effects.persist)});
  for (replication::Envelope& envelope : effects.send) {
    if (envelope.address.empty()) continue;
    out_.Send(std::move(envelope.address),
              ReplicationFrame{.group = kGroup,
                               .from = replica_id_,
                               .to = std::move(envelope.to),
                               .message = std::move(envelope.message)});
  }
  if (effects.install) {
    state_.Decode(effects.install->state);
    applied_ = effects.install->index;
    out_.Log("snapshot_installed", {{"index", std::to_string(applied_)}});
  }
  for (const replication::Entry& entry : effects.committed) Apply(entry);
  if (effects.wants_snapshot) {
    replication::Effects more;
    replica_.Compact(applied_, state_.Encode(), more);
    ExecuteEffects(std::move(more));
  }
}

void CoreNode::Apply(const replication::Entry& entry) {
  applied_ = entry.index;
  if (entry.kind == replication::EntryKind::kMembership) {
    out_.Log("membership_changed", {{"index", std::to_string(entry.index)},
                                    {"members", std::to_string(replica_.membership().size())}});
  }
  if (entry.kind != replication::EntryKind::kCommand) return;
  const auto command = Decode<Command>(entry.payload);
  ApplyOutcome outcome = ApplyOutcome::kRejected;
  const Job* active = FindActiveJob(command, state_);
  try {
    outcome = state_.Apply(command);
  } catch (const StateError& error) {
    // Every node fails alike and skips the command. A process that exited here would exit again
    // each time it replays the log.
    out_.Log("invariant_violated", {{"reason", error.what()}}, Severity::kError);
    out_.Count("invariant_violations_total");
  }
  leader_.OnApplied({.index = entry.index,
                     .command = command,
                     .outcome = outcome,
                     .replayed = entry.index <= stored_index_,
                     .ended = active != nullptr && !active->active() ? active : nullptr},
                    now_, wall_, out_);
}

void CoreNode::UpdateLeadership() {
  const bool leads = replica_.is_leader() && replica_.HasCommittedInTerm();
  if (leads && !leader_.leading()) leader_.BeginTerm(replica_.term(), now_, wall_, out_);
  if (!replica_.is_leader() && leader_.leading()) leader_.EndTerm(out_);
}

void CoreNode::ProposeAll() {
  if (now_ < next_proposal_) return;
  std::vector<std::string> payloads = leader_.TakeProposals();
  if (payloads.empty()) return;
  const auto count = static_cast<Micros>(payloads.size());
  next_proposal_ = now_ + std::min(kMaxProposalPause, kMinProposalPause + count * kPausePerCommand);
  replication::Effects effects;
  const auto first = replica_.Propose(std::move(payloads), now_, effects);
  if (!first) return leader_.EndTerm(out_);
  leader_.Proposed(*first);
  ExecuteEffects(std::move(effects));
}

std::string CoreNode::LeaderAddress() const {
  const auto leader = replica_.leader();
  if (!leader) return {};
  const auto member = replica_.membership().find(*leader);
  return member == replica_.membership().end() ? std::string() : member->second.address;
}

void CoreNode::SendJoin(const std::string& address) {
  out_.Send(address, Join{.replica = replica_id_,
                          .member = {.node = options_.node,
                                     .zone = options_.zone,
                                     .address = options_.peer_address,
                                     .role = replication::Role::kLearner,
                                     .has_disk = true}});
}

void CoreNode::JoinIfNeeded() {
  if (replica_.leader()) leader_last_seen_ = now_;
  const bool joined = replica_.is_member() && now_ - leader_last_seen_ < kRejoinAfter;
  if (joined || now_ < next_join_) return;
  next_join_ = now_ + kJoinPeriod;
  std::set<std::string> others(options_.seeds.begin(), options_.seeds.end());
  for (const auto& [id, member] : replica_.membership()) others.insert(member.address);
  others.erase(options_.peer_address);
  if (others.empty()) return;
  SendJoin(*std::next(others.begin(), static_cast<std::ptrdiff_t>(next_seed_++ % others.size())));
}

}  // namespace godwitpaddle::jobs

#include "node/leader.h"

#include <algorithm>
#include <utility>

#include "node/admin.h"

namespace godwitpaddle {
namespace {

// Must exceed the time in which the platform answers a call or the driver reports it as
// unreachable.
constexpr Micros kPlatformRetry = 2 * kSecond;
constexpr std::size_t kMaxWaiting = 100'000;

}  // namespace

bool Leader::HoldsLeaderLease() const {
  return leading_ && replica_.HoldsLease(context_.now) && replica_.HasCommittedInTerm();
}

void Leader::OnLeadership(bool leading) {
  for (const auto& [index, pending] : proposals_) {
    context_.Send(pending.reply_address,
                  ProposeReply{.proposal = pending.proposal, .accepted = false});
  }
  proposals_.clear();
  leading_ = leading;
  view_ = FleetView{.leader_since = context_.now, .leader_node = context_.options.node};
  moves_ = MovePlannerState{};
  burn_ = BurnHistory{};
  service_counts_.clear();
  report_bases_.clear();
  expired_.clear();
  joining_.clear();
  platform_calls_.clear();
  nodes_added_ = false;
  BuildSchedules();
  context_.Log(Severity::kInfo, leading ? "leader_elected" : "leader_lost",
               {{"term", std::to_string(replica_.term())}});
}

void Leader::BuildSchedules() {
  const auto schedule = [](Micros period, std::function<void(Plan&)> run) {
    return Schedule{.period = period, .run = std::move(run)};
  };
  schedules_ = {
      schedule(100 * kMillisecond,
               [this](Plan& plan) { PlanNodes(context_.state, view_, context_.now, plan); }),
      schedule(100 * kMillisecond,
               [this](Plan& plan) { PlanOwners(context_.state, view_, context_.now, plan); }),
      schedule(60 * kMillisecond,
               [this](Plan& plan) { PlanAllotments(context_.state, view_, context_.now, plan); }),
      schedule(250 * kMillisecond,
               [this](Plan& plan) {
                 PlanWaves(context_.state, view_, context_.now, context_.wall, plan);
               }),
      schedule(
          1 * kSecond,
          [this](Plan& plan) { PlanMoves(context_.state, view_, context_.now, moves_, plan); }),
  };
}

std::uint64_t Leader::AppendBody(CommandBody body) {
  return append_(Encode(Command{.wall = context_.wall, .body = std::move(body)}));
}

void Leader::Tick() {
  if (!HoldsLeaderLease()) return;
  // A new leader plans only once it has applied everything that earlier leaders committed.
  if (context_.state.applied_index < replica_.commit_index()) return;
  // The nodes that a new leader finds in the state may hold leases that an earlier leader granted
  // up to the change of leader. Nodes that joined later have just asked this leader for a lease.
  const Micros granted = nodes_added_ ? context_.now : view_.leader_since;
  for (const auto& [incarnation, record] : context_.state.nodes) {
    view_.nodes.try_emplace(incarnation, NodeView{.last_granted = granted});
  }
  nodes_added_ = true;
  std::erase_if(view_.nodes,
                [this](const auto& entry) { return !context_.state.nodes.contains(entry.first); });
  SampleServiceCounts(burn_, service_counts_, context_.now);
  for (Schedule& schedule : schedules_) {
    if (context_.now < schedule.next || context_.state.applied_index < schedule.last_index) {
      continue;
    }
    schedule.next = context_.now + schedule.period;
    Plan plan;
    schedule.run(plan);
    for (CommandBody& body : plan.commands) {
      if (const auto* end = std::get_if<NodeLeaseExpired>(&body)) expired_.insert(end->incarnation);
      schedule.last_index = AppendBody(std::move(body));
    }
    for (const PlatformCall& call : plan.calls) CallPlatform(call);
  }
}

// ---- leases ----

LeaseGrant Leader::Grant(const LeaseRenew& renew) {
  LeaseGrant grant{.incarnation = renew.incarnation,
                   .seq = renew.seq,
                   .leader_address = context_.leader_address};
  if (!HoldsLeaderLease()) return grant;
  const auto node = context_.state.nodes.find(renew.incarnation);
  if (node == context_.state.nodes.end()) {
    const auto& removed = context_.state.removed_incarnations;
    grant.lease_expired =
        std::find(removed.begin(), removed.end(), renew.incarnation) != removed.end();
    if (grant.lease_expired) return grant;
    if (joining_.insert(renew.incarnation).second) {
      AppendBody(NodeJoined{.incarnation = renew.incarnation, .record = renew.record});
    }
    return grant;
  }
  joining_.erase(renew.incarnation);
  grant.lease_expired = node->second.lease_expired;
  if (grant.lease_expired || expired_.contains(renew.incarnation)) return grant;
  grant.granted = true;
  grant.commit_index = replica_.commit_index();
  grant.wants_full_report = !renew.report.full && !report_bases_[renew.incarnation].full;
  NodeView& view = view_.nodes[renew.incarnation];
  view.last_granted = context_.now;
  view.draining = renew.report.draining;
  if (!grant.wants_full_report) RecordReport(renew);
  return grant;
}

void Leader::OnRenew(const LeaseRenew& renew) {
  context_.Send(renew.record.peer_address, Grant(renew));
}

void Leader::RecordReport(const LeaseRenew& renew) {
  ReportBase& base = report_bases_[renew.incarnation];
  if (renew.seq <= base.seq) return;  // a later report was recorded before this one
  base = {.full = true, .seq = renew.seq};
  NodeView& view = view_.nodes[renew.incarnation];
  // The node counted its running requests after it had applied this index. A reduced allotment is
  // confirmed only by the index together with the counts.
  view.applied_index = std::max(view.applied_index, renew.applied_index);
  for (const auto& [team, use] : renew.report.teams) view.teams[team] = use;
  for (const auto& [queue, counts] : renew.report.service_counts) {
    service_counts_[renew.incarnation][queue] = counts;
  }
  const auto owns = [this, &renew](const PoolId& pool) {
    const auto owner = context_.state.owners.find(pool);
    return owner != context_.state.owners.end() && owner->second.owner == renew.incarnation;
  };
  for (const auto& [pool, use] : renew.report.pools) {
    if (owns(pool)) view_.pools[pool] = use;
  }
  for (const auto& [vm, use] : renew.report.vms) {
    const auto record = context_.state.vms.find(vm);
    if (record == context_.state.vms.end() || !owns(record->second.pool)) continue;
    const auto [entry, inserted] = view_.vms.try_emplace(vm, use);
    if (inserted || entry->second.ready != use.ready) view_.ready_changed[vm] = context_.now;
    entry->second = use;
  }
}

// ---- proposals ----

void Leader::OnPropose(const Propose& propose) {
  const std::uint64_t index =
      leading_ && proposals_.size() < kMaxWaiting ? AppendBody(propose.body) : 0;
  if (propose.proposal.empty()) return;
  if (index == 0) {
    context_.Send(propose.reply_address,
                  ProposeReply{.proposal = propose.proposal, .accepted = false});
  } else {
    proposals_[index] = {.proposal = propose.proposal, .reply_address = propose.reply_address};
  }
}

void Leader::OnApplied(std::uint64_t index, const ApplyResult& result) {
  const auto pending = proposals_.find(index);
  if (pending == proposals_.end()) return;
  context_.Send(pending->second.reply_address, ProposeReply{.proposal = pending->second.proposal,
                                                            .accepted = true,
                                                            .index = index,
                                                            .result = result});
  proposals_.erase(pending);
}

void Leader::OnStatusQuery(const StatusQuery& query) {
  if (!HoldsLeaderLease()) return;
  const std::vector<BurnRate> burn = BurnRates(burn_, context_.state.config, context_.now);
  context_.Send(query.reply_address, StatusReply{.query = query.query,
                                                 .json = StatusJson(context_.state, view_, replica_,
                                                                    burn, context_.now)});
}

// ---- platform ----

void Leader::CallPlatform(const PlatformCall& call) {
  const auto [entry, inserted] = platform_calls_.try_emplace(call.operation_id, context_.now);
  if (!inserted && context_.now - entry->second < kPlatformRetry) return;
  entry->second = context_.now;
  context_.effects.emplace_back(PlatformEffect{.call = call});
}

void Leader::OnPlatform(const PlatformEvent& event) {
  const bool ended = event.state == PlatformState::kDone || event.state == PlatformState::kFailed;
  if (!leading_ || !ended) return;
  platform_calls_.erase(event.operation_id);
  for (const auto& [id, vm] : context_.state.vms) {
    if (!vm.operation || vm.operation->id != event.operation_id ||
        vm.operation->phase != VmPhase::kStopping) {
      continue;
    }
    const bool done = event.state == PlatformState::kDone;
    AppendBody(AdvanceVmOperation{.vm = id,
                                  .operation_id = event.operation_id,
                                  .from = VmPhase::kStopping,
                                  .to = done ? VmPhase::kVerifying : VmPhase::kFailed,
                                  .error = event.error});
    return;
  }
}

}  // namespace godwitpaddle

#include <algorithm>
#include <utility>

#include "node/http_input.h"
#include "node/owner.h"

// Pools of an owner: takeover and release, placement of requests, announcements of backend servers
// and the reports to the leader.

namespace godwitpaddle {
namespace {

constexpr Micros kOwnerTick = 20 * kMillisecond;
constexpr std::int64_t kAnnounceEveryMs = 1'000;
// A task lease expires by the backend server's clock. The margin covers the time that the last
// renewal takes to reach the server.
constexpr Micros kUncertainTaskTime = kTaskLease + kLeaseMargin;
// Time that backend servers have to announce themselves to a new owner. After this time, the owner
// reports VMs without an announcement as lost.
constexpr Micros kTakeoverGrace = 5 * kSecond;

}  // namespace

// ---- pools ----

Owner::Pool* Owner::FindPool(const PoolId& pool, const Request& request) {
  if (request.detached) return nullptr;
  const auto owned = pools_.find(pool);
  const auto matches = [&request](const Pool& candidate) {
    return request.task_id.empty() || candidate.epoch == request.epoch;
  };
  if (owned != pools_.end() && matches(*owned->second)) return owned->second.get();
  for (const auto& released : released_) {
    if (released->id == pool && released->epoch == request.epoch) return released.get();
  }
  return nullptr;
}

SchedulerOptions Owner::OptionsOf(const PoolId& pool) const {
  const FleetConfig& config = context_.state.config;
  SchedulerOptions options{.pool = pool,
                           .config = {},
                           .teams = config.teams,
                           .weights = config.fleet.weights,
                           .task_prefix = context_.incarnation + "-"};
  if (const auto found = config.pools.find(pool); found != config.pools.end()) {
    options.config = found->second;
  }
  for (const auto& [name, queue] : config.queues) {
    if (queue.pool == pool) options.queues.emplace(name, queue);
  }
  for (const auto& [vm, shape] : config.vms) {
    if (shape.pool == pool) options.configured_vms.push_back(shape);
  }
  return options;
}

std::set<VmId> Owner::BlockedVms(const Pool& pool) const {
  std::set<VmId> blocked;
  for (const auto& status : pool.scheduler.Vms(context_.now)) {
    const auto vm = context_.state.vms.find(status.vm);
    const bool usable =
        vm != context_.state.vms.end() && vm->second.pool == pool.id &&
        (!vm->second.operation || vm->second.operation->phase == VmPhase::kHoldDown);
    if (!usable) blocked.insert(status.vm);
  }
  // Also blocks VMs that have not announced themselves yet, so that they are not used once they do.
  for (const auto& [id, vm] : context_.state.vms) {
    if (vm.pool == pool.id && vm.operation && vm.operation->phase != VmPhase::kHoldDown) {
      blocked.insert(id);
    }
  }
  return blocked;
}

void Owner::RefreshBlockedVms() {
  for (auto& [id, pool] : pools_) pool->scheduler.SetBlockedVms(BlockedVms(*pool));
}

void Owner::Reconfigure() {
  for (auto& [id, pool] : pools_) {
    pool->scheduler.Reconfigure(OptionsOf(id));
    dirty_.insert(id);
  }
  RefreshBlockedVms();
}

void Owner::SyncPools() {
  for (auto entry = pools_.begin(); entry != pools_.end();) {
    const auto owner = context_.state.owners.find(entry->first);
    const bool owned = owner != context_.state.owners.end() &&
                       owner->second.owner == context_.incarnation &&
                       owner->second.epoch == entry->second->epoch;
    if (owned) {
      ++entry;
      continue;
    }
    std::unique_ptr<Pool> pool = std::move(entry->second);
    entry = pools_.erase(entry);
    Release(std::move(pool));
  }
  for (const auto& [id, owner] : context_.state.owners) {
    if (owner.owner != context_.incarnation || pools_.contains(id)) continue;
    pools_.emplace(id, std::make_unique<Pool>(Pool{.id = id,
                                                   .epoch = owner.epoch,
                                                   .owned_since = context_.now,
                                                   .scheduler = PoolScheduler(OptionsOf(id))}));
    pools_.at(id)->scheduler.SetBlockedVms(BlockedVms(*pools_.at(id)));
    context_.Log(Severity::kInfo, "pool_owned",
                 {{"pool", id}, {"epoch", std::to_string(owner.epoch)}});
  }
}

void Owner::Release(std::unique_ptr<Pool> pool) {
  context_.Log(Severity::kInfo, "pool_released",
               {{"pool", pool->id}, {"epoch", std::to_string(pool->epoch)}});
  pool->scheduler.ReleaseQueued();
  std::vector<RequestId> queued;
  for (const auto& [id, request] : requests_) {
    if (request.pool == pool->id && request.state != RequestState::kRunning && !request.detached) {
      queued.push_back(id);
    }
  }
  std::sort(queued.begin(), queued.end());
  for (const RequestId id : queued) ReturnToGateway(requests_.at(id));
  if (pool->scheduler.running() > 0) released_.push_back(std::move(pool));
}

void Owner::ReturnToGateway(Request& request) {
  if (request.claimed) {
    EndClaim(request, request.may_have_run ? ClaimState::kUnknown : ClaimState::kNotRun);
  }
  ReplyAndCache(request.forward, {.retry = true, .may_have_run = request.may_have_run});
  Erase(request.id);
}

void Owner::DetachAll() {
  std::vector<RequestId> queued;
  for (auto& [id, request] : requests_) {
    if (request.state != RequestState::kRunning) queued.push_back(id);
    request.detached = true;
  }
  std::sort(queued.begin(), queued.end());
  for (const RequestId id : queued) ReturnToGateway(requests_.at(id));
  pools_.clear();
  released_.clear();
  uncertain_tasks_.clear();
  running_.clear();
  claims_.DropClaims();
}

// ---- placement ----

int Owner::RunningLimit(const TeamId& team) const {
  const auto allotments = context_.state.allotments.find(team);
  if (allotments == context_.state.allotments.end()) return 0;
  const auto allotment = allotments->second.find(context_.incarnation);
  if (allotment == allotments->second.end()) return 0;
  int cap = std::min(allotment->second.granted, allotment->second.target);
  // A lowered limit of the team applies to new starts at once, before its allotments are reduced.
  const auto config = context_.state.config.teams.find(team);
  return config == context_.state.config.teams.end() ? 0 : std::min(cap, config->second.limit);
}

void Owner::ProcessDue() {
  const bool tick = context_.now >= next_tick_;
  if (tick) {
    next_tick_ = context_.now + kOwnerTick;
    for (auto task = uncertain_tasks_.begin(); task != uncertain_tasks_.end();) {
      const auto next = std::next(task);
      if (task->second.until <= context_.now) RemoveUncertainTask(task);
      task = next;
    }
    std::erase_if(released_, [](const auto& pool) { return pool->scheduler.running() == 0; });
    for (const auto& [id, pool] : pools_) {
      if (pool->scheduler.queued() > 0 || pool->scheduler.running() > 0) dirty_.insert(id);
    }
  }
  std::set<PoolId> dirty;
  dirty.swap(dirty_);
  for (const PoolId& id : dirty) {
    const auto pool = pools_.find(id);
    if (pool != pools_.end()) ProcessPool(*pool->second, tick);
  }
  claims_.Flush();
  if (tick && context_.options.assert_invariants) CheckInvariants();
}

void Owner::ProcessPool(Pool& pool, bool expire) {
  if (expire) {
    for (const Refusal& refusal : pool.scheduler.Expire(context_.now)) {
      const auto request = requests_.find(refusal.id);
      if (request != requests_.end()) Refuse(request->second, refusal);
    }
  }
  if (!context_.HoldsLease()) return;
  StartClaims(pool);
  const auto limit = [this, &pool](const TeamId& team) {
    const auto running = running_.find(team);
    const int in_other_pools =
        running == running_.end() ? 0 : running->second - pool.scheduler.RunningOf(team);
    return std::max(0, RunningLimit(team) - in_other_pools);
  };
  for (const Placement& placement : pool.scheduler.Dispatch(limit, context_.now)) {
    Start(pool, placement);
  }
  for (const TaskOrder& order : pool.scheduler.TakeOrders(context_.now)) {
    const auto request = requests_.find(order.id);
    if (request == requests_.end() || request->second.task_id.empty()) continue;
    context_.effects.emplace_back(OrderTaskEffect{.task_id = request->second.task_id,
                                                  .address = request->second.address,
                                                  .kind = order.kind});
  }
}

void Owner::StartClaims(Pool& pool) {
  for (const RequestId id : pool.scheduler.TakeClaimCandidates(context_.now)) {
    Request& request = requests_.at(id);
    if (request.claimed) {
      pool.scheduler.ConfirmClaim(id, context_.now);
      continue;
    }
    if (request.state == RequestState::kClaiming) continue;
    request.state = RequestState::kClaiming;
    const std::string& scoped = request.forward.request_id;
    const std::string unscoped = scoped.substr(scoped.find('/') + 1);
    claims_.Claim(pool.id, pool.epoch,
                  {.queue = request.forward.queue,
                   .request_id = scoped,
                   .attempt = request.forward.attempt,
                   .created = RequestIdTime(unscoped)});
  }
}

void Owner::Start(Pool& pool, const Placement& placement) {
  Request& request = requests_.at(placement.id);
  request.state = RequestState::kRunning;
  request.task_id = placement.task_id;
  request.epoch = pool.epoch;
  request.server = placement.server;
  request.address = placement.address;
  request.announced = false;
  by_task_[request.task_id] = request.id;
  ++running_[request.forward.team];

  const std::int64_t remaining_ms =
      std::max<Micros>(1, (request.deadline - context_.now) / kMillisecond);
  StartTaskEffect start{.task_id = request.task_id,
                        .address = placement.address,
                        .headers = request.forward.headers,
                        .body = request.forward.body,
                        .timeout_ms = remaining_ms};
  start.headers["X-Lease-Ms"] = std::to_string(kTaskLease / kMillisecond);
  start.headers["X-Deadline-Ms"] = std::to_string(remaining_ms);
  start.headers["X-Epoch"] = std::to_string(pool.epoch);
  context_.effects.emplace_back(std::move(start));
  context_.Metric("tasks_started");
}

// ---- backend servers ----

bool Owner::IsOutdated(const Announcement& announcement) {
  LastAnnouncement& order = last_announcements_[announcement.server];
  if (announcement.incarnation == order.previous) return true;
  if (announcement.incarnation != order.incarnation) {
    order = {.incarnation = announcement.incarnation,
             .previous = order.incarnation,
             .sequence = announcement.sequence};
    return false;
  }
  if (announcement.sequence < order.sequence) return true;
  order.sequence = announcement.sequence;
  return false;
}

void Owner::OnAnnounce(const AnnounceRelay& relay) {
  const Announcement& announcement = relay.announcement;
  AnnounceReply reply{.relay = relay.relay};
  const auto vm = context_.state.vms.find(announcement.vm);
  const auto pool = vm == context_.state.vms.end() ? pools_.end() : pools_.find(vm->second.pool);
  if (!context_.HoldsLease() || pool == pools_.end()) {
    reply.error = "this entry VM does not own the pool; announce again";
  } else if (context_.state.config.pools[pool->first].service != announcement.service) {
    reply.error = "the pool " + pool->first + " runs another service";
  } else if (IsOutdated(announcement)) {
    reply.error = "a newer announcement was received before this one";
  } else {
    pool->second->scheduler.Announce(announcement, context_.now);
    RemoveEndedTasks(announcement);
    dirty_.insert(pool->first);
    reply.accepted = true;
    reply.epoch = pool->second->epoch;
    reply.announce_after_ms = kAnnounceEveryMs;
    reply.lease_ms = kTaskLease / kMillisecond;
    reply.renewed = RenewedTasks(announcement);
  }
  context_.Send(relay.gateway_address, std::move(reply));
}

std::vector<std::string> Owner::RenewedTasks(const Announcement& announcement) {
  std::vector<std::string> renewed;
  for (const RunningTask& task : announcement.tasks) {
    if (const auto active = by_task_.find(task.task_id); active != by_task_.end()) {
      requests_.at(active->second).announced = true;
    }
    if (ShouldRenew(task.task_id)) renewed.push_back(task.task_id);
  }
  return renewed;
}

bool Owner::ShouldRenew(const std::string& task_id) const {
  if (uncertain_tasks_.contains(task_id)) return false;
  if (const auto active = by_task_.find(task_id); active != by_task_.end()) {
    return !requests_.at(active->second).detached;
  }
  const Incarnation incarnation = task_id.substr(0, task_id.rfind('-'));
  if (incarnation == context_.incarnation) return false;  // the task has already ended
  const auto node = context_.state.nodes.find(incarnation);
  return node != context_.state.nodes.end() && !node->second.lease_expired;
}

void Owner::AddUncertainTask(const Request& request) {
  uncertain_tasks_[request.task_id] = {.team = request.forward.team,
                                       .server = request.server,
                                       .until = context_.now + kUncertainTaskTime,
                                       .announced = request.announced};
  context_.effects.emplace_back(OrderTaskEffect{
      .task_id = request.task_id, .address = request.address, .kind = TaskOrderKind::kStop});
}

void Owner::RemoveUncertainTask(std::map<std::string, UncertainTask>::iterator task) {
  --running_[task->second.team];
  uncertain_tasks_.erase(task);
  for (const auto& [id, pool] : pools_) {
    if (pool->scheduler.queued() > 0) dirty_.insert(id);
  }
}

void Owner::RemoveEndedTasks(const Announcement& announcement) {
  if (uncertain_tasks_.empty()) return;
  std::set<std::string> listed;
  for (const RunningTask& task : announcement.tasks) listed.insert(task.task_id);
  for (auto task = uncertain_tasks_.begin(); task != uncertain_tasks_.end();) {
    const auto next = std::next(task);
    if (task->second.server == announcement.server) {
      if (listed.contains(task->first)) {
        task->second.announced = true;
      } else if (task->second.announced) {
        RemoveUncertainTask(task);
      }
    }
    task = next;
  }
}

// ---- reports ----

std::map<TeamId, TeamUsage> Owner::TeamUsages() const {
  std::map<TeamId, TeamUsage> uses;
  for (const auto& [team, running] : running_) uses[team] = {.running = running, .wanted = running};
  for (const auto& [id, pool] : pools_) {
    if (pool->scheduler.queued() == 0) continue;
    for (const auto& [team, config] : context_.state.config.teams) {
      const int queued = pool->scheduler.QueuedOf(team);
      if (queued > 0) uses[team].wanted += queued;
    }
  }
  return uses;
}

void Owner::Report(NodeReport& report) const {
  report.teams = TeamUsages();
  for (const auto& [id, pool] : pools_) {
    report.pools[id] = {.queued = pool->scheduler.queued(),
                        .running = pool->scheduler.running(),
                        .ready_slots = pool->scheduler.ready_slots(),
                        .arrivals_per_s = pool->scheduler.arrivals_per_second(context_.now),
                        .mean_run_s = pool->scheduler.mean_run_seconds()};
    for (const auto& status : pool->scheduler.Vms(context_.now)) {
      const auto vm = context_.state.vms.find(status.vm);
      if (vm == context_.state.vms.end() || vm->second.pool != id) continue;
      report.vms[status.vm] = {.ready = status.ready,
                               .running = status.running,
                               .server_incarnation = status.server_incarnation};
    }
  }
  for (const auto& [vm, record] : context_.state.vms) {
    const auto pool = pools_.find(record.pool);
    if (pool == pools_.end() || context_.now - pool->second->owned_since < kTakeoverGrace) continue;
    report.vms.try_emplace(vm, VmUsage{});
  }
}

bool Owner::TakeDemandChanged() {
  std::map<TeamId, TeamUsage> uses = TeamUsages();
  bool changed = false;
  for (const auto& [team, use] : uses) {
    const auto last = last_usages_.find(team);
    const int last_wanted = last == last_usages_.end() ? 0 : last->second.wanted;
    changed |= use.wanted > RunningLimit(team) && use.wanted != last_wanted;
  }
  last_usages_ = std::move(uses);
  return changed;
}

void Owner::CheckInvariants() const {
  std::map<TeamId, int> counted;
  for (const auto& [id, request] : requests_) {
    if (request.state == RequestState::kRunning && !request.detached) {
      ++counted[request.forward.team];
    }
  }
  for (const auto& [id, task] : uncertain_tasks_) ++counted[task.team];
  for (const auto& [team, running] : running_) {
    const auto found = counted.find(team);
    if (running != (found == counted.end() ? 0 : found->second)) {
      throw InvariantViolation("running count of team " + team + " differs from its requests");
    }
    const auto allotments = context_.state.allotments.find(team);
    if (allotments == context_.state.allotments.end()) continue;
    const auto allotment = allotments->second.find(context_.incarnation);
    if (allotment != allotments->second.end() && running > allotment->second.granted) {
      throw InvariantViolation("team " + team + " runs more requests than its allotment");
    }
  }
  for (const auto& [id, pool] : pools_) {
    if (const auto violation = pool->scheduler.FindViolation()) {
      throw InvariantViolation("pool " + id + ": " + *violation);
    }
  }
}

}  // namespace godwitpaddle

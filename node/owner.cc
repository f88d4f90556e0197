#include "node/owner.h"

#include <algorithm>
#include <utility>

#include "node/http_input.h"

namespace godwitpaddle {
namespace {

constexpr Micros kOwnerTick = 20 * kMillisecond;
constexpr std::int64_t kAnnounceEveryMs = 1'000;
// A lapsed task lease ends on the server's clock; the margin covers the way of the last renewal.
constexpr Micros kLingerTime = kTaskLease + kLeaseMargin;
// Servers get this long to announce themselves to a new owner before a missing one is reported as
// lost.
constexpr Micros kTakeoverGrace = 5 * kSecond;

const std::map<RefusalReason, std::string>& Messages() {
  static const std::map<RefusalReason, std::string> messages = {
      {RefusalReason::kQueueFull, "the queue is full"},
      {RefusalReason::kNoCapacity, "no backend server is ready"},
      {RefusalReason::kTooLate, "the deadline cannot be met"},
      {RefusalReason::kInfeasible, "no VM of the pool can hold the request"},
      {RefusalReason::kOverLimit, "the team's limit is zero"},
      {RefusalReason::kDeadlinePassed, "the deadline passed before the request could start"},
      {RefusalReason::kCancelled, "the request was cancelled before it started"},
      {RefusalReason::kReleased, "the pool changes its owner"},
  };
  return messages;
}

ForwardAnswer RefusalAnswer(std::string error, std::string message, bool not_run,
                            Micros retry_after = 0) {
  ForwardAnswer answer;
  answer.refusal = ForwardRefusal{.error = std::move(error),
                                  .message = std::move(message),
                                  .not_run = not_run,
                                  .retry_after_ms = retry_after / kMillisecond};
  return answer;
}

TaskEnd EndOf(const TaskEvent& event) {
  if (event.end == TransferEnd::kNotSent) return TaskEnd::kNotSent;
  if (event.end == TransferEnd::kBroken) return TaskEnd::kBroken;
  if (event.not_run) return TaskEnd::kNotSent;
  if (event.checkpointed) return TaskEnd::kCheckpointed;
  return event.status >= 500 ? TaskEnd::kServerFailed : TaskEnd::kDone;
}

}  // namespace

// ---- callers' requests ----

void Owner::Reply(const Forward& forward, ForwardAnswer answer) {
  answer.attempt = forward.attempt;
  answer.copy = forward.copy;
  answer.owner = context_.incarnation;
  context_.Send(forward.gateway_address, std::move(answer));
}

void Owner::ReplyOnce(const Forward& forward, ForwardAnswer answer) {
  answer.copy = forward.copy;
  refusals_.Replace(forward.attempt, answer);
  Reply(forward, std::move(answer));
}

bool Owner::IsAnsweredCopy(const Forward& forward) {
  if (const ForwardAnswer* answer = answers_.Find(forward.attempt)) {
    Reply(forward, *answer);
    return true;
  }
  const ForwardAnswer* refusal = refusals_.Find(forward.attempt);
  // The gateway sends another copy only after it saw that the last one came back.
  if (refusal == nullptr || (refusal->again && forward.copy > refusal->copy)) return false;
  Reply(forward, *refusal);
  return true;
}

void Owner::OnForward(const Forward& forward) {
  if (const auto active = by_attempt_.find(forward.attempt); active != by_attempt_.end()) {
    Request& request = requests_.at(active->second);
    request.forward.copy = std::max(request.forward.copy, forward.copy);
    context_.Send(forward.gateway_address, ForwardAccepted{.attempt = forward.attempt});
    return;
  }
  if (IsAnsweredCopy(forward)) return;
  const auto queue = context_.state.config.queues.find(forward.queue);
  const auto pool =
      queue == context_.state.config.queues.end() ? pools_.end() : pools_.find(queue->second.pool);
  if (!context_.HoldsLease() || pool == pools_.end()) {
    ReplyOnce(forward, {.again = true});
    return;
  }
  if (AnswerKnown(forward, queue->second)) return;

  const RequestId id = next_request_++;
  const Micros deadline = context_.now + forward.remaining_ms * kMillisecond;
  const QueuedRequest queued{.id = id,
                             .queue = forward.queue,
                             .team = forward.team,
                             .priority = forward.priority,
                             .size = forward.size,
                             .arrived = context_.now,
                             .deadline = deadline,
                             .idempotent = queue->second.idempotent};
  if (const auto refusal = pool->second->scheduler.Admit(queued, context_.now)) {
    ReplyOnce(forward, RefusalAnswer(std::string(NameOf(kRefusalReasonNames, refusal->reason)),
                                     refusal->message.empty() ? Messages().at(refusal->reason)
                                                              : refusal->message,
                                     true, refusal->retry_after));
    return;
  }
  requests_[id] = Request{.id = id,
                          .pool = pool->first,
                          .forward = forward,
                          .idempotent = queue->second.idempotent,
                          .deadline = deadline};
  by_attempt_[forward.attempt] = id;
  if (!forward.request_id.empty()) by_key_[ClaimKey(forward.queue, forward.request_id)] = id;
  dirty_.insert(pool->first);
  context_.Send(forward.gateway_address, ForwardAccepted{.attempt = forward.attempt});
}

bool Owner::AnswerKnown(const Forward& forward, const QueueConfig& queue) {
  if (forward.request_id.empty()) return false;
  const std::string key = ClaimKey(forward.queue, forward.request_id);
  if (by_key_.contains(key)) {
    Reply(forward, RefusalAnswer("running", "a request with this id is queued or running", false));
    return true;
  }
  if (const ForwardAnswer* answer = answers_.Find(key)) {
    Reply(forward, *answer);
    return true;
  }
  if (queue.idempotent) return false;
  const auto refusal = RefusalOfClaim(forward.request_id, forward.queue);
  if (!refusal) return false;
  Reply(forward, RefusalAnswer(refusal->error, refusal->message, refusal->not_run));
  return true;
}

std::optional<ForwardRefusal> Owner::RefusalOfClaim(const std::string& request_id,
                                                    const QueueId& queue) const {
  const auto claim = context_.state.claims.find(ClaimKey(queue, request_id));
  if (claim == context_.state.claims.end()) return std::nullopt;
  switch (claim->second.state) {
    case ClaimState::kRunning:
      return ForwardRefusal{
          .error = "running", .message = "a request with this id is running", .not_run = false};
    case ClaimState::kDone:
      return ForwardRefusal{.error = "answer_gone",
                            .message = "a request with this id ran; its answer is gone",
                            .not_run = false};
    case ClaimState::kUnknown:
      return ForwardRefusal{
          .error = "unknown", .message = "a request with this id may have run", .not_run = false};
    case ClaimState::kNotRun:
      break;
  }
  return std::nullopt;
}

void Owner::OnQuery(const ForwardQuery& query) {
  const Forward reply_to{.attempt = query.attempt, .gateway_address = query.gateway_address};
  const std::string key = ClaimKey(query.queue, query.request_id);
  if (const auto active = by_key_.find(key); active != by_key_.end()) {
    const bool running = requests_.at(active->second).state == RequestState::kRunning;
    Reply(reply_to, {.status = 202,
                     .content_type = "application/json",
                     .body = running ? R"({"state":"running"})" : R"({"state":"queued"})"});
  } else if (const ForwardAnswer* answer = answers_.Find(key)) {
    Reply(reply_to, *answer);
  } else if (!context_.HoldsLease() ||
             !pools_.contains(context_.state.config.queues[query.queue].pool)) {
    Reply(reply_to, {.again = true});
  } else if (const auto refusal = RefusalOfClaim(query.request_id, query.queue)) {
    Reply(reply_to, RefusalAnswer(refusal->error, refusal->message, refusal->not_run));
  } else {
    Reply(reply_to, RefusalAnswer("not_found", "no request with this id is known here", false));
  }
}

void Owner::OnCancel(const ForwardCancel& cancel) {
  const Forward reply_to{.attempt = cancel.cancel_attempt,
                         .gateway_address = cancel.gateway_address};
  const bool by_attempt = !cancel.attempt.empty();
  const auto& index = by_attempt ? by_attempt_ : by_key_;
  const auto found =
      index.find(by_attempt ? cancel.attempt : ClaimKey(cancel.queue, cancel.request_id));
  if (found == index.end()) {
    if (!by_attempt) {
      Reply(reply_to, RefusalAnswer("not_found", "no such request is queued or running", false));
    }
    return;
  }
  Request& request = requests_.at(found->second);
  if (request.state != RequestState::kRunning) {
    if (Pool* pool = FindPool(request.pool, request)) pool->scheduler.Cancel(request.id);
    if (!by_attempt) {
      const bool not_run = !request.may_have_run;
      Reply(reply_to, {.status = 200,
                       .content_type = "application/json",
                       .body = std::string(R"({"state":"cancelled","not_run":)") +
                               (not_run ? "true}" : "false}")});
    }
    Refuse(request, {.id = request.id, .reason = RefusalReason::kCancelled});
    return;
  }
  if (by_attempt) return;  // the caller is gone; running work goes on
  context_.effects.emplace_back(OrderTaskEffect{
      .task_id = request.task_id, .address = request.address, .kind = TaskOrderKind::kStop});
  Reply(reply_to,
        {.status = 202, .content_type = "application/json", .body = R"({"state":"stopping"})"});
}

// ---- pools ----

Owner::Pool* Owner::FindPool(const PoolId& pool, const Request& request) {
  if (request.detached) return nullptr;
  const auto owned = pools_.find(pool);
  const auto holds = [&request](const Pool& candidate) {
    return request.task_id.empty() || candidate.epoch == request.epoch;
  };
  if (owned != pools_.end() && holds(*owned->second)) return owned->second.get();
  for (const auto& former : released_) {
    if (former->id == pool && former->epoch == request.epoch) return former.get();
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
    if (shape.pool == pool) options.shapes.push_back(shape);
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
  // A VM that has not announced itself yet must not be used either once it does.
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
    const bool mine = owner != context_.state.owners.end() &&
                      owner->second.owner == context_.incarnation &&
                      owner->second.epoch == entry->second->epoch;
    if (mine) {
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
                                                   .since = context_.now,
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
  for (const RequestId id : queued) SendBack(requests_.at(id));
  if (pool->scheduler.running() > 0) released_.push_back(std::move(pool));
}

void Owner::SendBack(Request& request) {
  if (request.claimed) {
    EndClaim(request, request.may_have_run ? ClaimState::kUnknown : ClaimState::kNotRun);
  }
  ReplyOnce(request.forward, {.again = true, .may_have_run = request.may_have_run});
  Erase(request.id);
}

void Owner::Abandon() {
  std::vector<RequestId> queued;
  for (auto& [id, request] : requests_) {
    if (request.state != RequestState::kRunning) queued.push_back(id);
    request.detached = true;
  }
  std::sort(queued.begin(), queued.end());
  for (const RequestId id : queued) SendBack(requests_.at(id));
  pools_.clear();
  released_.clear();
  lingering_.clear();
  running_.clear();
  claims_.DropClaims();
}

// ---- placing ----

int Owner::Cap(const TeamId& team) const {
  const auto allotments = context_.state.allotments.find(team);
  if (allotments == context_.state.allotments.end()) return 0;
  const auto allotment = allotments->second.find(context_.incarnation);
  if (allotment == allotments->second.end()) return 0;
  int cap = std::min(allotment->second.granted, allotment->second.target);
  // A lowered limit holds for new starts before the allotments have followed.
  const auto config = context_.state.config.teams.find(team);
  return config == context_.state.config.teams.end() ? 0 : std::min(cap, config->second.limit);
}

void Owner::Pump() {
  const bool tick = context_.now >= next_tick_;
  if (tick) {
    next_tick_ = context_.now + kOwnerTick;
    for (auto task = lingering_.begin(); task != lingering_.end();) {
      const auto next = std::next(task);
      if (task->second.until <= context_.now) EndLingering(task);
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
    if (pool != pools_.end()) PumpPool(*pool->second, tick);
  }
  claims_.Flush();
  if (tick && context_.options.assert_invariants) CheckInvariants();
}

void Owner::PumpPool(Pool& pool, bool expire) {
  if (expire) {
    for (const Refusal& refusal : pool.scheduler.Expire(context_.now)) {
      const auto request = requests_.find(refusal.id);
      if (request != requests_.end()) Refuse(request->second, refusal);
    }
  }
  if (!context_.HoldsLease()) return;
  StartClaims(pool);
  const auto cap = [this, &pool](const TeamId& team) {
    const auto running = running_.find(team);
    const int elsewhere =
        running == running_.end() ? 0 : running->second - pool.scheduler.RunningOf(team);
    return std::max(0, Cap(team) - elsewhere);
  };
  for (const Placement& placement : pool.scheduler.Dispatch(cap, context_.now)) {
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
  for (const RequestId id : pool.scheduler.TakeHeld(context_.now)) {
    Request& request = requests_.at(id);
    if (request.claimed) {
      pool.scheduler.Unhold(id, context_.now);
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
                   .made = RequestIdTime(unscoped)});
  }
}

void Owner::Start(Pool& pool, const Placement& placement) {
  Request& request = requests_.at(placement.id);
  request.state = RequestState::kRunning;
  request.task_id = placement.task_id;
  request.epoch = pool.epoch;
  request.server = placement.server;
  request.address = placement.address;
  request.seen = false;
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

// ---- ends ----

void Owner::OnTask(const TaskEvent& event) {
  const auto task = by_task_.find(event.task_id);
  if (task == by_task_.end()) return;
  Request& request = requests_.at(task->second);
  by_task_.erase(task);
  FinishTask(request, event, EndOf(event));
}

void Owner::FinishTask(Request& request, const TaskEvent& event, TaskEnd end) {
  // A checkpointed task has run in part.
  if (end != TaskEnd::kNotSent) request.may_have_run = true;
  Pool* pool = FindPool(request.pool, request);
  if (!request.detached) {
    if (end == TaskEnd::kBroken) {
      Linger(request);
    } else {
      --running_[request.forward.team];
    }
  }
  AfterEnd after = end == TaskEnd::kDone ? AfterEnd::kFinished : AfterEnd::kGivenUp;
  if (pool != nullptr) {
    after = pool->scheduler.Finish(request.id, end, context_.now);
    dirty_.insert(pool->id);
  }
  if (after == AfterEnd::kRequeued) {
    request.state = RequestState::kQueued;
    request.task_id.clear();
    if (!pools_.contains(request.pool) || pools_.at(request.pool).get() != pool) {
      pool->scheduler.Cancel(request.id);
      SendBack(request);
    }
    return;
  }
  if (end == TaskEnd::kDone) {
    EndClaim(request, ClaimState::kDone);
    Answer(request,
           {.status = event.status, .content_type = event.content_type, .body = event.body});
  } else if (end == TaskEnd::kServerFailed) {
    EndClaim(request, ClaimState::kDone);
    Answer(request,
           RefusalAnswer("failed",
                         "the backend server failed with status " + std::to_string(event.status),
                         false));
  } else if (request.may_have_run) {
    EndClaim(request, ClaimState::kUnknown);
    Answer(request, RefusalAnswer(
                        "unknown",
                        "the connection to the backend server ended early: " + event.error, false));
  } else {
    EndClaim(request, ClaimState::kNotRun);
    Answer(request, RefusalAnswer("no_server", "no backend server took the request: " + event.error,
                                  true, kSecond));
  }
}

void Owner::EndClaim(const Request& request, ClaimState end) {
  if (!request.claimed) return;
  claims_.End({.queue = request.forward.queue,
               .request_id = request.forward.request_id,
               .attempt = request.forward.attempt,
               .end = end});
}

void Owner::Answer(Request& request, ForwardAnswer answer) {
  answer.may_have_run = request.may_have_run;
  answers_.Put(request.forward.attempt, answer);
  // A refusal that did not run leaves the id free for another try.
  const bool keep = !answer.refusal || !answer.refusal->not_run;
  if (keep && !request.forward.request_id.empty()) {
    answers_.Put(ClaimKey(request.forward.queue, request.forward.request_id), answer);
  }
  Reply(request.forward, std::move(answer));
  Erase(request.id);
}

void Owner::Refuse(Request& request, const Refusal& refusal) {
  request.may_have_run |= refusal.may_have_run;
  if (request.claimed) {
    EndClaim(request, request.may_have_run ? ClaimState::kUnknown : ClaimState::kNotRun);
  }
  const std::string& message =
      refusal.message.empty() ? Messages().at(refusal.reason) : refusal.message;
  Answer(request, RefusalAnswer(std::string(NameOf(kRefusalReasonNames, refusal.reason)), message,
                                !request.may_have_run, refusal.retry_after));
}

void Owner::Erase(RequestId id) {
  const auto found = requests_.find(id);
  const Forward& forward = found->second.forward;
  by_attempt_.erase(forward.attempt);
  if (!forward.request_id.empty()) {
    const auto key = by_key_.find(ClaimKey(forward.queue, forward.request_id));
    if (key != by_key_.end() && key->second == id) by_key_.erase(key);
  }
  if (!found->second.task_id.empty()) by_task_.erase(found->second.task_id);
  requests_.erase(found);
}

// ---- the log ----

void Owner::OnApplied(const Command& command, const ApplyResult& result) {
  if (const auto* batch = std::get_if<ClaimBatch>(&command.body)) {
    if (batch->owner == context_.incarnation) OnClaimed(*batch, result);
  } else if (const auto* ends = std::get_if<ClaimEnds>(&command.body)) {
    claims_.OnApplied(*ends);
  } else if (std::holds_alternative<AssignPool>(command.body) ||
             std::holds_alternative<ReleasePool>(command.body) ||
             std::holds_alternative<NodeLapsed>(command.body) ||
             std::holds_alternative<NodeFreed>(command.body)) {
    SyncPools();
  } else if (std::holds_alternative<SetAllotments>(command.body)) {
    for (const auto& [id, pool] : pools_) {
      if (pool->scheduler.queued() > 0) dirty_.insert(id);
    }
  } else if (std::holds_alternative<SubmitConfig>(command.body) ||
             std::holds_alternative<DecideReview>(command.body) ||
             std::holds_alternative<LapseReviews>(command.body)) {
    SyncPools();
    Reconfigure();
  } else if (std::holds_alternative<StartVmOperation>(command.body) ||
             std::holds_alternative<AdvanceVmOperation>(command.body) ||
             std::holds_alternative<FinishVmOperation>(command.body)) {
    RefreshBlockedVms();
  }
}

void Owner::OnInstalled() {
  SyncPools();
  Reconfigure();
}

void Owner::OnClaimed(const ClaimBatch& batch, const ApplyResult& result) {
  claims_.OnApplied(batch);
  for (std::size_t i = 0; i < batch.claims.size(); ++i) {
    const ClaimRequest& claim = batch.claims[i];
    const bool claimed = result.ok() && i < result.claimed.size() && result.claimed[i];
    const auto active = by_attempt_.find(claim.attempt);
    if (active == by_attempt_.end()) {
      // The request was cancelled or expired while its claim was on the way.
      const auto state = context_.state.claims.find(ClaimKey(claim.queue, claim.request_id));
      const bool open = claimed && state != context_.state.claims.end() &&
                        state->second.state == ClaimState::kRunning &&
                        !claims_.EndPending(claim.attempt);
      if (open) {
        claims_.End({.queue = claim.queue,
                     .request_id = claim.request_id,
                     .attempt = claim.attempt,
                     .end = ClaimState::kNotRun});
      }
      continue;
    }
    Request& request = requests_.at(active->second);
    if (request.state != RequestState::kClaiming) continue;
    request.state = RequestState::kQueued;
    Pool* pool = FindPool(request.pool, request);
    if (claimed) {
      request.claimed = true;
      if (pool != nullptr) pool->scheduler.Unhold(request.id, context_.now);
      dirty_.insert(request.pool);
      continue;
    }
    if (pool != nullptr) pool->scheduler.Cancel(request.id);
    if (result.code == ResultCode::kConflict || pool == nullptr) {
      SendBack(request);  // an old epoch: the new owner decides
    } else if (result.code == ResultCode::kFull) {
      Answer(request,
             RefusalAnswer("claims_full", "too many claims are kept; try later", true, kMinute));
    } else {
      RefuseClaim(request, i < result.claims.size() ? result.claims[i] : ClaimState::kUnknown);
    }
  }
}

void Owner::RefuseClaim(Request& request, ClaimState state) {
  const auto refusal = RefusalOfClaim(request.forward.request_id, request.forward.queue);
  if (refusal) {
    Answer(request, RefusalAnswer(refusal->error, refusal->message, refusal->not_run));
  } else if (state == ClaimState::kNotRun) {
    Answer(request,
           RefusalAnswer("id_expired", "the request id is older than the retention window", true));
  } else {
    Answer(request, RefusalAnswer("unknown", "the claim was refused", false));
  }
}

// ---- backend servers ----

bool Owner::IsOutdated(const Announcement& announcement) {
  AnnouncementOrder& order = announced_[announcement.server];
  if (announcement.incarnation == order.former) return true;
  if (announcement.incarnation != order.incarnation) {
    order = {.incarnation = announcement.incarnation,
             .former = order.incarnation,
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
    DropLingering(announcement);
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
    if (const auto own = by_task_.find(task.task_id); own != by_task_.end()) {
      requests_.at(own->second).seen = true;
    }
    if (IsRenewed(task.task_id)) renewed.push_back(task.task_id);
  }
  return renewed;
}

bool Owner::IsRenewed(const std::string& task_id) const {
  if (lingering_.contains(task_id)) return false;
  if (const auto own = by_task_.find(task_id); own != by_task_.end()) {
    return !requests_.at(own->second).detached;
  }
  const Incarnation incarnation = task_id.substr(0, task_id.rfind('-'));
  if (incarnation == context_.incarnation) return false;  // its end is already known
  const auto node = context_.state.nodes.find(incarnation);
  return node != context_.state.nodes.end() && !node->second.lapsed;
}

void Owner::Linger(const Request& request) {
  lingering_[request.task_id] = {.team = request.forward.team,
                                 .server = request.server,
                                 .until = context_.now + kLingerTime,
                                 .seen = request.seen};
  context_.effects.emplace_back(OrderTaskEffect{
      .task_id = request.task_id, .address = request.address, .kind = TaskOrderKind::kStop});
}

void Owner::EndLingering(std::map<std::string, Lingering>::iterator task) {
  --running_[task->second.team];
  lingering_.erase(task);
  for (const auto& [id, pool] : pools_) {
    if (pool->scheduler.queued() > 0) dirty_.insert(id);
  }
}

void Owner::DropLingering(const Announcement& announcement) {
  if (lingering_.empty()) return;
  std::set<std::string> listed;
  for (const RunningTask& task : announcement.tasks) listed.insert(task.task_id);
  for (auto task = lingering_.begin(); task != lingering_.end();) {
    const auto next = std::next(task);
    if (task->second.server == announcement.server) {
      if (listed.contains(task->first)) {
        task->second.seen = true;
      } else if (task->second.seen) {
        EndLingering(task);
      }
    }
    task = next;
  }
}

// ---- reports ----

std::map<TeamId, TeamUse> Owner::TeamUses() const {
  std::map<TeamId, TeamUse> uses;
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
  report.teams = TeamUses();
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
    if (pool == pools_.end() || context_.now - pool->second->since < kTakeoverGrace) continue;
    report.vms.try_emplace(vm, VmUse{});
  }
}

bool Owner::TakeDemandChanged() {
  std::map<TeamId, TeamUse> uses = TeamUses();
  bool changed = false;
  for (const auto& [team, use] : uses) {
    const auto last = reported_.find(team);
    const int last_wanted = last == reported_.end() ? 0 : last->second.wanted;
    changed |= use.wanted > Cap(team) && use.wanted != last_wanted;
  }
  reported_ = std::move(uses);
  return changed;
}

void Owner::CheckInvariants() const {
  std::map<TeamId, int> counted;
  for (const auto& [id, request] : requests_) {
    if (request.state == RequestState::kRunning && !request.detached) {
      ++counted[request.forward.team];
    }
  }
  for (const auto& [id, task] : lingering_) ++counted[task.team];
  for (const auto& [team, running] : running_) {
    const auto found = counted.find(team);
    if (running != (found == counted.end() ? 0 : found->second)) {
      throw InvariantViolation("running count of team " + team + " is wrong");
    }
    const auto allotments = context_.state.allotments.find(team);
    if (allotments == context_.state.allotments.end()) continue;
    const auto mine = allotments->second.find(context_.incarnation);
    if (mine != allotments->second.end() && running > mine->second.granted) {
      throw InvariantViolation("team " + team + " has more running than its allotment");
    }
  }
  for (const auto& [id, pool] : pools_) {
    if (const auto violation = pool->scheduler.FindViolation()) {
      throw InvariantViolation("pool " + id + ": " + *violation);
    }
  }
}

}  // namespace godwitpaddle

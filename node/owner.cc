#include "node/owner.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle {
namespace {

const std::map<RefusalReason, std::string>& RefusalMessages() {
  static const std::map<RefusalReason, std::string> messages = {
      {RefusalReason::kQueueFull, "the queue is full"},
      {RefusalReason::kNoCapacity, "no backend server is ready"},
      {RefusalReason::kTooLate, "the deadline cannot be met"},
      {RefusalReason::kInfeasible, "no VM of the pool can hold the request"},
      {RefusalReason::kOverLimit, "the team's limit is zero"},
      {RefusalReason::kDeadlinePassed, "the deadline passed before the request could start"},
      {RefusalReason::kCancelled, "the request was cancelled before it started"},
      {RefusalReason::kReleased, "the pool is moving to another owner"},
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

TaskEnd TaskEndOf(const TaskEvent& event) {
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
  answer.send_seq = forward.send_seq;
  answer.owner = context_.incarnation;
  context_.Send(forward.gateway_address, std::move(answer));
}

void Owner::ReplyAndCache(const Forward& forward, ForwardAnswer answer) {
  answer.send_seq = forward.send_seq;
  refusals_.Replace(forward.attempt, answer);
  Reply(forward, std::move(answer));
}

bool Owner::RepeatAnswer(const Forward& forward) {
  if (const ForwardAnswer* answer = answers_.Find(forward.attempt)) {
    Reply(forward, *answer);
    return true;
  }
  const ForwardAnswer* refusal = refusals_.Find(forward.attempt);
  // The gateway sends the attempt here once more only after it received the request to retry.
  if (refusal == nullptr || (refusal->retry && forward.send_seq > refusal->send_seq)) return false;
  Reply(forward, *refusal);
  return true;
}

void Owner::OnForward(const Forward& forward) {
  if (const auto active = by_attempt_.find(forward.attempt); active != by_attempt_.end()) {
    Request& request = requests_.at(active->second);
    request.forward.send_seq = std::max(request.forward.send_seq, forward.send_seq);
    context_.Send(forward.gateway_address, ForwardAccepted{.attempt = forward.attempt});
    return;
  }
  if (RepeatAnswer(forward)) return;
  const auto queue = context_.state.config.queues.find(forward.queue);
  const auto pool =
      queue == context_.state.config.queues.end() ? pools_.end() : pools_.find(queue->second.pool);
  if (!context_.HoldsLease() || pool == pools_.end()) {
    ReplyAndCache(forward, {.retry = true});
    return;
  }
  if (AnswerDuplicate(forward, queue->second)) return;

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
    ReplyAndCache(forward,
                  RefusalAnswer(std::string(NameOf(kRefusalReasonNames, refusal->reason)),
                                refusal->message.empty() ? RefusalMessages().at(refusal->reason)
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
  if (!forward.request_id.empty()) by_claim_key_[ClaimKey(forward.queue, forward.request_id)] = id;
  dirty_.insert(pool->first);
  context_.Send(forward.gateway_address, ForwardAccepted{.attempt = forward.attempt});
}

bool Owner::AnswerDuplicate(const Forward& forward, const QueueConfig& queue) {
  if (forward.request_id.empty()) return false;
  const std::string key = ClaimKey(forward.queue, forward.request_id);
  if (by_claim_key_.contains(key)) {
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
                            .message = "a request with this id ran; its answer is no longer cached",
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
  if (const auto active = by_claim_key_.find(key); active != by_claim_key_.end()) {
    const bool running = requests_.at(active->second).state == RequestState::kRunning;
    Reply(reply_to, {.status = 202,
                     .content_type = "application/json",
                     .body = running ? R"({"state":"running"})" : R"({"state":"queued"})"});
  } else if (const ForwardAnswer* answer = answers_.Find(key)) {
    Reply(reply_to, *answer);
  } else if (!context_.HoldsLease() ||
             !pools_.contains(context_.state.config.queues[query.queue].pool)) {
    Reply(reply_to, {.retry = true});
  } else if (const auto refusal = RefusalOfClaim(query.request_id, query.queue)) {
    Reply(reply_to, RefusalAnswer(refusal->error, refusal->message, refusal->not_run));
  } else {
    Reply(reply_to, RefusalAnswer("not_found", "the owner knows no request with this id", false));
  }
}

void Owner::OnCancel(const ForwardCancel& cancel) {
  const Forward reply_to{.attempt = cancel.cancel_attempt,
                         .gateway_address = cancel.gateway_address};
  const bool by_attempt = !cancel.attempt.empty();
  const auto& index = by_attempt ? by_attempt_ : by_claim_key_;
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
  if (by_attempt) return;  // the caller has disconnected; a running task continues
  context_.effects.emplace_back(OrderTaskEffect{
      .task_id = request.task_id, .address = request.address, .kind = TaskOrderKind::kStop});
  Reply(reply_to,
        {.status = 202, .content_type = "application/json", .body = R"({"state":"stopping"})"});
}

// ---- results of tasks ----

void Owner::OnTask(const TaskEvent& event) {
  const auto task = by_task_.find(event.task_id);
  if (task == by_task_.end()) return;
  Request& request = requests_.at(task->second);
  by_task_.erase(task);
  FinishTask(request, event, TaskEndOf(event));
}

void Owner::FinishTask(Request& request, const TaskEvent& event, TaskEnd end) {
  // A checkpointed task has run partly.
  if (end != TaskEnd::kNotSent) request.may_have_run = true;
  Pool* pool = FindPool(request.pool, request);
  if (!request.detached) {
    if (end == TaskEnd::kBroken) {
      AddUncertainTask(request);
    } else {
      --running_[request.forward.team];
    }
  }
  FinishResult after = end == TaskEnd::kDone ? FinishResult::kFinished : FinishResult::kAbandoned;
  if (pool != nullptr) {
    after = pool->scheduler.Finish(request.id, end, context_.now);
    dirty_.insert(pool->id);
  }
  if (after == FinishResult::kRequeued) {
    request.state = RequestState::kQueued;
    request.task_id.clear();
    if (!pools_.contains(request.pool) || pools_.at(request.pool).get() != pool) {
      pool->scheduler.Cancel(request.id);
      ReturnToGateway(request);
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
  // If no backend server ran a refused request, its caller may send it again under the same id.
  const bool has_run = !answer.refusal || !answer.refusal->not_run;
  if (has_run && !request.forward.request_id.empty()) {
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
      refusal.message.empty() ? RefusalMessages().at(refusal.reason) : refusal.message;
  Answer(request, RefusalAnswer(std::string(NameOf(kRefusalReasonNames, refusal.reason)), message,
                                !request.may_have_run, refusal.retry_after));
}

void Owner::Erase(RequestId id) {
  const auto found = requests_.find(id);
  const Forward& forward = found->second.forward;
  by_attempt_.erase(forward.attempt);
  if (!forward.request_id.empty()) {
    const auto key = by_claim_key_.find(ClaimKey(forward.queue, forward.request_id));
    if (key != by_claim_key_.end() && key->second == id) by_claim_key_.erase(key);
  }
  if (!found->second.task_id.empty()) by_task_.erase(found->second.task_id);
  requests_.erase(found);
}

// ---- applied commands ----

void Owner::OnApplied(const Command& command, const ApplyResult& result) {
  if (const auto* batch = std::get_if<ClaimBatch>(&command.body)) {
    if (batch->owner == context_.incarnation) OnClaimed(*batch, result);
  } else if (const auto* ends = std::get_if<ClaimEnds>(&command.body)) {
    claims_.OnApplied(*ends);
  } else if (std::holds_alternative<AssignPool>(command.body) ||
             std::holds_alternative<ReleasePool>(command.body) ||
             std::holds_alternative<NodeLeaseExpired>(command.body) ||
             std::holds_alternative<NodeRemoved>(command.body)) {
    SyncPools();
  } else if (std::holds_alternative<SetAllotments>(command.body)) {
    for (const auto& [id, pool] : pools_) {
      if (pool->scheduler.queued() > 0) dirty_.insert(id);
    }
  } else if (std::holds_alternative<SubmitConfig>(command.body) ||
             std::holds_alternative<DecideReview>(command.body) ||
             std::holds_alternative<ActivateDueFiles>(command.body)) {
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
      // The request was cancelled or expired while its claim was in flight.
      const auto state = context_.state.claims.find(ClaimKey(claim.queue, claim.request_id));
      const bool still_running = claimed && state != context_.state.claims.end() &&
                                 state->second.state == ClaimState::kRunning &&
                                 !claims_.EndPending(claim.attempt);
      if (still_running) {
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
      if (pool != nullptr) pool->scheduler.ConfirmClaim(request.id, context_.now);
      dirty_.insert(request.pool);
      continue;
    }
    if (pool != nullptr) pool->scheduler.Cancel(request.id);
    if (result.code == ResultCode::kConflict || pool == nullptr) {
      ReturnToGateway(request);  // the epoch is outdated: the new owner decides
    } else if (result.code == ResultCode::kFull) {
      Answer(request, RefusalAnswer("claims_full", "too many claims are stored; retry later", true,
                                    kMinute));
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

}  // namespace godwitpaddle

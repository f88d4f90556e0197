#include "node/gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "node/admin.h"
#include "node/http_input.h"

namespace godwitpaddle {
namespace {

constexpr Micros kResendPeriod = 1 * kSecond;
constexpr Micros kNoOwnerRetry = 50 * kMillisecond;
// The owner answers by the deadline of the attempt. The gateway waits this much longer, since the
// answer takes time to arrive.
constexpr Micros kDeadlineGrace = 250 * kMillisecond;
// If the pool's owner does not answer an announcement within this time, the gateway tells the
// backend server to announce itself again, which it does through another entry VM.
constexpr Micros kRelayTimeout = 500 * kMillisecond;
constexpr WallMs kMaxClockAheadMs = 60'000;
constexpr std::size_t kMaxRelays = 10'000;
constexpr char kQueuesPrefix[] = "/v1/queues/";
constexpr char kRequestsSuffix[] = "/requests";
constexpr char kRequestsPrefix[] = "/v1/requests/";

/// Prefixes the id with the team, since different teams may use the same request id on one queue.
std::string ScopedRequestId(const TeamId& team, const std::string& id) {
  return id.empty() ? id : team + "/" + id;
}

ForwardRefusal BadRequest(const std::string& message) {
  return {.error = "bad_request", .message = message};
}

int StatusOf(const ForwardRefusal& refusal) {
  static const std::map<std::string, int> status_by_error = {
      {"queue_full", 429},  {"over_limit", 429},  {"running", 409},
      {"answer_gone", 409}, {"unknown", 504},     {"failed", 502},
      {"not_found", 404},   {"bad_request", 400}, {"id_expired", 400},
  };
  const auto status = status_by_error.find(refusal.error);
  return status == status_by_error.end() ? 503 : status->second;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

bool EndsWith(const std::string& text, const std::string& suffix) {
  return text.size() >= suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

}  // namespace

void Gateway::OnHttp(const HttpEvent& request) {
  const std::string& path = request.path;
  try {
    if (path == "/healthz") {
      const bool healthy = context_.HoldsLease() && !context_.draining;
      const nlohmann::json body = {{"healthy", healthy}, {"draining", context_.draining}};
      context_.Respond(
          {.connection = request.connection, .status = healthy ? 200 : 503, .body = body.dump()});
    } else if (path == "/v1/servers" && request.method == "POST") {
      OnAnnouncement(request);
    } else if (StartsWith(path, kQueuesPrefix) && EndsWith(path, kRequestsSuffix) &&
               request.method == "POST") {
      const std::size_t start = sizeof(kQueuesPrefix) - 1;
      const std::size_t end = path.size() - (sizeof(kRequestsSuffix) - 1);
      OnRequest(request, end > start ? path.substr(start, end - start) : std::string());
    } else if (StartsWith(path, kRequestsPrefix) &&
               (request.method == "GET" || request.method == "DELETE")) {
      OnCancelOrQuery(request, path.substr(sizeof(kRequestsPrefix) - 1));
    } else {
      context_.Respond(
          RefuseHttp(request.connection, 404, {.error = "not_found", .message = "no such path"}));
    }
  } catch (const InputError& error) {
    context_.Respond(RefuseHttp(request.connection, 400, BadRequest(error.what())));
  }
}

bool Gateway::AcceptsRequests(const HttpEvent& request) {
  ForwardRefusal refusal;
  if (context_.draining) {
    refusal = {
        .error = "draining", .message = "this entry VM is shutting down", .retry_after_ms = 1000};
  } else if (!context_.HoldsLease()) {
    refusal = {.error = "no_lease",
               .message = "this entry VM holds no lease from the leader",
               .retry_after_ms = 1000};
  } else if (attempts_.size() >= context_.options.max_inflight) {
    refusal = {.error = "overloaded",
               .message = "too many requests at this entry VM",
               .retry_after_ms = 1000};
  } else {
    return true;
  }
  context_.Respond(RefuseHttp(request.connection, 503, refusal));
  return false;
}

std::optional<TeamId> Gateway::Authenticate(const HttpEvent& request, const QueueId& queue,
                                            const QueueConfig& config) {
  const std::string authorization = HeaderOf(request, "authorization");
  if (authorization.empty() && config.open) return config.team;
  const KeyRecord* key = FindKey(context_.state, authorization);
  if (key == nullptr || key->role != KeyRole::kTeam) {
    context_.Respond(RefuseHttp(request.connection, 401,
                                {.error = "unauthorized", .message = "unknown or revoked key"}));
    return std::nullopt;
  }
  const bool allowed = config.teams.empty() || config.teams.contains(key->team);
  if (!allowed || !context_.state.config.teams.contains(key->team)) {
    context_.Respond(
        RefuseHttp(request.connection, 403,
                   {.error = "forbidden", .message = "the key's team may not use queue " + queue}));
    return std::nullopt;
  }
  return key->team;
}

void Gateway::OnRequest(const HttpEvent& request, const QueueId& queue) {
  if (!AcceptsRequests(request)) return;
  const auto config = context_.state.config.queues.find(queue);
  if (config == context_.state.config.queues.end()) {
    context_.Respond(RefuseHttp(request.connection, 404,
                                {.error = "not_found", .message = "no such queue: " + queue}));
    return;
  }
  const QueueConfig& settings = config->second;
  const std::optional<TeamId> team = Authenticate(request, queue, settings);
  if (!team) return;
  if (request.body.size() > static_cast<std::size_t>(settings.max_body_bytes)) {
    context_.Respond(RefuseHttp(
        request.connection, 413,
        {.error = "too_large",
         .message = "the body is over " + std::to_string(settings.max_body_bytes) + " bytes"}));
    return;
  }

  const std::string id = HeaderOf(request, "idempotency-key");
  if (id.empty() && !settings.idempotent) {
    throw InputError("queue " + queue + " needs the header Idempotency-Key");
  }
  if (!id.empty()) {
    const WallMs created = RequestIdTime(id);
    const WallMs retention = context_.state.config.fleet.claim_retention_s * 1000;
    if (created > context_.wall + kMaxClockAheadMs || created < context_.wall - retention) {
      throw InputError("the time in the idempotency key is older than " +
                       std::to_string(retention / 1000) + " s or ahead of this clock");
    }
  }
  const std::int64_t deadline_ms = IntegerHeader(
      request, "x-deadline-ms", 1, context_.options.max_deadline_ms, settings.default_deadline_ms);
  Attempt attempt{.kind = Kind::kRequest,
                  .connection = request.connection,
                  .pool = settings.pool,
                  .idempotent = settings.idempotent,
                  .arrived = context_.now,
                  .deadline = context_.now + deadline_ms * kMillisecond};
  Forward& forward = attempt.forward;
  forward.attempt = context_.UniqueId();
  forward.gateway_address = context_.options.peer_address;
  forward.queue = queue;
  forward.team = *team;
  forward.request_id = ScopedRequestId(*team, id);
  forward.priority = ReadPriority(request);
  forward.size = ReadTaskSize(request);
  forward.asynchronous = HeaderOf(request, "prefer") == "respond-async";
  if (forward.asynchronous && id.empty()) {
    throw InputError("respond-async needs the header Idempotency-Key");
  }
  forward.headers["X-Request-Id"] = id.empty() ? forward.attempt : id;
  const std::string content_type = HeaderOf(request, "content-type");
  if (!content_type.empty()) forward.headers["Content-Type"] = content_type;
  forward.body = request.body;
  Start(std::move(attempt));
}

void Gateway::OnCancelOrQuery(const HttpEvent& request, const std::string& target) {
  if (!AcceptsRequests(request)) return;
  const std::size_t colon = target.find(':');
  const QueueId queue = target.substr(0, colon);
  const auto config = context_.state.config.queues.find(queue);
  if (colon == std::string::npos || config == context_.state.config.queues.end()) {
    throw InputError("the path must end in QUEUE:ID with a known queue");
  }
  const std::optional<TeamId> team = Authenticate(request, queue, config->second);
  if (!team) return;
  const std::string id = target.substr(colon + 1);
  RequestIdTime(id);
  Attempt attempt{.kind = request.method == "DELETE" ? Kind::kCancel : Kind::kQuery,
                  .connection = request.connection,
                  .pool = config->second.pool,
                  .idempotent = true,
                  .arrived = context_.now,
                  .deadline = context_.now + 5 * kSecond};
  attempt.forward.attempt = context_.UniqueId();
  attempt.forward.queue = queue;
  attempt.forward.team = *team;
  attempt.forward.request_id = ScopedRequestId(*team, id);
  Start(std::move(attempt));
}

void Gateway::Start(Attempt attempt) {
  const std::string id = attempt.forward.attempt;
  by_connection_[attempt.connection] = id;
  Attempt& stored = attempts_[id] = std::move(attempt);
  SendAttempt(id, stored);
}

/// Returns the owner to send the attempt to. An owner that may hold the request remains the target
/// until its lease expires, even if the pool has a new owner by now: the new owner could only
/// answer that the request runs elsewhere.
Incarnation Gateway::TargetOf(const Attempt& attempt) const {
  for (const auto& [owner, copy] : attempt.unresolved) {
    const auto node = context_.state.nodes.find(owner);
    if (node != context_.state.nodes.end() && !node->second.lease_expired) return owner;
  }
  const auto owner = context_.state.owners.find(attempt.pool);
  return owner == context_.state.owners.end() ? Incarnation() : owner->second.owner;
}

void Gateway::SendAttempt(const std::string& id, Attempt& attempt) {
  const Incarnation target = TargetOf(attempt);
  const std::string address = NodeAddress(context_.state, target);
  attempt.next_send = context_.now + (address.empty() ? kNoOwnerRetry : kResendPeriod);
  timers_.emplace(std::min(attempt.next_send, attempt.deadline + kDeadlineGrace), id);
  if (address.empty() || context_.now >= attempt.deadline) return;

  Forward& forward = attempt.forward;
  switch (attempt.kind) {
    case Kind::kRequest:
      attempt.sent_to = target;
      attempt.unresolved[attempt.sent_to] = ++forward.send_seq;
      forward.remaining_ms = std::max<Micros>(1, (attempt.deadline - context_.now) / kMillisecond);
      context_.Send(address, forward);
      break;
    case Kind::kCancel:
      context_.Send(address, ForwardCancel{.cancel_attempt = id,
                                           .gateway_address = context_.options.peer_address,
                                           .queue = forward.queue,
                                           .team = forward.team,
                                           .request_id = forward.request_id});
      break;
    case Kind::kQuery:
      context_.Send(address, ForwardQuery{.attempt = id,
                                          .gateway_address = context_.options.peer_address,
                                          .queue = forward.queue,
                                          .team = forward.team,
                                          .request_id = forward.request_id});
      break;
  }
}

void Gateway::OnAccepted(const ForwardAccepted& accepted) {
  const auto found = attempts_.find(accepted.attempt);
  if (found == attempts_.end()) return;
  Attempt& attempt = found->second;
  if (!attempt.forward.asynchronous || attempt.connection == 0) return;
  const std::string& scoped = attempt.forward.request_id;
  const std::string id = attempt.forward.queue + ":" + scoped.substr(scoped.find('/') + 1);
  const nlohmann::json body = {{"id", id}, {"state", "accepted"}};
  context_.Respond({.connection = attempt.connection,
                    .status = 202,
                    .headers = {{"Location", kRequestsPrefix + id}},
                    .body = body.dump()});
  by_connection_.erase(attempt.connection);
  attempt.connection = 0;
}

void Gateway::OnAnswer(const ForwardAnswer& answer) {
  const auto found = attempts_.find(answer.attempt);
  if (found == attempts_.end()) return;
  Attempt& attempt = found->second;
  const auto sent = attempt.unresolved.find(answer.owner);
  const bool latest = sent == attempt.unresolved.end() || sent->second <= answer.send_seq;
  // A later send of the attempt to the same owner is in flight, and the owner may admit it.
  if (answer.retry && !latest) return;
  if (sent != attempt.unresolved.end()) attempt.unresolved.erase(sent);
  attempt.may_have_run |= answer.may_have_run;
  if (answer.retry) {
    if (attempt.sent_to == answer.owner) {
      attempt.next_send = context_.now + kNoOwnerRetry;
      timers_.emplace(attempt.next_send, found->first);
    }
    return;
  }
  // A late refusal by an earlier owner does not tell whether the current owner runs the request.
  const bool not_run = answer.refusal && answer.refusal->not_run && !answer.may_have_run;
  if (not_run && answer.owner != attempt.sent_to && attempt.unresolved.contains(attempt.sent_to)) {
    return;
  }
  RespondEffect response;
  ServiceOutcome outcome = ServiceOutcome::kInTime;
  if (answer.refusal) {
    ForwardRefusal refusal = *answer.refusal;
    // Another owner may hold an idempotent request or have run it. Claims rule this out for
    // requests that are not idempotent.
    const bool elsewhere = attempt.idempotent && !attempt.unresolved.empty();
    refusal.not_run = refusal.not_run && !attempt.may_have_run && !elsewhere;
    response = RefuseHttp(attempt.connection, StatusOf(refusal), refusal);
    outcome = refusal.not_run ? ServiceOutcome::kRefused : ServiceOutcome::kFailed;
  } else {
    response = {.connection = attempt.connection,
                .status = answer.status,
                .content_type = answer.content_type,
                .headers = {{"X-Request-Id", attempt.forward.headers["X-Request-Id"]}},
                .body = answer.body};
    if (context_.now > attempt.deadline) outcome = ServiceOutcome::kLate;
  }
  Finish(found->first, attempt, std::move(response), outcome);
}

void Gateway::Finish(const std::string& id, const Attempt& attempt, RespondEffect response,
                     ServiceOutcome outcome) {
  if (attempt.connection != 0) {
    context_.Respond(std::move(response));
    by_connection_.erase(attempt.connection);
  }
  if (attempt.kind == Kind::kRequest) {
    Count(service_counts_[attempt.forward.queue], outcome);
    context_.Metric("request_seconds",
                    static_cast<double>(context_.now - attempt.arrived) / kSecond);
    context_.Metric("requests_" + std::string(NameOf(kServiceOutcomeNames, outcome)));
  }
  attempts_.erase(std::string(id));
}

void Gateway::OnHttpClosed(std::uint64_t connection) {
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [connection](const auto& entry) {
    return entry.second.connection == connection;
  });
  if (relay != relays_.end()) relays_.erase(relay);
  const auto found = by_connection_.find(connection);
  if (found == by_connection_.end()) return;
  Attempt& attempt = attempts_.at(found->second);
  attempt.connection = 0;
  // The caller no longer waits for the answer: a queued request is cancelled, a running one
  // continues.
  if (attempt.kind == Kind::kRequest && !attempt.forward.asynchronous) {
    context_.Send(OwnerAddress(context_.state, attempt.pool),
                  ForwardCancel{.gateway_address = context_.options.peer_address,
                                .attempt = found->second,
                                .queue = attempt.forward.queue,
                                .team = attempt.forward.team});
  }
  by_connection_.erase(found);
}

void Gateway::Expire(const std::string& id, Attempt& attempt) {
  const bool sent = !attempt.unresolved.empty() || attempt.may_have_run;
  ForwardRefusal refusal;
  if (sent) {
    refusal = {.error = "unknown",
               .message = "no answer before the deadline; the request may have run",
               .not_run = false};
  } else {
    refusal = {.error = "no_owner",
               .message = "no entry VM owned the pool until the deadline",
               .not_run = true,
               .retry_after_ms = 1000};
  }
  RespondEffect response = RefuseHttp(attempt.connection, StatusOf(refusal), refusal);
  Finish(id, attempt, std::move(response),
         sent ? ServiceOutcome::kFailed : ServiceOutcome::kRefused);
}

void Gateway::Tick() {
  while (!timers_.empty() && timers_.begin()->first <= context_.now) {
    const std::string id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    Attempt& attempt = found->second;
    if (context_.now >= attempt.deadline + kDeadlineGrace) {
      Expire(id, attempt);
    } else if (context_.now >= attempt.next_send) {
      SendAttempt(id, attempt);
    } else {
      timers_.emplace(std::min(attempt.next_send, attempt.deadline + kDeadlineGrace), id);
    }
  }
  std::erase_if(relays_, [this](const auto& entry) {
    if (entry.second.expires > context_.now) return false;
    context_.Respond(RefuseHttp(
        entry.second.connection, 503,
        {.error = "no_owner", .message = "the pool's owner did not answer; announce again"}));
    return true;
  });
}

void Gateway::OnAnnouncement(const HttpEvent& request) {
  const Announcement announcement = ReadAnnouncement(request.body);
  const auto vm = context_.state.vms.find(announcement.vm);
  ForwardRefusal refusal;
  int status = 503;
  if (vm == context_.state.vms.end()) {
    status = 404;
    refusal = {.error = "not_found", .message = "the configuration has no VM " + announcement.vm};
  } else if (!context_.HoldsLease() || relays_.size() >= kMaxRelays) {
    refusal = {.error = "no_lease",
               .message = "this entry VM cannot serve now; announce to another"};
  } else {
    const std::string address = OwnerAddress(context_.state, vm->second.pool);
    if (!address.empty()) {
      const std::string relay = context_.UniqueId();
      relays_[relay] = {.connection = request.connection, .expires = context_.now + kRelayTimeout};
      context_.Send(address, AnnounceRelay{.relay = relay,
                                           .gateway_address = context_.options.peer_address,
                                           .announcement = announcement});
      return;
    }
    refusal = {.error = "no_owner", .message = "no entry VM owns the pool now; announce again"};
  }
  context_.Respond(RefuseHttp(request.connection, status, refusal));
}

void Gateway::OnAnnounceReply(const AnnounceReply& reply) {
  const auto relay = relays_.find(reply.relay);
  if (relay == relays_.end()) return;
  const std::uint64_t connection = relay->second.connection;
  relays_.erase(relay);
  if (!reply.accepted) {
    context_.Respond(
        RefuseHttp(connection, 503, {.error = "not_accepted", .message = reply.error}));
    return;
  }
  const nlohmann::json body = {{"announce_after_ms", reply.announce_after_ms},
                               {"epoch", reply.epoch},
                               {"renewed", reply.renewed},
                               {"lease_ms", reply.lease_ms}};
  context_.Respond({.connection = connection, .status = 200, .body = body.dump()});
}

}  // namespace godwitpaddle

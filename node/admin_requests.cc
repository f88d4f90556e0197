#include "node/admin_requests.h"

#include <utility>

namespace godwitpaddle {
namespace {

constexpr Micros kAdminTimeout = 10 * kSecond;
constexpr Micros kAdminRetry = 500 * kMillisecond;
constexpr Micros kRefusedRetry = 50 * kMillisecond;
constexpr std::size_t kMaxPending = 1'000;

}  // namespace

void AdminRequests::OnHttp(const HttpEvent& request) {
  if (pending_.size() >= kMaxPending) {
    context_.Respond(RefuseHttp(
        request.connection, 503,
        {.error = "overloaded", .message = "too many admin requests", .retry_after_ms = 1000}));
    return;
  }
  AdminAction action = PlanAdmin(request, context_.state, context_.wall);
  if (auto* response = std::get_if<RespondEffect>(&action)) {
    response->connection = request.connection;
    context_.Respond(std::move(*response));
    return;
  }
  PendingRequest pending{.connection = request.connection, .expires = context_.now + kAdminTimeout};
  if (auto* command = std::get_if<CommandBody>(&action)) {
    pending.command = std::move(*command);
  } else if (auto* bootstrap = std::get_if<BootstrapAction>(&action)) {
    if (bootstrap->keys.empty() || !bootstrap_()) {
      context_.Respond(RefuseHttp(
          request.connection, 409,
          {.error = "conflict", .message = "this node already belongs to a group or has no disk"}));
      return;
    }
    pending.command = bootstrap->keys.front();
    pending.remaining_keys.assign(bootstrap->keys.begin() + 1, bootstrap->keys.end());
  }
  const std::string id = context_.UniqueId();
  Send(id, pending_[id] = std::move(pending));
}

void AdminRequests::Send(const std::string& id, PendingRequest& pending) {
  pending.next_send = context_.now + kAdminRetry;
  if (pending.command) {
    context_.SendToLeader(Propose{
        .proposal = id, .reply_address = context_.options.peer_address, .body = *pending.command});
  } else {
    context_.SendToLeader(StatusQuery{.query = id, .reply_address = context_.options.peer_address});
  }
}

void AdminRequests::OnReply(const ProposeReply& reply) {
  const auto found = pending_.find(reply.proposal);
  if (found == pending_.end()) return;
  if (!reply.accepted) {
    found->second.next_send = context_.now + kRefusedRetry;
    return;
  }
  found->second.reply = reply;
  if (AnswerIfApplied(found->second)) pending_.erase(found);
}

bool AdminRequests::AnswerIfApplied(PendingRequest& pending) {
  // Waits until this node has applied the change, so that the operator's next read here includes
  // it.
  if (!pending.reply || context_.state.applied_index < pending.reply->index) return false;
  if (pending.reply->result.ok() && !pending.remaining_keys.empty()) {
    pending.command = pending.remaining_keys.front();
    pending.remaining_keys.erase(pending.remaining_keys.begin());
    pending.reply.reset();
    pending.next_send = context_.now;
    return false;
  }
  context_.Respond(AnswerAdmin(pending.connection, pending.reply->result));
  return true;
}

void AdminRequests::OnStatus(const StatusReply& reply) {
  const auto found = pending_.find(reply.query);
  if (found == pending_.end()) return;
  context_.Respond({.connection = found->second.connection, .status = 200, .body = reply.json});
  pending_.erase(found);
}

void AdminRequests::OnHttpClosed(std::uint64_t connection) {
  std::erase_if(pending_,
                [connection](const auto& entry) { return entry.second.connection == connection; });
}

void AdminRequests::Tick() {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    PendingRequest& pending = entry->second;
    if (AnswerIfApplied(pending)) {
      entry = pending_.erase(entry);
    } else if (context_.now >= pending.expires) {
      context_.Respond(
          RefuseHttp(pending.connection, 504,
                     {.error = "unknown",
                      .message = "no answer from a leader; retry with the same change id",
                      .not_run = false,
                      .retry_after_ms = 1000}));
      entry = pending_.erase(entry);
    } else {
      if (!pending.reply && context_.now >= pending.next_send) Send(entry->first, pending);
      ++entry;
    }
  }
}

}  // namespace godwitpaddle

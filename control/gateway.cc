#include "control/gateway.h"

#include <algorithm>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kQueryPeriod = 400 * kMillisecond;      // while the leader answers
constexpr Micros kSearchPeriod = 100 * kMillisecond;     // while it does not
constexpr Micros kLeaderTimeout = 1'300 * kMillisecond;  // three queries without an answer
/// A leader that is silent for longer than this has left a query unanswered: another node may have
/// been elected.
constexpr Micros kLeaderSuspectAfter = 500 * kMillisecond;
/// A call without an answer is answered this long before its caller times out.
constexpr Micros kAnswerMargin = 30 * kMillisecond;
constexpr std::int64_t kLeaderRetryS = 1;  // an election takes about a second
/// A call whose leader is lost waits for the next leader for this part of its time.
constexpr double kLostLeaderPart = 0.4;
constexpr std::size_t kMaxWaiting = 4'000;
constexpr std::size_t kQueriedAtOnce = 2;

Answer NoLeader() {
  return {.code = AnswerCode::kUnavailable,
          .text = "no leader is known; the call was not executed",
          .retry_after_s = kLeaderRetryS};
}

bool ChangesState(const Call& call) {
  const auto* job = std::get_if<JobCall>(&call);
  if (job != nullptr) return job->kind != JobCallKind::kQuery;
  return !std::holds_alternative<ReadConfigurationCall>(call) &&
         !std::holds_alternative<WaveQueryCall>(call);
}

/// Heartbeats are not logged: workers repeat them, several hundred a second on large sites.
bool ShouldLog(const Call& call) { return !std::holds_alternative<HeartbeatCall>(call); }

/// Log fields that identify a call. Calls of clients are identified by their path, which contains
/// the job's id.
Fields Describe(const Call& call) {
  if (const auto* job = std::get_if<JobCall>(&call)) {
    return {{"call", std::string(NameOf(kJobCallKindNames, job->kind))}, {"path", job->path}};
  }
  if (const auto* leave = std::get_if<LeaveCall>(&call)) {
    return {{"call", "leave"}, {"worker", leave->worker}};
  }
  if (const auto* change = std::get_if<ConfigureCall>(&call)) {
    return {{"call", "configure"}, {"version", std::to_string(change->configuration.version)}};
  }
  if (const auto* evacuation = std::get_if<EvacuationCall>(&call)) {
    return {{"call", evacuation->evacuated ? "evacuate" : "take_back"}, {"zone", evacuation->zone}};
  }
  if (const auto* wave = std::get_if<WaveCall>(&call)) {
    return {{"call", "wave"}, {"wave", std::to_string(wave->wave.wave)}};
  }
  if (const auto* query = std::get_if<WaveQueryCall>(&call)) {
    return {{"call", "wave_query"}, {"wave", std::to_string(query->wave)}};
  }
  return {{"call", "read_configuration"}};
}

}  // namespace

Gateway::Gateway(GatewayOptions options)
    : options_(std::move(options)), next_call_(options_.first_call) {}

bool Gateway::HasLeader(Micros now) const {
  return !leader_.empty() && now - leader_last_seen_ < kLeaderTimeout;
}

bool Gateway::IsLeaderSuspect(Micros now) const {
  return now - leader_last_seen_ > kLeaderSuspectAfter;
}

void Gateway::OnCall(CallEvent event, Micros now, Outbox& out) {
  if (!HasLeader(now) || calls_.size() >= kMaxWaiting) return Refuse(event, now, out);
  const std::uint64_t id = next_call_++;
  WaitingCall& waiting = calls_[id];
  waiting.connection = event.connection;
  waiting.call = std::move(event.call);
  waiting.arrived = now;
  waiting.deadline = now + event.timeout_ms * kMillisecond - kAnswerMargin;
  Send(id, waiting, out);
}

/// Adds the term of the known leader and the time since its last answer.
void Gateway::AddLeader(Fields& fields, Micros now) const {
  fields.emplace_back("term", std::to_string(term_));
  fields.emplace_back("leader_seen_ms_ago",
                      std::to_string((now - leader_last_seen_) / kMillisecond));
}

void Gateway::Refuse(const CallEvent& event, Micros now, Outbox& out) const {
  if (ShouldLog(event.call)) {
    Fields fields = Describe(event.call);
    fields.emplace_back("reason", HasLeader(now) ? "too_many_waiting" : "no_leader");
    fields.emplace_back("waiting", std::to_string(calls_.size()));
    AddLeader(fields, now);
    out.Log("call_refused", std::move(fields), Severity::kWarning);
  }
  out.Add(AnswerEffect{.connection = event.connection, .answer = NoLeader()});
  out.Count("calls_without_leader_total");
}

void Gateway::Send(std::uint64_t id, WaitingCall& waiting, Outbox& out) const {
  const bool repeated = waiting.sent_term != 0;
  waiting.sent_term = term_;
  out.Send(leader_, CallRequest{.id = id,
                                .reply_address = options_.own_address,
                                .term = term_,
                                .call = waiting.call,
                                .repeated = repeated});
}

void Gateway::OnReply(const CallReply& reply, Outbox& out) {
  const auto found = calls_.find(reply.id);
  if (found == calls_.end()) return;
  // Not handled: the leader has changed. The call is sent again once the next leader is known.
  if (!reply.handled) return;
  // A refusal because of overload holds for the leader that sent it only. The leader of a later
  // term, to which the call was sent again, may accept it.
  const bool repeated = reply.term < found->second.sent_term;
  if (repeated && reply.answer.code == AnswerCode::kOverloaded) return;
  out.Add(AnswerEffect{.connection = found->second.connection, .answer = reply.answer});
  calls_.erase(found);
}

void Gateway::OnInfo(const LeaderInfo& info, Micros now, Outbox& out) {
  if (!info.addresses.empty() && info.term >= term_) {
    core_nodes_ = std::set<std::string>(info.addresses.begin(), info.addresses.end());
  }
  if (!info.serving) {
    if (IsLeaderSuspect(now) && !info.leader_address.empty()) {
      SendQuery(info.leader_address, now, out);
    }
    return;
  }
  if (info.term < term_) return;
  const bool changed = info.term > term_ || leader_ != info.sender_address;
  leader_ = info.sender_address;
  term_ = info.term;
  leader_last_seen_ = now;
  if (changed || !had_leader_) {
    had_leader_ = true;
    out.Log("leader_found", {{"address", leader_}, {"term", std::to_string(term_)}});
  }
  if (!changed) return;
  for (auto& [id, waiting] : calls_) {
    if (waiting.sent_term < term_) Send(id, waiting, out);
  }
}

void Gateway::OnClosed(std::uint64_t connection) {
  std::erase_if(calls_, [&](const auto& entry) { return entry.second.connection == connection; });
}

void Gateway::SendQuery(const std::string& address, Micros now, Outbox& out) const {
  out.Send(address, LeaderQuery{.reply_address = options_.own_address,
                                .relay_session = options_.relay_session,
                                .relay_time = now});
}

void Gateway::StopRelaying(Micros now, Outbox& out) {
  options_.relay_session = 0;
  if (!leader_.empty()) SendQuery(leader_, now, out);
}

void Gateway::QueryCoreNodes(Micros now, Outbox& out) {
  std::set<std::string> all = core_nodes_;
  all.insert(options_.seeds.begin(), options_.seeds.end());
  if (all.empty()) return;
  for (std::size_t i = 0; i < std::min(kQueriedAtOnce, all.size()); ++i) {
    SendQuery(*std::next(all.begin(), static_cast<std::ptrdiff_t>(next_queried_++ % all.size())),
              now, out);
  }
}

void Gateway::Tick(Micros now, Outbox& out) {
  Expire(now, out);
  const bool has_leader = HasLeader(now);
  if (had_leader_ && !has_leader) {
    had_leader_ = false;
    out.Log("leader_lost",
            {{"address", leader_},
             {"term", std::to_string(term_)},
             {"silent_ms", std::to_string((now - leader_last_seen_) / kMillisecond)}},
            Severity::kWarning);
  }
  const bool leader_suspect = IsLeaderSuspect(now);
  if (now - last_query_ < (leader_suspect ? kSearchPeriod : kQueryPeriod)) return;
  last_query_ = now;
  if (has_leader) SendQuery(leader_, now, out);
  // While the leader is slow or disconnected, another core node may know of a later term.
  if (leader_suspect) QueryCoreNodes(now, out);
}

bool Gateway::IsGivenUp(const WaitingCall& waiting, Micros now) const {
  if (waiting.deadline <= now) return true;
  const auto time = static_cast<double>(waiting.deadline - waiting.arrived);
  return !HasLeader(now) && static_cast<double>(now - waiting.arrived) >= kLostLeaderPart * time;
}

void Gateway::Expire(Micros now, Outbox& out) {
  for (auto next = calls_.begin(); next != calls_.end();) {
    const WaitingCall& waiting = next->second;
    if (!IsGivenUp(waiting, now)) {
      ++next;
      continue;
    }
    Answer answer = NoLeader();
    if (ChangesState(waiting.call)) {
      answer = {.code = AnswerCode::kUnknown,
                .text = "the leader did not answer in time; the outcome is unknown",
                .retry_after_s = kLeaderRetryS};
    }
    if (ShouldLog(waiting.call)) {
      Fields fields = Describe(waiting.call);
      fields.emplace_back("answer", std::string(NameOf(kAnswerCodeNames, answer.code)));
      fields.emplace_back("sent_term", std::to_string(waiting.sent_term));
      AddLeader(fields, now);
      out.Log("call_expired", std::move(fields), Severity::kWarning);
    }
    out.Add(AnswerEffect{.connection = waiting.connection, .answer = answer});
    out.Count("calls_expired_total");
    next = calls_.erase(next);
  }
}

}  // namespace godwitpaddle::jobs

#ifndef GODWITPADDLE_CONTROL_GATEWAY_H_
#define GODWITPADDLE_CONTROL_GATEWAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/events.h"

namespace godwitpaddle::jobs {

struct GatewayOptions {
  std::string own_address;         // peer address to which answers are sent
  std::vector<std::string> seeds;  // addresses of core nodes that are queried first
  std::uint64_t first_call =
      1;  // first call id; random, so that answers to an earlier process do not match
  std::uint64_t relay_session = 0;  // see LeaderQuery
};

/// Forwards calls of clients, workers and operators to the leader and returns its answers. Finds
/// the leader by querying the core nodes. A call is sent once to a leader and repeated only to a
/// leader of a later term. Without an answer its outcome is unknown.
class Gateway {
 public:
  explicit Gateway(GatewayOptions options);

  void OnCall(CallEvent event, Micros now, Outbox& out);
  void OnReply(const CallReply& reply, Outbox& out);
  void OnInfo(const LeaderInfo& info, Micros now, Outbox& out);
  void OnClosed(std::uint64_t connection);
  void SetSeeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }
  void Tick(Micros now, Outbox& out);
  /// Tells the leader that this node relays no more orders.
  void StopRelaying(Micros now, Outbox& out);

  /// Whether a leader is known that answered a query within the time-out.
  bool HasLeader(Micros now) const;
  /// Number of calls without an answer.
  std::size_t waiting() const { return calls_.size(); }

 private:
  struct WaitingCall {
    std::uint64_t connection = 0;
    Call call;
    Micros arrived = 0;
    Micros deadline = 0;
    replication::Term sent_term = 0;  // term of the leader it was last sent to; 0: not sent yet
  };

  void AddLeader(Fields& fields, Micros now) const;
  void Refuse(const CallEvent& event, Micros now, Outbox& out) const;
  void Send(std::uint64_t id, WaitingCall& waiting, Outbox& out) const;
  /// Whether the known leader may have been replaced, because it has not answered for some time.
  bool IsLeaderSuspect(Micros now) const;
  void SendQuery(const std::string& address, Micros now, Outbox& out) const;
  void QueryCoreNodes(Micros now, Outbox& out);
  /// Whether the call is given up: its time is over, or its leader is lost and the rest of its time
  /// is better spent on another attempt of the caller.
  bool IsGivenUp(const WaitingCall& waiting, Micros now) const;
  void Expire(Micros now, Outbox& out);

  GatewayOptions options_;
  std::uint64_t next_call_;
  std::map<std::uint64_t, WaitingCall> calls_;
  std::set<std::string> core_nodes_;  // addresses of the members of the newest known term
  std::size_t next_queried_ = 0;
  std::string leader_;
  replication::Term term_ = 0;
  Micros leader_last_seen_ = 0;
  Micros last_query_ = 0;
  bool had_leader_ = false;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_GATEWAY_H_

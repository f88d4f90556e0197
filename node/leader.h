#ifndef GODWITPADDLE_NODE_LEADER_H_
#define GODWITPADDLE_NODE_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decision/planners.h"
#include "decision/service_level.h"
#include "node/context.h"
#include "node/messages.h"
#include "replication/replica.h"

namespace godwitpaddle {

/// Tasks of the elected leader: it grants node leases, appends the proposals of all nodes and runs
/// the planners.
class Leader {
 public:
  /// `append` appends an encoded command to the log and returns its index, or 0 when this replica
  /// is not the leader.
  using Append = std::function<std::uint64_t(std::string)>;

  Leader(NodeContext& context, const replication::Replica& replica, Append append)
      : context_(context), replica_(replica), append_(std::move(append)) {}

  /// Must be called when this replica becomes leader or stops being leader.
  void OnLeadership(bool leading);
  void OnRenew(const LeaseRenew& renew);
  void OnPropose(const Propose& propose);
  void OnStatusQuery(const StatusQuery& query);
  void OnPlatform(const PlatformEvent& event);
  /// Answers the proposal that was appended at `index`, if any.
  void OnApplied(std::uint64_t index, const ApplyResult& result);
  /// Runs the planners that are due.
  void Tick();

 private:
  struct WaitingProposal {
    std::string proposal;
    std::string reply_address;
  };
  /// The last report of one incarnation that this leader has recorded.
  struct ReportBase {
    bool full = false;  // a full report was recorded, to which changes can refer
    std::uint64_t seq = 0;
  };
  /// A planner with its period. It runs only after the commands of its last run, up to
  /// `last_index`, are applied.
  struct Schedule {
    Micros period = 0;
    std::function<void(Plan&)> run;
    Micros next = 0;
    std::uint64_t last_index = 0;
  };

  /// Returns whether this replica is leader, holds the leader's lease and has committed in its
  /// term, so that it may grant leases, plan and answer status queries.
  bool HoldsLeaderLease() const;
  void RecordReport(const LeaseRenew& renew);
  std::uint64_t AppendBody(CommandBody body);
  void BuildSchedules();
  void CallPlatform(const PlatformCall& call);
  LeaseGrant Grant(const LeaseRenew& renew);

  NodeContext& context_;
  const replication::Replica& replica_;
  Append append_;
  bool leading_ = false;
  bool nodes_added_ = false;
  FleetView view_;
  MovePlannerState moves_;
  BurnHistory burn_;
  std::map<Incarnation, std::map<QueueId, ServiceCounts>> service_counts_;
  std::map<Incarnation, ReportBase> report_bases_;
  // Incarnations for which NodeLeaseExpired is proposed. They get no more grants.
  std::set<Incarnation> expired_;
  std::set<Incarnation> joining_;  // incarnations for which NodeJoined is proposed
  std::map<std::uint64_t, WaitingProposal> proposals_;  // by log index
  std::vector<Schedule> schedules_;
  std::map<std::string, Micros> platform_calls_;  // in flight, by operation id
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_LEADER_H_

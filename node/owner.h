#ifndef GODWITPADDLE_NODE_OWNER_H_
#define GODWITPADDLE_NODE_OWNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/planners.h"
#include "decision/pool_scheduler.h"
#include "node/answer_cache.h"
#include "node/claims.h"
#include "node/context.h"
#include "node/messages.h"

namespace godwitpaddle {

/// Owns pools: their queues, backend servers and running requests, as long as the node lease holds.
class Owner {
 public:
  explicit Owner(NodeContext& context)
      : context_(context),
        claims_(context),
        answers_(context.options.answer_cache_bytes),
        refusals_(kRefusalBytes) {}

  void OnForward(const Forward& forward);
  void OnCancel(const ForwardCancel& cancel);
  void OnQuery(const ForwardQuery& query);
  void OnAnnounce(const AnnounceRelay& relay);
  void OnTask(const TaskEvent& event);
  /// Reacts to the command that was just applied to the state.
  void OnApplied(const Command& command, const ApplyResult& result);
  /// The whole state was replaced by a snapshot.
  void OnInstalled();
  /// Starts, expires and orders what is due. Call it at the end of each step.
  void ProcessDue();
  /// The incarnation lapsed: queued requests go back to their gateways and running ones only
  /// finish.
  void DetachAll();

  /// Fills in this owner's part of the report to the leader.
  void Report(NodeReport& report) const;
  /// True when nothing is queued or running and no claim's end is on its way.
  bool Idle() const { return requests_.empty() && claims_.Idle(); }
  bool owns_pools() const { return !pools_.empty(); }
  /// True once since the last call when a team wants more or less allotment than reported.
  bool TakeDemandChanged();
  /// Throws InvariantViolation when a limit, a slot or an owner is not as it must be.
  void CheckInvariants() const;

 private:
  static constexpr std::size_t kRefusalBytes = 4U << 20U;
  /// The newest announcement of a server; older ones that a gateway held back are ignored.
  struct LastAnnouncement {
    std::string incarnation;
    std::string previous;
    std::uint64_t sequence = 0;
  };
  enum class RequestState : std::uint8_t { kQueued, kClaiming, kRunning };
  struct Request {
    RequestId id = 0;
    PoolId pool;
    Forward forward;
    bool idempotent = false;
    Micros deadline = 0;
    RequestState state = RequestState::kQueued;
    bool claimed = false;
    bool may_have_run = false;
    bool announced = false;   // its task was announced by the server
    bool detached = false;    // of a former incarnation: answered, but not counted
    std::uint64_t epoch = 0;  // of the pool when it was started
    std::string task_id;
    ServerId server;
    std::string address;
  };
  struct Pool {
    PoolId id;
    std::uint64_t epoch = 0;
    Micros owned_since = 0;
    PoolScheduler scheduler;
  };
  /// A task whose connection ended before its server said that it is gone. It counts for its team's
  /// limit until then.
  struct UncertainTask {
    TeamId team;
    ServerId server;
    Micros until = 0;
    bool announced = false;  // announced by its server at least once
  };

  void SyncPools();
  void Reconfigure();
  void Release(std::unique_ptr<Pool> pool);
  void ProcessPool(Pool& pool, bool expire);
  void StartClaims(Pool& pool);
  void Start(Pool& pool, const Placement& placement);
  void OnClaimed(const ClaimBatch& batch, const ApplyResult& result);
  void RefuseClaim(Request& request, ClaimState state);
  bool AnswerDuplicate(const Forward& forward, const QueueConfig& queue);
  std::optional<ForwardRefusal> RefusalOfClaim(const std::string& request_id,
                                               const QueueId& queue) const;
  void FinishTask(Request& request, const TaskEvent& event, TaskEnd end);
  void Answer(Request& request, ForwardAnswer answer);
  void Refuse(Request& request, const Refusal& refusal);
  void ReturnToGateway(Request& request);
  void Reply(const Forward& forward, ForwardAnswer answer);
  void Erase(RequestId id);
  void EndClaim(const Request& request, ClaimState end);
  int RunningLimit(const TeamId& team) const;
  std::map<TeamId, TeamUsage> TeamUsages() const;
  void AddUncertainTask(const Request& request);
  void RemoveUncertainTask(std::map<std::string, UncertainTask>::iterator task);
  bool IsOutdated(const Announcement& announcement);
  /// Replies and remembers it, so that a late copy of the attempt gets the same answer.
  void ReplyAndCache(const Forward& forward, ForwardAnswer answer);
  /// Repeats the answer that an earlier copy of the attempt got; false if there is none.
  bool RepeatAnswer(const Forward& forward);
  void RemoveEndedTasks(const Announcement& announcement);
  std::vector<std::string> RenewedTasks(const Announcement& announcement);
  Pool* FindPool(const PoolId& pool, const Request& request);
  bool ShouldRenew(const std::string& task_id) const;
  SchedulerOptions OptionsOf(const PoolId& pool) const;
  std::set<VmId> BlockedVms(const Pool& pool) const;
  void RefreshBlockedVms();

  NodeContext& context_;
  ClaimWriter claims_;
  AnswerCache answers_;
  AnswerCache refusals_;  // by attempt: a late copy must get the same answer, not be admitted
  std::map<ServerId, LastAnnouncement> last_announcements_;
  std::map<PoolId, std::unique_ptr<Pool>> pools_;
  std::vector<std::unique_ptr<Pool>> released_;  // former pools with running work
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::string, RequestId> by_attempt_;
  std::unordered_map<std::string, RequestId> by_claim_key_;  // claim key
  std::unordered_map<std::string, RequestId> by_task_;
  std::map<std::string, UncertainTask> uncertain_tasks_;
  std::map<TeamId, int> running_;  // of this incarnation, lingering ones included
  std::map<TeamId, TeamUsage> last_usages_;
  RequestId next_request_ = 1;
  std::set<PoolId> dirty_;
  Micros next_tick_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_OWNER_H_

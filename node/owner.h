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

/// Manages the pools that this node owns while it holds its lease: their queues, backend servers
/// and running requests.
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
  /// Reacts to a command, after it was applied to the state.
  void OnApplied(const Command& command, const ApplyResult& result);
  /// Must be called after a snapshot has replaced the state.
  void OnInstalled();
  /// Starts requests, refuses expired ones and sends the orders that are due. Must be called at the
  /// end of each step.
  void ProcessDue();
  /// Handles the expiry of the incarnation's lease: returns queued requests to their gateways and
  /// gives up all pools. Running requests continue and their callers are answered, but the requests
  /// no longer count towards the limits of their teams.
  void DetachAll();

  /// Fills in this owner's part of the report to the leader.
  void Report(NodeReport& report) const;
  /// Returns whether no request is queued or running and no end of a claim is pending.
  bool Idle() const { return requests_.empty() && claims_.Idle(); }
  bool owns_pools() const { return !pools_.empty(); }
  /// Returns whether some team wants to run more requests than its limit on this node, and a
  /// different number than at the last call. If so, the node reports to the leader early.
  bool TakeDemandChanged();
  /// Throws InvariantViolation if a running count is wrong, a team exceeds its allotment or a
  /// pool's scheduler is inconsistent.
  void CheckInvariants() const;

 private:
  static constexpr std::size_t kRefusalBytes = 4U << 20U;
  /// Identifies the newest announcement of a backend server. Older ones, which a gateway may
  /// deliver late, are ignored.
  struct LastAnnouncement {
    std::string incarnation;
    std::string previous;  // incarnation before this one; its announcements are outdated
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
    bool announced = false;   // the server has listed the task in an announcement
    bool detached = false;    // started by an earlier incarnation: not counted for its team
    std::uint64_t epoch = 0;  // epoch of the pool when the request started
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
  /// A task whose connection ended before its result arrived, so its server may still run it. It
  /// counts towards its team's limit until its server stops listing it, or until `until`, when
  /// its lease has expired.
  struct UncertainTask {
    TeamId team;
    ServerId server;
    Micros until = 0;
    bool announced = false;  // the server has listed the task at least once
  };

  /// Takes over and releases pools as the state assigns them.
  void SyncPools();
  /// Applies a changed configuration to the schedulers of all pools.
  void Reconfigure();
  /// Returns the queued requests of a pool to their gateways. The node still waits for the
  /// results of running ones.
  void Release(std::unique_ptr<Pool> pool);
  void ProcessPool(Pool& pool, bool expire);
  void StartClaims(Pool& pool);
  void Start(Pool& pool, const Placement& placement);
  void OnClaimed(const ClaimBatch& batch, const ApplyResult& result);
  void RefuseClaim(Request& request, ClaimState state);
  /// Answers a request whose id is already in use, from the request, the cache or the claim.
  /// Returns false if the id is unused.
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
  /// Returns how many requests of the team this node may run at once.
  int RunningLimit(const TeamId& team) const;
  std::map<TeamId, TeamUsage> TeamUsages() const;
  /// Orders the server to stop the request's task and counts the task as uncertain.
  void AddUncertainTask(const Request& request);
  void RemoveUncertainTask(std::map<std::string, UncertainTask>::iterator task);
  bool IsOutdated(const Announcement& announcement);
  /// Replies and caches the answer, so that a late duplicate of the attempt gets the same answer.
  void ReplyAndCache(const Forward& forward, ForwardAnswer answer);
  /// Repeats the cached answer to a duplicate of the attempt. Returns false if there is none.
  bool RepeatAnswer(const Forward& forward);
  /// Removes the uncertain tasks that the server of the announcement has stopped listing.
  void RemoveEndedTasks(const Announcement& announcement);
  std::vector<std::string> RenewedTasks(const Announcement& announcement);
  /// Returns the owned or released pool that has the request, or nullptr.
  Pool* FindPool(const PoolId& pool, const Request& request);
  /// Returns whether a task in a server's announcement gets a new lease: its owner is this node or
  /// another one whose lease has not expired.
  bool ShouldRenew(const std::string& task_id) const;
  SchedulerOptions OptionsOf(const PoolId& pool) const;
  /// Returns the VMs that must get no new tasks: those with an operation, unless it is in its
  /// hold-down period, and those that the replicated state does not list in the pool.
  std::set<VmId> BlockedVms(const Pool& pool) const;
  void RefreshBlockedVms();

  NodeContext& context_;
  ClaimWriter claims_;
  AnswerCache answers_;
  AnswerCache refusals_;  // by attempt: a late duplicate gets the same answer and is not admitted
  std::map<ServerId, LastAnnouncement> last_announcements_;
  std::map<PoolId, std::unique_ptr<Pool>> pools_;
  // Pools that now have other owners, of which this node still has running tasks.
  std::vector<std::unique_ptr<Pool>> released_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::string, RequestId> by_attempt_;
  std::unordered_map<std::string, RequestId> by_claim_key_;  // key: ClaimKey
  std::unordered_map<std::string, RequestId> by_task_;
  std::map<std::string, UncertainTask> uncertain_tasks_;
  std::map<TeamId, int> running_;  // running requests of this incarnation and uncertain tasks
  std::map<TeamId, TeamUsage> last_usages_;
  RequestId next_request_ = 1;
  std::set<PoolId> dirty_;
  Micros next_tick_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_OWNER_H_

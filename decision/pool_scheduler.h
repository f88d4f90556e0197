#ifndef GODWITPADDLE_DECISION_POOL_SCHEDULER_H_
#define GODWITPADDLE_DECISION_POOL_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/enum_names.h"
#include "base/time.h"
#include "decision/config.h"

namespace godwitpaddle {

using ServerId = std::string;
using RequestId = std::uint64_t;  // unique within the owner's process

enum class Priority : std::uint8_t { kNormal, kUrgent };
inline constexpr EnumNames<2> kPriorityNames = {"normal", "urgent"};

/// Declared or observed size of a request.
struct TaskSize {
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
  Micros run_time = 0;  // declared run time; 0: unknown
  MSGPACK_DEFINE(cores, memory_mb, accelerators, run_time)
};

/// A request to admit to its queue.
struct QueuedRequest {
  RequestId id = 0;
  QueueId queue;
  TeamId team;
  Priority priority = Priority::kNormal;
  TaskSize size;
  Micros arrived = 0;
  Micros deadline = 0;
  bool idempotent = false;
};

/// State that a backend server announces. A server that announces kLeaving gets no new tasks.
enum class ServerState : std::uint8_t { kReady, kLeaving };
inline constexpr EnumNames<2> kServerStateNames = {"ready", "leaving"};

/// A task that runs on a backend server, with its observed usage.
struct RunningTask {
  std::string task_id;
  double cores = 0;
  std::int64_t memory_mb = 0;
  MSGPACK_DEFINE(task_id, cores, memory_mb)
};

/// State that a backend server announces to the owner of its pool.
struct Announcement {
  ServerId server;
  std::string incarnation;
  std::uint64_t sequence = 0;  // increases with each announcement of the incarnation; 0: not stated
  VmId vm;
  std::string rack;
  std::string zone;
  std::string service;
  std::string address;  // "ip:port"
  int slots = 0;
  int connections = 0;
  double cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
  ServerState state = ServerState::kReady;
  std::vector<RunningTask> tasks;
  MSGPACK_DEFINE(server, incarnation, sequence, vm, rack, zone, service, address, slots,
                 connections, cores, memory_mb, accelerators, state, tasks)
};

enum class RefusalReason : std::uint8_t {
  kQueueFull,       // 429; the client may retry
  kNoCapacity,      // 503; no server is ready
  kTooLate,         // 503; the deadline cannot be met
  kInfeasible,      // 503; the request fits no VM of the pool
  kOverLimit,       // 429; the team's limit on running requests (TeamConfig::limit) is 0
  kDeadlinePassed,  // 503; the deadline passed while the request was queued
  kCancelled,
  kReleased,  // the pool got another owner, to which the gateway sends the request again
};
inline constexpr EnumNames<8> kRefusalReasonNames = {"queue_full", "no_capacity", "too_late",
                                                     "infeasible", "over_limit",  "deadline_passed",
                                                     "cancelled",  "released"};

struct Refusal {
  RequestId id = 0;
  RefusalReason reason = RefusalReason::kQueueFull;
  std::string message;
  Micros retry_after = 0;     // 0: a retry does not help
  bool may_have_run = false;  // an earlier attempt was sent and its outcome is unknown
};

/// A decision to start a request on a server. The scheduler has already reserved a slot, a
/// connection and the request's size, and counts the request as running for its team.
struct Placement {
  RequestId id = 0;
  ServerId server;
  std::string address;
  int attempt = 1;
  std::string task_id;  // task_prefix of the options, the request id, and ".N" for attempt N > 1
};

/// An order to a running task, to free its slot for other work or to contain an overrun of its
/// expected size.
enum class TaskOrderKind : std::uint8_t { kCheckpoint, kThrottle, kStop };
inline constexpr EnumNames<3> kTaskOrderKindNames = {"checkpoint", "throttle", "stop"};
struct TaskOrder {
  RequestId id = 0;
  ServerId server;
  TaskOrderKind kind = TaskOrderKind::kCheckpoint;
};

/// How a task, that is one attempt of a request, ended at its server.
enum class TaskEnd : std::uint8_t {
  kDone,          // the server answered with a status below 500
  kNotSent,       // no byte reached the server, or the server refused with X-Not-Run
  kServerFailed,  // the server answered 5xx
  kBroken,        // the connection broke or the lease expired: the task may have run
  kCheckpointed,  // stopped by order with its progress saved; may be placed again
};
inline constexpr EnumNames<5> kTaskEndNames = {"done", "not_sent", "server_failed", "broken",
                                               "checkpointed"};

/// What happens to a request after one of its tasks ended.
enum class FinishResult : std::uint8_t {
  kFinished,   // the request is complete
  kRequeued,   // the request is queued again for another server
  kAbandoned,  // no further attempt is possible, or a retry is not safe
};

/// How urgent requests get slots when the pool is full.
struct UrgentPolicy {
  double reserve = 0;      // fraction of the slots that only urgent requests may use
  bool checkpoint = true;  // whether normal idempotent tasks may be ordered to checkpoint
};

struct SchedulerOptions {
  PoolId pool;
  PoolConfig config;
  std::map<QueueId, QueueConfig> queues;
  std::map<TeamId, TeamConfig> teams;
  PolicyWeights weights;
  int max_attempts = 3;
  std::string task_prefix;  // "<node>-<incarnation>-", which makes task ids unique in the fleet
  // Configured VMs of the pool. A request that fits neither these nor any announced server is
  // refused as infeasible.
  std::vector<VmConfig> configured_vms;
  UrgentPolicy urgent;
};

/// Scheduler of one pool, run by the pool's owner. It decides on admission, the order of requests,
/// the teams' shares and limits, placement, quarantine of servers, and retries. It is
/// deterministic: the same calls give the same decisions.
class PoolScheduler {
 public:
  explicit PoolScheduler(SchedulerOptions options);
  ~PoolScheduler();
  PoolScheduler(PoolScheduler&&) noexcept;
  PoolScheduler& operator=(PoolScheduler&&) noexcept;

  /// Applies a changed configuration. Queued and running requests are kept.
  void Reconfigure(SchedulerOptions options);

  /// Records an announcement. The scheduler uses a server only once it has received an announcement
  /// of it. Tasks that other schedulers started occupy slots until an announcement no longer lists
  /// them.
  void Announce(const Announcement& announcement, Micros now);

  /// Sets the VMs that get no new tasks: those that are draining, in an operation, or of another
  /// pool.
  void SetBlockedVms(std::set<VmId> vms);

  /// Admits the request to its queue (nothing is returned) or refuses it. A refused request was not
  /// run. A repeated call does not queue an admitted request again.
  std::optional<Refusal> Admit(const QueuedRequest& request, Micros now);

  /// A request that is not idempotent may be placed only after its claim was recorded.
  /// TakeClaimCandidates returns each such request once, when its turn to be placed is near; the
  /// caller makes the claim and then calls ConfirmClaim. Idempotent requests need no claim.
  std::vector<RequestId> TakeClaimCandidates(Micros now);
  void ConfirmClaim(RequestId id, Micros now);

  /// Decides which requests start now. `cap(team)` is the largest number of requests that the team
  /// may have running in this scheduler.
  std::vector<Placement> Dispatch(const std::function<int(const TeamId&)>& cap, Micros now);

  /// Removes and returns the queued requests whose deadline has passed or can no longer be met, and
  /// those that urgent requests displaced from the queue.
  std::vector<Refusal> Expire(Micros now);

  /// Returns the orders to running tasks that are due now. An order is due
  /// - if no slot is free and an urgent request within its team's UrgentQuota has waited for
  ///   kUrgentMaxWait (300 ms): a normal idempotent task is ordered to checkpoint, unless
  ///   UrgentPolicy::checkpoint is false;
  /// - if a task uses more than kOverrunFactor (2) times its expected cores or memory on a nearly
  ///   full server: it is ordered to throttle, and, if idempotent, to checkpoint and then to stop,
  ///   each kOverrunInterval (3 s) or more after the order before;
  /// - if a VM has been blocked (SetBlockedVms) for kDrainDelay (60 s): its idempotent tasks are
  ///   ordered to checkpoint, and again at this interval.
  /// Each order is returned by one call only, so the caller must send it.
  std::vector<TaskOrder> TakeOrders(Micros now);

  /// Records the end of a request's task. Returns kAbandoned for a request that is not running.
  FinishResult Finish(RequestId id, TaskEnd end, Micros now);

  /// Removes a queued request. Returns false if the request is running or unknown.
  bool Cancel(RequestId id);

  /// Removes and returns all queued requests, when the pool gets another owner. Running requests
  /// are kept.
  std::vector<RequestId> ReleaseQueued();

  int RunningOf(const TeamId& team) const;
  int QueuedOf(const TeamId& team) const;
  int running() const;
  int queued() const;
  int ready_slots() const;
  double arrivals_per_second(Micros now) const;
  double mean_run_seconds() const;

  /// State of one VM. `running` counts the tasks of this and of other schedulers.
  struct VmStatus {
    VmId vm;
    bool ready = false;
    int running = 0;
    std::string server_incarnation;
  };
  std::vector<VmStatus> Vms(Micros now) const;

  /// Returns the first violated invariant of counters, slots and connections, or nothing. The full
  /// recount runs only in every 64th call.
  std::optional<std::string> FindViolation() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// A server whose last announcement is this old counts as silent and gets no tasks.
inline constexpr Micros kServerSilence = 3 * kSecond;

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::Priority)
MSGPACK_ADD_ENUM(godwitpaddle::ServerState)
MSGPACK_ADD_ENUM(godwitpaddle::TaskEnd)

#endif  // GODWITPADDLE_DECISION_POOL_SCHEDULER_H_

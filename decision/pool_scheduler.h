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
  Micros run_time = 0;  // declared run time; 0 when unknown
  MSGPACK_DEFINE(cores, memory_mb, accelerators, run_time)
};

/// A request that asks for admission.
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

enum class ServerState : std::uint8_t { kReady, kLeaving };
inline constexpr EnumNames<2> kServerStateNames = {"ready", "leaving"};

struct RunningTask {
  std::string task_id;
  double cores = 0;
  std::int64_t memory_mb = 0;
  MSGPACK_DEFINE(task_id, cores, memory_mb)
};

/// What a backend server announces.
struct Announcement {
  ServerId server;
  std::string incarnation;
  std::uint64_t sequence = 0;  // grows with each announcement of the incarnation; 0 if not told
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
  kQueueFull,       // 429, retry helps
  kNoCapacity,      // 503, no server ready
  kTooLate,         // 503, the deadline cannot be met
  kInfeasible,      // 503, no VM shape of the pool can hold it
  kOverLimit,       // 429, the team's limit is 0
  kDeadlinePassed,  // 503, the deadline passed while queued
  kCancelled,
  kReleased,  // the pool changed its owner; the gateway sends it again
};
inline constexpr EnumNames<8> kRefusalReasonNames = {"queue_full", "no_capacity", "too_late",
                                                     "infeasible", "over_limit",  "deadline_passed",
                                                     "cancelled",  "released"};

struct Refusal {
  RequestId id = 0;
  RefusalReason reason = RefusalReason::kQueueFull;
  std::string message;
  Micros retry_after = 0;     // 0: waiting does not help
  bool may_have_run = false;  // an earlier attempt was sent: the outcome is unknown
};

/// A decision to start a request on a server. Slot, connection, size and team count are taken at
/// once.
struct Placement {
  RequestId id = 0;
  ServerId server;
  std::string address;
  int attempt = 1;
  std::string task_id;  // SchedulerOptions::task_prefix, the request id and ".N" for attempt N > 1
};

/// An order about running work: make room or contain an overrun.
enum class TaskOrderKind : std::uint8_t { kCheckpoint, kThrottle, kStop };
inline constexpr EnumNames<3> kTaskOrderKindNames = {"checkpoint", "throttle", "stop"};
struct TaskOrder {
  RequestId id = 0;
  ServerId server;
  TaskOrderKind kind = TaskOrderKind::kCheckpoint;
};

/// How a started request ended at its server.
enum class TaskEnd : std::uint8_t {
  kDone,          // an answer that counts as served
  kNotSent,       // no byte reached the server, or it refused with X-Not-Run
  kServerFailed,  // 5xx
  kBroken,        // the connection broke or the lease lapsed: may have run
  kCheckpointed,  // stopped at our request with its progress kept; may be placed again
};
inline constexpr EnumNames<5> kTaskEndNames = {"done", "not_sent", "server_failed", "broken",
                                               "checkpointed"};

/// What becomes of a request after its task ended.
enum class FinishResult : std::uint8_t {
  kFinished,   // answer it
  kRequeued,   // will be placed again on another server
  kAbandoned,  // bounded attempts are used up, or a retry is not safe
};

/// How room is made for urgent requests when the pool is full.
struct UrgentPolicy {
  double reserve = 0;      // share of the slots that only urgent requests may take
  bool checkpoint = true;  // ask lower work to checkpoint
};

struct SchedulerOptions {
  PoolId pool;
  PoolConfig config;
  std::map<QueueId, QueueConfig> queues;
  std::map<TeamId, TeamConfig> teams;
  PolicyWeights weights;
  int max_attempts = 3;
  std::string task_prefix;  // "<node>-<incarnation>-", makes task ids unique in the fleet
  std::vector<VmConfig> configured_vms;  // configured VMs of the pool, to tell what can never fit
  UrgentPolicy urgent;
};

/// Scheduler of one pool at its owner: admission, order, shares, limits, placement, quarantine and
/// retries. Deterministic: the same calls give the same decisions.
class PoolScheduler {
 public:
  explicit PoolScheduler(SchedulerOptions options);
  ~PoolScheduler();
  PoolScheduler(PoolScheduler&&) noexcept;
  PoolScheduler& operator=(PoolScheduler&&) noexcept;

  /// Takes over a changed configuration; queued and running requests stay.
  void Reconfigure(SchedulerOptions options);

  /// Records an announcement. A server is used only after an announcement received by this
  /// scheduler; tasks that are not its own occupy slots until an announcement no longer lists them.
  void Announce(const Announcement& announcement, Micros now);

  /// VMs that may not get new work (draining, in an operation, or of another pool).
  void SetBlockedVms(std::set<VmId> vms);

  /// Admits the request to its queue or refuses it. A refused request was not run.
  std::optional<Refusal> Admit(const QueuedRequest& request, Micros now);

  /// A request that needs something first (a claim) is held: it is offered by TakeHeld once it is
  /// next in line, and is placed only after Unhold. Requests on idempotent queues are never held.
  std::vector<RequestId> TakeClaimCandidates(Micros now);
  void ConfirmClaim(RequestId id, Micros now);

  /// Decides what starts now. `cap(team)` is the most that the team may have running here.
  std::vector<Placement> Dispatch(const std::function<int(const TeamId&)>& cap, Micros now);

  /// Queued requests whose deadline passed or cannot be met any more, or whose place an urgent
  /// request took; they are removed.
  std::vector<Refusal> Expire(Micros now);

  /// Orders about running work: room for urgent requests, overruns, drains that wait too long.
  std::vector<TaskOrder> TakeOrders(Micros now);

  /// Records the end of a started request.
  FinishResult Finish(RequestId id, TaskEnd end, Micros now);

  /// Removes a queued request; false if it is running or unknown.
  bool Cancel(RequestId id);

  /// Removes all queued requests (change of owner); running ones stay.
  std::vector<RequestId> ReleaseQueued();

  int RunningOf(const TeamId& team) const;
  int QueuedOf(const TeamId& team) const;
  int running() const;
  int queued() const;
  int ready_slots() const;
  double arrivals_per_second(Micros now) const;
  double mean_run_seconds() const;

  /// VM, ready, tasks running there (own and others'), and the server's incarnation.
  struct VmStatus {
    VmId vm;
    bool ready = false;
    int running = 0;
    std::string server_incarnation;
  };
  std::vector<VmStatus> Vms(Micros now) const;

  /// First violated invariant (slots, connections, leaving servers, counters), or nothing.
  std::optional<std::string> FindViolation() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

inline constexpr Micros kServerSilence = 3 * kSecond;

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::Priority)
MSGPACK_ADD_ENUM(godwitpaddle::ServerState)
MSGPACK_ADD_ENUM(godwitpaddle::TaskEnd)

#endif  // GODWITPADDLE_DECISION_POOL_SCHEDULER_H_

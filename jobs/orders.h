#ifndef GODWITPADDLE_JOBS_ORDERS_H_
#define GODWITPADDLE_JOBS_ORDERS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "jobs/types.h"

/// Orders of the leader to the workers and to the platform, and their replies.
namespace godwitpaddle::jobs {

struct StartOrder {
  TaskId task;
  std::uint32_t run = 0;
  std::string payload;              // of the job, unchanged
  std::string checkpoint;           // of an earlier run, from which this run resumes; empty: none
  std::int64_t lease_until_ms = 0;  // end of the lease by the worker's clock
  MSGPACK_DEFINE(task, run, payload, checkpoint, lease_until_ms)
};

struct StopOrder {
  TaskId task;
  std::uint32_t run = 0;
  MSGPACK_DEFINE(task, run)
};

/// Renews the lease of all runs on the worker and requests its lists of running and ended runs.
struct RenewLeaseOrder {
  /// The worker may discard its ended runs up to this sequence number (EndedRun::number).
  std::uint64_t acknowledged_ends = 0;
  std::optional<std::int64_t> lease_until_ms;  // on the worker's clock; unset: not renewed
  std::int64_t max_wait_ms = 0;  // how long the worker may delay its reply until a run ends
  MSGPACK_DEFINE(acknowledged_ends, lease_until_ms, max_wait_ms)
};

/// Limits a running task to a percentage of its full speed.
struct ThrottleOrder {
  TaskId task;
  std::uint32_t run = 0;
  std::uint32_t speed_percent = 100;
  MSGPACK_DEFINE(task, run, speed_percent)
};

using Order = std::variant<StartOrder, StopOrder, RenewLeaseOrder, ThrottleOrder>;

enum class OrderOutcome : std::uint8_t {
  kDone,
  kRefused,        // see OrderReply::reason
  kUnhealthy,      // the worker is overloaded or unavailable and has not carried out the order
  kOtherInstance,  // another worker answered at the address
  kInvalid,        // the worker could not parse the order
  kNotSent,        // not sent, hence never carried out
  kUnknown,        // may have been carried out, or may still be
};
inline constexpr EnumNames<7> kOrderOutcomeNames = {
    "done", "refused", "unhealthy", "other_instance", "invalid", "not_sent", "unknown"};

enum class RefusalReason : std::uint8_t {
  kNone,
  kStaleToken,    // the worker has seen a higher fencing token
  kStaleRun,      // this run or a later one of the task has ended or was stopped
  kLeaseExpired,  // `lease_until_ms` had passed when the order arrived
  kNoCapacity,    // the task does not fit into the free capacity
  kNoTicket       // no ticket of the queue's policy service
};
/// The names in the workers' protocol, except that the protocol has an empty string for kNone.
inline constexpr EnumNames<6> kRefusalReasonNames = {"none", "fence", "old",
                                                     "late", "room",  "ticket"};

struct RunningTask {
  TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;
  std::uint32_t speed_percent = 0;
  /// Load that the worker measured: for a serving task its tail response time in ms, for other
  /// tasks the CPU that they use; 0: not measured. The leader stores it but bases no decision on
  /// it.
  std::int64_t load_metric = 0;
  MSGPACK_DEFINE(task, run, checkpoint, speed_percent, load_metric)
};

struct EndedRun {
  std::uint64_t number = 0;  // the worker's sequence number of the end, from 1
  TaskId task;
  std::uint32_t run = 0;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
  MSGPACK_DEFINE(number, task, run, kind, checkpoint)
};

/// A connection to a server from this process, or from a relay's, numbered in the order of opening.
/// It ends with the server's process, so it never reaches another incarnation.
using ConnectionId = std::uint64_t;

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  ConnectionId connection = 0;  // on which the reply arrived; 0: not known
  RefusalReason reason = RefusalReason::kNone;
  std::int64_t clock_ms = 0;        // the worker's clock; 0 without a reply
  std::int64_t incarnation_ms = 0;  // of the worker that replied to a RenewLeaseOrder
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
  MSGPACK_DEFINE(outcome, connection, reason, clock_ms, incarnation_ms, running, ended)
};

/// One call to a worker.
struct OrderEffect {
  std::uint64_t token = 0;  // identifies the call in the OrderEvent
  std::string address;
  WorkerId worker;
  std::uint64_t fencing_token = 0;
  Order order;
  std::int64_t timeout_ms = 0;
  /// The order may be sent only on a connection that is open already and was opened no later than
  /// this one; the outcome is kNotSent if none is free. 0: any connection.
  ConnectionId newest_connection = 0;
  /// The order must not be sent after this time, on this process's clock.
  Micros send_deadline = kNever;
  MSGPACK_DEFINE(token, address, worker, fencing_token, order, timeout_ms, newest_connection)
};

struct OrderEvent {
  std::uint64_t token = 0;
  OrderReply reply;
  MSGPACK_DEFINE(token, reply)
};

// ---- platform ----

enum class VmPhase : std::uint8_t { kUp, kMoving, kInMaintenance, kDown };

struct VmRecord {
  VmId vm;
  std::string pool;
  std::string zone;
  VmPhase phase = VmPhase::kUp;
  std::vector<std::string> labels;
  Resources capacity;
  WorkerId worker;
};

struct ListVms {
  std::string page;  // VmReply::next_page of the page before; empty: the first page
};
struct MoveVm {
  VmId vm;
  std::string pool;
};
struct MaintainVm {
  VmId vm;
  WaveId wave = 0;
};
using VmOrder = std::variant<ListVms, MoveVm, MaintainVm>;

enum class VmOutcome : std::uint8_t {
  kDone,
  kFenced,     // refused: the platform has seen a higher fencing token
  kBusy,       // refused for any other reason; treated as a VM that is busy
  kNotInWave,  // refused: the VM does not belong to the maintenance wave
  kNoSuchVm,
  kThrottled,  // refused because of too many requests; may be retried
  kNotSent,    // not sent, hence never carried out
  kUnknown     // may have been carried out, or may still be
};
inline constexpr EnumNames<8> kVmOutcomeNames = {
    "done", "fenced", "busy", "not_in_wave", "no_such_vm", "throttled", "not_sent", "unknown"};

/// Most orders to the platform that are in progress at a time, not counting the request of the
/// list. Each has a connection of its own.
inline constexpr std::size_t kMaxVmOrdersInProgress = 32;

struct VmReply {
  VmOutcome outcome = VmOutcome::kUnknown;
  std::vector<VmRecord> vms;   // of a ListVms order
  std::size_t unreadable = 0;  // entries of the list that name no VM
  std::string next_page;       // token of the next page of the list; empty: this is the last page
};

struct VmEffect {
  std::uint64_t token = 0;
  /// The order must not be sent after this time, because the next leader may send orders from then
  /// on.
  Micros send_deadline = 0;
  std::string holder;  // name of the leader's node
  std::uint64_t fencing_token = 0;
  VmOrder order;
};

struct VmEvent {
  std::uint64_t token = 0;
  VmReply reply;
};

}  // namespace godwitpaddle::jobs

MSGPACK_ADD_ENUM(godwitpaddle::jobs::OrderOutcome)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::RefusalReason)

#endif  // GODWITPADDLE_JOBS_ORDERS_H_

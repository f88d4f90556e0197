#ifndef GODWITPADDLE_DECISION_COMMANDS_H_
#define GODWITPADDLE_DECISION_COMMANDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/codec.h"
#include "decision/fleet_state.h"

namespace godwitpaddle {

/// A node obtained its first lease.
struct NodeJoined {
  Incarnation incarnation;
  NodeRecord record;
  MSGPACK_DEFINE(incarnation, record)
};

/// The node's lease ran out: its pools may be reassigned and its open claims become unknown.
struct NodeLeaseExpired {
  Incarnation incarnation;
  MSGPACK_DEFINE(incarnation)
};

/// The task leases of a lapsed node ran out as well: its allotments are freed and its record is
/// removed.
struct NodeRemoved {
  Incarnation incarnation;
  MSGPACK_DEFINE(incarnation)
};

/// First half of a change of owner. Ignored unless `epoch` is the current one.
struct ReleasePool {
  PoolId pool;
  std::uint64_t epoch = 0;
  MSGPACK_DEFINE(pool, epoch)
};

/// Second half: the pool gets an owner under `epoch`, which must be the current epoch plus one, and
/// the pool must be released or its owner lapsed or gone.
struct AssignPool {
  PoolId pool;
  Incarnation owner;
  std::uint64_t epoch = 0;
  MSGPACK_DEFINE(pool, owner, epoch)
};

struct AllotmentChange {
  TeamId team;
  Incarnation incarnation;
  int granted = 0;
  int target = 0;
  MSGPACK_DEFINE(team, incarnation, granted, target)
};

/// Sets allotments. A change that would take the sum of a team's `granted` over its limit is
/// skipped.
struct SetAllotments {
  std::vector<AllotmentChange> changes;
  MSGPACK_DEFINE(changes)
};

struct ClaimRequest {
  QueueId queue;
  std::string request_id;
  std::string attempt;
  WallMs created = 0;  // from the request id
  MSGPACK_DEFINE(queue, request_id, attempt, created)
};

/// Claims non-idempotent requests for the owner of a pool. Refused as a whole when the epoch is
/// old.
struct ClaimBatch {
  PoolId pool;
  std::uint64_t epoch = 0;
  Incarnation owner;
  std::vector<ClaimRequest> claims;
  MSGPACK_DEFINE(pool, epoch, owner, claims)
};

struct ClaimEnd {
  QueueId queue;
  std::string request_id;
  std::string attempt;
  ClaimState end = ClaimState::kDone;
  MSGPACK_DEFINE(queue, request_id, attempt, end)
};

/// Records how claimed requests ended. Ends of other attempts' claims are ignored.
struct ClaimEnds {
  std::vector<ClaimEnd> ends;
  MSGPACK_DEFINE(ends)
};

/// Submits changed files for review. A file without content is to be removed.
struct SubmitConfig {
  std::string change_id;
  std::uint64_t base_revision = 0;
  std::string author;
  std::map<std::string, std::optional<std::string>> files;
  MSGPACK_DEFINE(change_id, base_revision, author, files)
};

/// Approves or vetoes pending files; approved files are validated together with those in force.
struct DecideReview {
  std::string change_id;
  std::string author;
  bool approve = false;
  std::vector<std::string> files;
  MSGPACK_DEFINE(change_id, author, approve, files)
};

/// Puts files in force whose review window has lapsed at the command's stamp.
struct ActivateDueFiles {
  bool unused = false;
  MSGPACK_DEFINE(unused)
};

struct GrantKey {
  std::string change_id;
  KeyRecord key;
  MSGPACK_DEFINE(change_id, key)
};

struct RevokeKey {
  std::string change_id;
  std::string key_id;
  MSGPACK_DEFINE(change_id, key_id)
};

enum class WaveAction : std::uint8_t { kStart, kPause, kResume, kCancel };
inline constexpr EnumNames<4> kWaveActionNames = {"start", "pause", "resume", "cancel"};

struct ControlWave {
  std::string change_id;
  WaveId wave;
  WaveAction action = WaveAction::kStart;
  std::string reason;
  MSGPACK_DEFINE(change_id, wave, action, reason)
};

/// An observed loss or return of a VM.
struct SetVmHealth {
  VmId vm;
  bool healthy = true;
  MSGPACK_DEFINE(vm, healthy)
};

/// Starts an operation on a VM. Refused when the VM has one already or the pool's budget forbids
/// it.
struct StartVmOperation {
  std::string change_id;  // drains by hand only, else empty
  VmId vm;
  VmOperation operation;
  MSGPACK_DEFINE(change_id, vm, operation)
};

/// Takes an operation from one phase to the next. Ignored unless the VM is in `from` of that
/// operation.
struct AdvanceVmOperation {
  VmId vm;
  std::string operation_id;
  VmPhase from = VmPhase::kDraining;
  VmPhase to = VmPhase::kStopping;
  std::string error;
  std::string server_incarnation;  // draining to stopping: of the backend server that is stopped
  MSGPACK_DEFINE(vm, operation_id, from, to, error, server_incarnation)
};

/// Ends an operation: the VM counts again (reboot, move), or was undrained, or is given up.
struct FinishVmOperation {
  std::string change_id;  // undrain by hand only, else empty
  VmId vm;
  std::string operation_id;
  bool succeeded = true;
  MSGPACK_DEFINE(change_id, vm, operation_id, succeeded)
};

using CommandBody = std::variant<NodeJoined, NodeLeaseExpired, NodeRemoved, ReleasePool, AssignPool,
                                 SetAllotments, ClaimBatch, ClaimEnds, SubmitConfig, DecideReview,
                                 ActivateDueFiles, GrantKey, RevokeKey, ControlWave, SetVmHealth,
                                 StartVmOperation, AdvanceVmOperation, FinishVmOperation>;

/// One record of the log: a command with the leader's wall time.
struct Command {
  WallMs wall = 0;
  CommandBody body;
  MSGPACK_DEFINE(wall, body)
};

/// Applies the command at `index`. Deterministic; a refused command changes nothing but its kept
/// answer.
ApplyResult Apply(FleetState& state, std::uint64_t index, const Command& command);

/// As FindViolation, but checks only what the command just applied can have changed: under a
/// microsecond for most commands, where the whole check grows with the fleet.
std::optional<std::string> FindViolationAfter(const FleetState& state, const Command& command);

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::WaveAction)

#endif  // GODWITPADDLE_DECISION_COMMANDS_H_

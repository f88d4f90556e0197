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

/// Records an incarnation that has obtained its first lease. Refused if its lease has
/// already expired.
struct NodeJoined {
  Incarnation incarnation;
  NodeRecord record;
  MSGPACK_DEFINE(incarnation, record)
};

/// Records that the lease of an incarnation has expired: its pools may be assigned to others, and
/// its running claims become unknown.
struct NodeLeaseExpired {
  Incarnation incarnation;
  MSGPACK_DEFINE(incarnation)
};

/// Removes an incarnation whose lease and whose tasks' leases have expired, and frees its
/// allotments.
struct NodeRemoved {
  Incarnation incarnation;
  MSGPACK_DEFINE(incarnation)
};

/// Takes the pool from its owner: the first step of a change of owner. Refused unless `epoch` is
/// the current one.
struct ReleasePool {
  PoolId pool;
  std::uint64_t epoch = 0;
  MSGPACK_DEFINE(pool, epoch)
};

/// Assigns the pool to `owner`: the second step of a change of owner. `epoch` must be the current
/// one plus one. Refused while the pool has an owner whose lease has not expired.
struct AssignPool {
  PoolId pool;
  Incarnation owner;
  std::uint64_t epoch = 0;
  MSGPACK_DEFINE(pool, owner, epoch)
};

/// New values of one allotment; both 0: the allotment is removed.
struct AllotmentChange {
  TeamId team;
  Incarnation incarnation;
  int granted = 0;
  int target = 0;
  MSGPACK_DEFINE(team, incarnation, granted, target)
};

/// Sets allotments. Skips each change that would raise the sum of a team's `granted` over its
/// limit, that lowers `granted` below the stored or the new `target`, that has a negative value, or
/// that concerns an incarnation that is unknown or whose lease has expired.
struct SetAllotments {
  std::vector<AllotmentChange> changes;
  MSGPACK_DEFINE(changes)
};

/// The claim of one request by one attempt.
struct ClaimRequest {
  QueueId queue;
  std::string request_id;
  std::string attempt;
  WallMs created = 0;  // creation time of the request, taken from its id
  MSGPACK_DEFINE(queue, request_id, attempt, created)
};

/// Claims non-idempotent requests for the owner of a pool. Refused as a whole unless `owner` owns
/// the pool under `epoch`.
struct ClaimBatch {
  PoolId pool;
  std::uint64_t epoch = 0;
  Incarnation owner;
  std::vector<ClaimRequest> claims;
  MSGPACK_DEFINE(pool, epoch, owner, claims)
};

/// The end of one claimed request.
struct ClaimEnd {
  QueueId queue;
  std::string request_id;
  std::string attempt;
  ClaimState end = ClaimState::kDone;
  MSGPACK_DEFINE(queue, request_id, attempt, end)
};

/// Records how claimed requests ended. Ignores an end of an attempt that does not hold the claim.
struct ClaimEnds {
  std::vector<ClaimEnd> ends;
  MSGPACK_DEFINE(ends)
};

/// Submits changed files for review. A file without content is to be removed. Refused unless
/// `base_revision` is the current revision.
struct SubmitConfig {
  std::string change_id;
  std::uint64_t base_revision = 0;
  std::string author;
  std::map<std::string, std::optional<std::string>> files;
  MSGPACK_DEFINE(change_id, base_revision, author, files)
};

/// Approves or vetoes pending files. Approved files are validated together with those in force and
/// put in force at once.
struct DecideReview {
  std::string change_id;
  std::string author;
  bool approve = false;
  std::vector<std::string> files;
  MSGPACK_DEFINE(change_id, author, approve, files)
};

/// Puts pending files in force whose review window has ended at the command's timestamp. Has no
/// effect if the configuration requires an explicit review.
struct ActivateDueFiles {
  bool unused = false;
  MSGPACK_DEFINE(unused)
};

/// Grants an API key. Granting the same key again has no effect.
struct GrantKey {
  std::string change_id;
  KeyRecord key;
  MSGPACK_DEFINE(change_id, key)
};

/// Revokes an API key.
struct RevokeKey {
  std::string change_id;
  std::string key_id;
  MSGPACK_DEFINE(change_id, key_id)
};

enum class WaveAction : std::uint8_t { kStart, kPause, kResume, kCancel };
inline constexpr EnumNames<4> kWaveActionNames = {"start", "pause", "resume", "cancel"};

/// Starts, pauses, resumes or cancels a wave. `reason` is recorded on a pause or a cancellation.
struct ControlWave {
  std::string change_id;
  WaveId wave;
  WaveAction action = WaveAction::kStart;
  std::string reason;
  MSGPACK_DEFINE(change_id, wave, action, reason)
};

/// Records the observed loss or return of a VM.
struct SetVmHealth {
  VmId vm;
  bool healthy = true;
  MSGPACK_DEFINE(vm, healthy)
};

/// Starts an operation on a VM. Refused if the VM already has one, if the pool's availability
/// budget forbids it, or if planned work is in progress in another availability zone of a pool with
/// PoolConfig::one_zone_at_a_time.
struct StartVmOperation {
  std::string change_id;  // set for drains ordered by an operator, else empty
  VmId vm;
  VmOperation operation;
  MSGPACK_DEFINE(change_id, vm, operation)
};

/// Moves an operation from one phase to the next. Refused unless the VM is in phase `from` of that
/// operation.
struct AdvanceVmOperation {
  VmId vm;
  std::string operation_id;
  VmPhase from = VmPhase::kDraining;
  VmPhase to = VmPhase::kStopping;
  std::string error;
  std::string server_incarnation;  // of the backend server that is stopped; set for kStopping
  MSGPACK_DEFINE(vm, operation_id, from, to, error, server_incarnation)
};

/// Ends an operation. Succeeded: the VM counts as available again (reboot, move) or was undrained.
/// Else the operation is abandoned.
struct FinishVmOperation {
  std::string change_id;  // set if an operator undrains the VM, else empty
  VmId vm;
  std::string operation_id;
  bool succeeded = true;
  MSGPACK_DEFINE(change_id, vm, operation_id, succeeded)
};

using CommandBody = std::variant<NodeJoined, NodeLeaseExpired, NodeRemoved, ReleasePool, AssignPool,
                                 SetAllotments, ClaimBatch, ClaimEnds, SubmitConfig, DecideReview,
                                 ActivateDueFiles, GrantKey, RevokeKey, ControlWave, SetVmHealth,
                                 StartVmOperation, AdvanceVmOperation, FinishVmOperation>;

/// One entry of the replicated log: a command with the leader's wall time, its timestamp.
struct Command {
  WallMs wall = 0;
  CommandBody body;
  MSGPACK_DEFINE(wall, body)
};

/// Applies the command at log index `index`. Deterministic: all replicas reach the same state. A
/// refused command changes nothing except that its result is stored. A command whose change id has
/// a stored result is not applied again and returns that result.
ApplyResult Apply(FleetState& state, std::uint64_t index, const Command& command);

/// Like FindViolation, but checks only the invariants of the state that `command` can have changed;
/// called just after the command was applied. Takes less than a microsecond for most commands,
/// whereas the time of FindViolation grows with the fleet.
std::optional<std::string> FindViolationAfter(const FleetState& state, const Command& command);

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::WaveAction)

#endif  // GODWITPADDLE_DECISION_COMMANDS_H_

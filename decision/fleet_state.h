#ifndef GODWITPADDLE_DECISION_FLEET_STATE_H_
#define GODWITPADDLE_DECISION_FLEET_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/enum_names.h"
#include "base/time.h"
#include "decision/config.h"

namespace godwitpaddle {

/// One life of a daemon process: "<node>-<8 hex digits>".
using Incarnation = std::string;

/// What a VM goes through during an operation, in this order.
enum class VmPhase : std::uint8_t {
  kDraining,   // no new work; running work finishes
  kStopping,   // the platform reboots or moves the VM
  kVerifying,  // waits for the backend server to announce itself ready
  kHoldDown,   // ready, but does not count for the budget yet
  kDrained,    // drained by hand; stays so until undrained
  kFailed,     // the platform or the verification failed; needs an operator or a retry
};
inline constexpr EnumNames<6> kVmPhaseNames = {"draining",  "stopping", "verifying",
                                               "hold_down", "drained",  "failed"};

enum class VmOperationKind : std::uint8_t { kReboot, kMove, kDrain };
inline constexpr EnumNames<3> kVmOperationKindNames = {"reboot", "move", "drain"};

/// The one operation that a VM may have.
struct VmOperation {
  std::string id;  // also the platform's operation id
  VmOperationKind kind = VmOperationKind::kReboot;
  VmPhase phase = VmPhase::kDraining;
  WaveId wave;    // empty outside waves
  PoolId target;  // moves only
  WallMs phase_since = 0;
  std::string error;
  std::uint64_t phase_index = 0;   // log index of the step into this phase
  std::string server_incarnation;  // of the backend server when the VM was stopped
  MSGPACK_DEFINE(id, kind, phase, wave, target, phase_since, error, phase_index, server_incarnation)
};

/// A VM as the fleet manages it. The map key is the VM, so it has exactly one pool.
struct VmRecord {
  PoolId pool;
  std::string region;
  std::string zone;
  std::string rack;
  bool healthy = true;  // false after an unplanned loss
  std::optional<VmOperation> operation;
  MSGPACK_DEFINE(pool, region, zone, rack, healthy, operation)
};

enum class WaveState : std::uint8_t { kRunning, kPaused, kCancelled, kDone };
inline constexpr EnumNames<4> kWaveStateNames = {"running", "paused", "cancelled", "done"};

/// Progress of a started wave. A VM is in `remaining` until its operation is done.
struct WaveRecord {
  WaveState state = WaveState::kRunning;
  std::string reason;            // of a pause
  std::uint64_t run_number = 0;  // grows with each start, part of operation ids
  std::set<VmId> remaining;
  std::set<VmId> done;
  std::set<VmId> failed;
  WallMs started = 0;
  WallMs ended = 0;
  std::set<VmId>
      accepted_failures;  // failures known at the last resume; they pause the wave no more
  MSGPACK_DEFINE(state, reason, run_number, remaining, done, failed, started, ended,
                 accepted_failures)
};

/// A live or lapsed life of an entry VM.
struct NodeRecord {
  NodeId node;
  std::string region;
  std::string zone;
  std::string peer_address;
  bool lease_expired = false;
  MSGPACK_DEFINE(node, region, zone, peer_address, lease_expired)
};

/// Who owns a pool. `epoch` grows with every assignment; a released pool has an empty owner.
struct PoolOwner {
  Incarnation owner;
  std::uint64_t epoch = 0;
  Incarnation released_by;          // the previous owner while the pool is released
  std::uint64_t release_index = 0;  // log index of the release
  std::uint64_t assign_index = 0;   // log index of the assignment
  WallMs assigned = 0;              // its stamp
  MSGPACK_DEFINE(owner, epoch, released_by, release_index, assign_index, assigned)
};

/// Part of a team's limit that one incarnation may use: at most min(granted, target) running.
struct Allotment {
  int granted = 0;
  int target = 0;
  std::uint64_t target_index = 0;  // log index of the last cut
  MSGPACK_DEFINE(granted, target, target_index)
};

enum class ClaimState : std::uint8_t { kRunning, kDone, kNotRun, kUnknown };
inline constexpr EnumNames<4> kClaimStateNames = {"running", "done", "not_run", "unknown"};

/// The durable trace of one non-idempotent request.
struct Claim {
  ClaimState state = ClaimState::kRunning;
  Incarnation owner;
  std::string attempt;  // who claimed; the same attempt may repeat its claim
  WallMs created = 0;
  MSGPACK_DEFINE(state, owner, attempt, created)
};

enum class KeyRole : std::uint8_t { kTeam, kOperator, kCustomer };
inline constexpr EnumNames<3> kKeyRoleNames = {"team", "operator", "customer"};

/// A granted key; the secret itself is never stored.
struct KeyRecord {
  std::string id;
  KeyRole role = KeyRole::kTeam;
  TeamId team;       // team keys only
  std::string hash;  // 32 bytes
  WallMs granted = 0;
  MSGPACK_DEFINE(id, role, team, hash, granted)
};

enum class ReviewState : std::uint8_t { kPending, kBlocked };
inline constexpr EnumNames<2> kReviewStateNames = {"pending", "blocked"};

/// A changed file that is not in force yet.
struct PendingFile {
  std::optional<std::string> content;  // nothing: the file is to be removed
  std::string change_id;
  std::uint64_t revision = 0;
  std::string author;
  WallMs submitted = 0;
  ReviewState state = ReviewState::kPending;
  std::string reason;  // why it is blocked
  MSGPACK_DEFINE(content, change_id, revision, author, submitted, state, reason)
};

/// One line of the configuration's history.
struct HistoryEntry {
  std::uint64_t revision = 0;
  std::uint64_t in_force_version = 0;
  WallMs at = 0;
  std::string author;
  std::string action;  // apply, approve, veto, lapse
  std::vector<std::string> files;
  MSGPACK_DEFINE(revision, in_force_version, at, author, action, files)
};

enum class ResultCode : std::uint8_t { kOk, kConflict, kNotFound, kInvalid, kForbidden, kFull };
inline constexpr EnumNames<6> kResultCodeNames = {"ok",      "conflict",  "not_found",
                                                  "invalid", "forbidden", "full"};

/// Answer to a command. Answers of operator commands are kept by change id.
struct ApplyResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  std::uint64_t revision = 0;
  std::uint64_t in_force_version = 0;
  std::vector<ConfigError> errors;
  std::vector<ClaimState> claims;  // ClaimBatch: kRunning means claimed by this attempt
  std::vector<bool> claimed;       // ClaimBatch: true where this attempt holds the claim
  bool ok() const { return code == ResultCode::kOk; }
  MSGPACK_DEFINE(code, message, revision, in_force_version, errors, claims, claimed)
};

/// The replicated state. Only Apply changes it.
struct FleetState {
  std::uint64_t applied_index = 0;
  WallMs now = 0;  // largest stamp applied

  std::map<std::string, std::string> files;  // in force
  std::map<std::string, PendingFile> pending;
  std::uint64_t revision = 0;          // accepted changes; the base for `apply`
  std::uint64_t in_force_version = 0;  // grows with every merged configuration in force
  std::uint64_t in_force_index = 0;    // log index of the configuration in force
  FleetConfig config;                  // merged from `files`
  std::deque<HistoryEntry> history;    // bounded

  std::map<std::string, KeyRecord> keys;  // by key id
  std::uint64_t keys_version = 0;

  std::map<VmId, VmRecord> vms;
  std::map<WaveId, WaveRecord> waves;
  std::map<Incarnation, NodeRecord> nodes;
  std::map<PoolId, PoolOwner> owners;
  std::map<TeamId, std::map<Incarnation, Allotment>> allotments;
  std::map<std::string, Claim> claims;                     // by "<queue>:<id>"
  std::deque<std::pair<WallMs, std::string>> claim_order;  // in order of claiming
  WallMs claims_purged_before = 0;  // claims of ids made before this may have been purged
  std::map<std::string, ApplyResult> results;  // by change id, bounded
  std::deque<std::string> result_order;
  // Sum of `granted` of the teams whose limit was lowered below it; it may only fall.
  std::map<TeamId, int> over_limit;
  std::deque<Incarnation>
      removed_incarnations;  // the last freed incarnations, which must not return; bounded

  MSGPACK_DEFINE(applied_index, now, files, pending, revision, in_force_version, in_force_index,
                 config, history, keys, keys_version, vms, waves, nodes, owners, allotments, claims,
                 claim_order, claims_purged_before, results, result_order, over_limit,
                 removed_incarnations)
};

/// Returns the claim key of a request.
std::string ClaimKey(const QueueId& queue, const std::string& request_id);

/// Whether planned work may stop another VM of the pool, healthy or not: the VMs that it stopped
/// and that do not count yet, and one more, leave at least min_available.
bool MayStopOneMore(const FleetState& state, const PoolId& pool);

/// VMs of the pool that count for its availability budget: healthy and without an operation.
int AvailableVms(const FleetState& state, const PoolId& pool);

/// Sum of `granted` over all incarnations.
int GrantedSum(const FleetState& state, const TeamId& team);

/// VMs that count as failures of the wave since it was last resumed: given up, failed or in their
/// second attempt, or lost after their operation.
std::set<VmId> WaveFailures(const FleetState& state, const WaveId& wave);

/// Whether the operation is the second attempt after a failure.
bool IsRetry(const VmOperation& operation);
inline constexpr const char* kRetrySuffix = "-retry";

/// Returns the first violated invariant of the state, or nothing: budgets are checked at each
/// planned step by Apply itself; this checks sums of allotments, references and counters.
std::optional<std::string> FindViolation(const FleetState& state);

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::VmPhase)
MSGPACK_ADD_ENUM(godwitpaddle::VmOperationKind)
MSGPACK_ADD_ENUM(godwitpaddle::WaveState)
MSGPACK_ADD_ENUM(godwitpaddle::ClaimState)
MSGPACK_ADD_ENUM(godwitpaddle::KeyRole)
MSGPACK_ADD_ENUM(godwitpaddle::ReviewState)
MSGPACK_ADD_ENUM(godwitpaddle::ResultCode)

#endif  // GODWITPADDLE_DECISION_FLEET_STATE_H_

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

/// Identifies one run of a daemon process: "<node>-<8 hex digits>".
using Incarnation = std::string;

/// Phase of a VM operation. Reboots and moves pass through the first four in this order.
enum class VmPhase : std::uint8_t {
  kDraining,   // the VM gets no new requests; running requests finish
  kStopping,   // the platform reboots or moves the VM
  kVerifying,  // the owner waits for the backend server to announce itself ready
  kHoldDown,   // the server is ready, but the VM does not count as available yet
  kDrained,    // drained by an operator; lasts until an operator undrains it
  kFailed,     // the platform call or the verification failed; needs a retry or an operator
};
inline constexpr EnumNames<6> kVmPhaseNames = {"draining",  "stopping", "verifying",
                                               "hold_down", "drained",  "failed"};

/// kDrain: an operator takes the VM out of service without stopping it.
enum class VmOperationKind : std::uint8_t { kReboot, kMove, kDrain };
inline constexpr EnumNames<3> kVmOperationKindNames = {"reboot", "move", "drain"};

/// An operation on a VM. A VM has at most one at a time.
struct VmOperation {
  std::string id;  // sent to the platform as the operation id, too
  VmOperationKind kind = VmOperationKind::kReboot;
  VmPhase phase = VmPhase::kDraining;
  WaveId wave;                     // empty if the operation is not part of a wave
  PoolId target;                   // destination pool of a move; else empty
  WallMs phase_since = 0;          // timestamp of the command that began this phase
  std::string error;               // why the operation failed; else empty
  std::uint64_t phase_index = 0;   // log index of the command that began this phase
  std::string server_incarnation;  // of the backend server that was stopped; empty before
  MSGPACK_DEFINE(id, kind, phase, wave, target, phase_since, error, phase_index, server_incarnation)
};

/// State of a VM. FleetState::vms has one record for each VM id, so a VM is in exactly one pool.
struct VmRecord {
  PoolId pool;
  std::string region;
  std::string zone;
  std::string rack;
  // False after an unplanned loss or a failed operation, and until the VM is first seen ready.
  bool healthy = true;
  std::optional<VmOperation> operation;
  MSGPACK_DEFINE(pool, region, zone, rack, healthy, operation)
};

enum class WaveState : std::uint8_t { kRunning, kPaused, kCancelled, kDone };
inline constexpr EnumNames<4> kWaveStateNames = {"running", "paused", "cancelled", "done"};

/// Progress of the latest run of a wave. A VM is in `remaining` until its operation has succeeded
/// or has failed for good.
struct WaveRecord {
  WaveState state = WaveState::kRunning;
  std::string reason;            // of a pause or cancellation, or how many VMs failed
  std::uint64_t run_number = 0;  // increases with each start of the wave; part of operation ids
  std::set<VmId> remaining;
  std::set<VmId> done;
  std::set<VmId> failed;
  WallMs started = 0;
  WallMs ended = 0;  // 0 while the wave is running or paused
  // Failures known when the wave was last resumed; they do not pause it again.
  std::set<VmId> accepted_failures;
  MSGPACK_DEFINE(state, reason, run_number, remaining, done, failed, started, ended,
                 accepted_failures)
};

/// An incarnation of an entry VM (node) that has obtained a lease. The record is removed once the
/// leases of its tasks have expired as well.
struct NodeRecord {
  NodeId node;
  std::string region;
  std::string zone;
  std::string peer_address;
  bool lease_expired = false;
  MSGPACK_DEFINE(node, region, zone, peer_address, lease_expired)
};

/// Owner of a pool. `epoch` increases by one with every assignment; a released pool has an empty
/// owner.
struct PoolOwner {
  Incarnation owner;
  std::uint64_t epoch = 0;
  Incarnation released_by;          // the previous owner; set only while the pool is released
  std::uint64_t release_index = 0;  // log index of the release
  std::uint64_t assign_index = 0;   // log index of the assignment
  WallMs assigned = 0;              // timestamp of the assignment
  MSGPACK_DEFINE(owner, epoch, released_by, release_index, assign_index, assigned)
};

/// Part of a team's limit on running requests that is assigned to one incarnation, which may run at
/// most min(granted, target) of the team's requests at once. `granted` counts towards the limit.
struct Allotment {
  int granted = 0;
  int target = 0;
  std::uint64_t target_index = 0;  // log index of the last reduction of `target`
  MSGPACK_DEFINE(granted, target, target_index)
};

/// State of a claimed request. kRunning: the request is claimed and has not ended; kDone: the
/// backend server answered it, successfully or with an error; kNotRun: it did not run and may be
/// claimed again; kUnknown: it may or may not have run.
enum class ClaimState : std::uint8_t { kRunning, kDone, kNotRun, kUnknown };
inline constexpr EnumNames<4> kClaimStateNames = {"running", "done", "not_run", "unknown"};

/// The replicated record of one non-idempotent request, which keeps it from running twice.
struct Claim {
  ClaimState state = ClaimState::kRunning;
  Incarnation owner;
  std::string attempt;  // the attempt that holds the claim; it may claim again while kRunning
  WallMs created = 0;   // creation time of the request, taken from its id
  MSGPACK_DEFINE(state, owner, attempt, created)
};

enum class KeyRole : std::uint8_t { kTeam, kOperator, kCustomer };
inline constexpr EnumNames<3> kKeyRoleNames = {"team", "operator", "customer"};

/// A granted API key. Only a hash of the secret is stored.
struct KeyRecord {
  std::string id;
  KeyRole role = KeyRole::kTeam;
  TeamId team;       // set for team keys only
  std::string hash;  // 32 bytes
  WallMs granted = 0;
  MSGPACK_DEFINE(id, role, team, hash, granted)
};

/// kBlocked: the file is not valid together with the files in force.
enum class ReviewState : std::uint8_t { kPending, kBlocked };
inline constexpr EnumNames<2> kReviewStateNames = {"pending", "blocked"};

/// A submitted change of a configuration file that is not in force yet.
struct PendingFile {
  std::optional<std::string> content;  // nullopt: the file is to be removed
  std::string change_id;
  std::uint64_t revision = 0;
  std::string author;
  WallMs submitted = 0;  // start of the review window
  ReviewState state = ReviewState::kPending;
  std::string reason;  // why the change is blocked; else empty
  MSGPACK_DEFINE(content, change_id, revision, author, submitted, state, reason)
};

/// One entry of the configuration's history, with the revision and version that it led to.
struct HistoryEntry {
  std::uint64_t revision = 0;
  std::uint64_t in_force_version = 0;
  WallMs at = 0;
  std::string author;
  std::string action;  // apply, approve, veto, lapse
  std::vector<std::string> files;
  MSGPACK_DEFINE(revision, in_force_version, at, author, action, files)
};

/// kConflict: the command does not fit the current state; kFull: a bounded table is full.
enum class ResultCode : std::uint8_t { kOk, kConflict, kNotFound, kInvalid, kForbidden, kFull };
inline constexpr EnumNames<6> kResultCodeNames = {"ok",      "conflict",  "not_found",
                                                  "invalid", "forbidden", "full"};

/// Result of a command. Results of operator commands are stored by change id, so that a command
/// that is sent again gets the first result.
struct ApplyResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  std::uint64_t revision = 0;
  std::uint64_t in_force_version = 0;
  std::vector<ConfigError> errors;
  std::vector<ClaimState> claims;  // ClaimBatch: state of each claim after the command
  std::vector<bool> claimed;       // ClaimBatch: whether the attempt holds the claim
  bool ok() const { return code == ResultCode::kOk; }
  MSGPACK_DEFINE(code, message, revision, in_force_version, errors, claims, claimed)
};

/// The replicated state. Only Apply changes it.
struct FleetState {
  std::uint64_t applied_index = 0;
  WallMs now = 0;  // largest timestamp of the applied commands

  std::map<std::string, std::string> files;    // in force, by name
  std::map<std::string, PendingFile> pending;  // under review, by name
  std::uint64_t revision = 0;                  // number of accepted submissions, see SubmitConfig
  std::uint64_t in_force_version = 0;          // increases with every configuration put in force
  std::uint64_t in_force_index = 0;            // log index of the command that put it in force
  FleetConfig config;                          // the configuration in force, merged from `files`
  std::deque<HistoryEntry> history;            // oldest first, bounded

  std::map<std::string, KeyRecord> keys;  // by key id
  std::uint64_t keys_version = 0;         // increases with every grant and revocation

  std::map<VmId, VmRecord> vms;
  std::map<WaveId, WaveRecord> waves;
  std::map<Incarnation, NodeRecord> nodes;
  std::map<PoolId, PoolOwner> owners;
  std::map<TeamId, std::map<Incarnation, Allotment>> allotments;
  std::map<std::string, Claim> claims;                     // by ClaimKey
  std::deque<std::pair<WallMs, std::string>> claim_order;  // claim time and key, oldest first
  // Claims of requests created before this time may have been purged.
  WallMs claims_purged_before = 0;
  std::map<std::string, ApplyResult> results;  // by change id, bounded
  std::deque<std::string> result_order;        // change ids, oldest first
  // Sum of `granted` of each team whose limit was lowered below that sum. Until the sum is
  // within the limit again, it may only decrease.
  std::map<TeamId, int> over_limit;
  // The latest removed incarnations, oldest first, bounded. Apply refuses a NodeJoined of these.
  std::deque<Incarnation> removed_incarnations;

  MSGPACK_DEFINE(applied_index, now, files, pending, revision, in_force_version, in_force_index,
                 config, history, keys, keys_version, vms, waves, nodes, owners, allotments, claims,
                 claim_order, claims_purged_before, results, result_order, over_limit,
                 removed_incarnations)
};

/// Returns the key of a request in FleetState::claims: "<queue>:<request id>".
std::string ClaimKey(const QueueId& queue, const std::string& request_id);

/// Whether planned work may stop another VM of the pool. Counts all VMs of the pool, healthy or
/// not: those whose operation is past draining, and one more, must leave at least min_available.
bool MayStopOneMore(const FleetState& state, const PoolId& pool);

/// Returns the number of VMs that count for the pool's availability budget: those that are healthy
/// and have no operation.
int AvailableVms(const FleetState& state, const PoolId& pool);

/// Returns the sum of the team's `granted` over all incarnations.
int GrantedSum(const FleetState& state, const TeamId& team);

/// Returns the VMs that count as failures of the wave since it was last resumed: VMs whose
/// operation was abandoned, has failed or is in its second attempt, and VMs lost after their
/// operation.
std::set<VmId> WaveFailures(const FleetState& state, const WaveId& wave);

/// Whether the operation is the second attempt, after a failure; its id ends in kRetrySuffix.
bool IsRetry(const VmOperation& operation);
inline constexpr const char* kRetrySuffix = "-retry";

/// Returns a description of the first violated invariant, or nullopt. Checks sums of allotments,
/// references and counters; availability budgets are checked by Apply at each planned step.
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

#ifndef GODWITPADDLE_DECISION_APPLY_DETAIL_H_
#define GODWITPADDLE_DECISION_APPLY_DETAIL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decision/commands.h"

namespace godwitpaddle::detail {

/// Log index at which a command is applied, and the largest timestamp of all commands up to it.
struct ApplyContext {
  std::uint64_t index = 0;
  WallMs now = 0;
};

inline ApplyResult Refuse(ResultCode code, std::string message) {
  return {.code = code, .message = std::move(message)};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const SubmitConfig& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const DecideReview& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ActivateDueFiles& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const GrantKey& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const RevokeKey& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const NodeJoined& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const NodeLeaseExpired& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const NodeRemoved& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ReleasePool& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const AssignPool& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const SetAllotments& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ClaimBatch& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ClaimEnds& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const ControlWave& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const SetVmHealth& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const StartVmOperation& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const AdvanceVmOperation& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const FinishVmOperation& body);

/// Sets the running claims of an incarnation whose lease has expired to kUnknown.
void MarkClaimsUnknown(FleetState& state, const Incarnation& incarnation);

/// Updates VM records, waves, owners and `over_limit` after a change of `state.config`.
void ReconcileWithConfig(FleetState& state, const ApplyContext& ctx);
void ReconcileVms(FleetState& state);
void ReconcileWaves(FleetState& state, const ApplyContext& ctx);
void ReconcileOwners(FleetState& state, const ApplyContext& ctx);

/// Recomputes `state.over_limit` after a change of limits or allotments.
void UpdateOverLimit(FleetState& state);

/// Moves a VM from its wave's `remaining` to `done` or `failed`. Ends the wave if no VM remains.
void FinishWaveVm(FleetState& state, const ApplyContext& ctx, const WaveId& wave, const VmId& vm,
                  bool succeeded);

/// Parts of FindViolation: of one team's allotments, one VM, and the counters.
std::optional<std::string> FindTeamViolation(const FleetState& state, const TeamId& team);
std::optional<std::string> FindVmViolation(const FleetState& state, const VmId& vm);
std::optional<std::string> FindCounterViolation(const FleetState& state);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_APPLY_DETAIL_H_

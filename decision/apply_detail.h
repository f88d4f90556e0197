#ifndef GODWITPADDLE_DECISION_APPLY_DETAIL_H_
#define GODWITPADDLE_DECISION_APPLY_DETAIL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "decision/commands.h"

namespace godwitpaddle::detail {

/// Where and when a command is applied. `now` is the largest stamp so far.
struct ApplyContext {
  std::uint64_t index = 0;
  WallMs now = 0;
};

inline ApplyResult Refuse(ResultCode code, std::string message) {
  return {.code = code, .message = std::move(message)};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const SubmitConfig& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const DecideReview& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const ActivateDueFiles& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const GrantKey& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const RevokeKey& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const NodeJoined& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const NodeLeaseExpired& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const NodeRemoved& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const ReleasePool& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const AssignPool& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const SetAllotments& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const ClaimBatch& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const ClaimEnds& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const ControlWave& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const SetVmHealth& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context, const StartVmOperation& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context,
                      const AdvanceVmOperation& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& context,
                      const FinishVmOperation& body);

/// Open claims of a lapsed incarnation become unknown.
void MarkClaimsUnknown(FleetState& state, const Incarnation& incarnation);

/// Brings VM records, waves, owners and allotments in line with a new `state.config`.
void ReconcileWithConfig(FleetState& state, const ApplyContext& context);
void ReconcileVms(FleetState& state);
void ReconcileWaves(FleetState& state, const ApplyContext& context);
void ReconcileOwners(FleetState& state, const ApplyContext& context);

/// Notes which teams are over their limit after a change of limits or allotments.
void UpdateOverLimit(FleetState& state);

/// Takes a VM out of its wave's `remaining`, into `done` or `failed`; ends the wave when it was the
/// last one.
void FinishWaveVm(FleetState& state, const ApplyContext& context, const WaveId& wave,
                  const VmId& vm, bool succeeded);

/// Parts of FindViolation.
std::optional<std::string> FindTeamViolation(const FleetState& state, const TeamId& team);
std::optional<std::string> FindVmViolation(const FleetState& state, const VmId& vm);
std::optional<std::string> FindCounterViolation(const FleetState& state);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_APPLY_DETAIL_H_

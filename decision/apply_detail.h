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

ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const SubmitConfig& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const DecideReview& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const LapseReviews& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const GrantKey& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const WithdrawKey& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const NodeUp& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const NodeLapsed& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const NodeFreed& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const ReleasePool& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const AssignPool& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const SetAllotments& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const ClaimBatch& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const ClaimEnds& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const ControlWave& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const SetVmHealth& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const StartVmOperation& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const AdvanceVmOperation& body);
ApplyResult ApplyBody(FleetState& state, const ApplyContext& at, const FinishVmOperation& body);

/// Open claims of a lapsed incarnation become unknown.
void LoseClaims(FleetState& state, const Incarnation& incarnation);

/// Brings VM records, waves, owners and allotments in line with a new `state.config`.
void FollowConfig(FleetState& state, const ApplyContext& at);
void FollowConfigOfVms(FleetState& state);
void FollowConfigOfWaves(FleetState& state, const ApplyContext& at);
void FollowConfigOfOwners(FleetState& state, const ApplyContext& at);

/// Notes which teams are over their limit after a change of limits or allotments.
void NoteOverLimit(FleetState& state);

/// Takes a VM out of its wave's `remaining`, into `done` or `failed`; ends the wave when it was the
/// last one.
void SettleWaveVm(FleetState& state, const ApplyContext& at, const WaveId& wave, const VmId& vm,
                  bool succeeded);

/// Parts of FindViolation.
std::optional<std::string> TeamViolation(const FleetState& state, const TeamId& team);
std::optional<std::string> VmViolation(const FleetState& state, const VmId& vm);
std::optional<std::string> CounterViolation(const FleetState& state);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_APPLY_DETAIL_H_

#include "jobs/job_admission.h"

#include <algorithm>

#include "jobs/start_order.h"
#include "jobs/team_shares.h"

namespace godwitpaddle::jobs {
namespace {

/// Least room that a team is taken to have: it gets what the others leave.
constexpr double kMinTeamVms = 0.1;
/// The part of the room that a team can expect may grow by this factor while its work is done, as
/// the peak of the other teams passes.
constexpr double kRoomGrowth = 2;
/// A job that is expected to take this many times its objective is refused in any case.
constexpr double kHopelessFactor = 10;

}  // namespace

AdmissionVerdict DecideAdmission(const JobOutlook& outlook) {
  const double wait_ms = outlook.ahead_vm_ms / std::max(outlook.team_vms, kMinTeamVms);
  const double expected_ms = outlook.room_delay_ms + wait_ms + outlook.critical_path_ms;
  const bool crowds = outlook.crowding >= kCrowdFactor;
  const double limit_ms =
      (crowds ? kRoomGrowth * kExpiredFactor : kHopelessFactor) * outlook.objective_ms;
  // A job without room ahead of it is accepted, however long its own path is.
  const bool admitted = outlook.ahead_vm_ms <= 0 || expected_ms <= limit_ms;
  return {.admitted = admitted,
          .expected_ms = expected_ms,
          .retry_after_ms = admitted ? 0 : expected_ms - limit_ms};
}

}  // namespace godwitpaddle::jobs

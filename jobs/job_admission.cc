#include "jobs/job_admission.h"

#include <algorithm>

#include "jobs/start_order.h"

namespace godwitpaddle::jobs {
namespace {

/// Least room that a team is taken to have: it gets what the others leave.
constexpr double kMinTeamVms = 0.1;
/// A job that is expected to take this many times its objective is refused in any case.
constexpr double kHopelessFactor = 10;

}  // namespace

AdmissionVerdict DecideAdmission(const JobOutlook& outlook) {
  const double wait_ms = outlook.ahead_vm_ms / std::max(outlook.team_vms, kMinTeamVms);
  const double expected_ms = outlook.room_delay_ms + wait_ms + outlook.critical_path_ms;
  const double factor = outlook.crowds ? static_cast<double>(kExpiredFactor) : kHopelessFactor;
  const double limit_ms = factor * outlook.objective_ms;
  // A job without room ahead of it is accepted, however long its own path is.
  const bool admitted = outlook.ahead_vm_ms <= 0 || expected_ms <= limit_ms;
  return {.admitted = admitted,
          .expected_ms = expected_ms,
          .retry_after_ms = admitted ? 0 : expected_ms - limit_ms};
}

}  // namespace godwitpaddle::jobs

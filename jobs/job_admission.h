#ifndef GODWITPADDLE_JOBS_JOB_ADMISSION_H_
#define GODWITPADDLE_JOBS_JOB_ADMISSION_H_

/// Whether a job is accepted. Designed for loads in which some teams send many times what they
/// usually do, more than can be completed while it is of use to them: a job that would only wait is
/// refused at once, and its caller learns when to come back.
namespace godwitpaddle::jobs {

/// What a new job meets. Times are in milliseconds.
struct JobOutlook {
  double ahead_vm_ms = 0;       // work of its team that was accepted before it, in VM-milliseconds
  double team_vms = 0;          // part of the room of its service that the team can expect
  double room_delay_ms = 0;     // until that room is there
  double critical_path_ms = 0;  // of the job
  double objective_ms = 0;
  bool crowds = false;  // the team crowds the others, see TeamShare
};

struct AdmissionVerdict {
  bool admitted = true;
  double expected_ms = 0;     // time until the job would be completed
  double retry_after_ms = 0;  // of a refused job: until one like it will probably be accepted
};

/// Refuses a job of a team that crowds the others if it is expected to take longer than
/// kExpiredFactor times its objective. While all teams send more than there is room for, no job is
/// refused for it, as long as the backlog is not hopeless: jobs that are expected to be late may
/// still be in time, if they are small or others are cancelled. The work ahead is counted as if all
/// of it came first, though late jobs come last, and the room as if none of it were broken up, so
/// the estimate errs to both sides.
AdmissionVerdict DecideAdmission(const JobOutlook& outlook);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_JOB_ADMISSION_H_

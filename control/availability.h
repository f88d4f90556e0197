#ifndef GODWITPADDLE_CONTROL_AVAILABILITY_H_
#define GODWITPADDLE_CONTROL_AVAILABILITY_H_

#include <cstdint>

#include "control/worker_fleet.h"
#include "jobs/state.h"

/// What planned operations may interrupt of the long-running steps.
namespace godwitpaddle::jobs {

/// Returns the number of the other tasks of the task's step that do not run at full speed.
std::uint32_t CountUnavailableOthers(const State& state, const WorkerFleet& fleet,
                                     const TaskId& task);

/// Whether the task may be stopped within its step's `max_unavailable`. A task whose job has ended,
/// and one of a step without this limit, may.
bool MayInterrupt(const State& state, const WorkerFleet& fleet, const TaskId& task);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_AVAILABILITY_H_

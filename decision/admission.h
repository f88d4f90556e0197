#ifndef GODWITPADDLE_DECISION_ADMISSION_H_
#define GODWITPADDLE_DECISION_ADMISSION_H_

#include <optional>
#include <string>

#include "decision/scheduler_state.h"

namespace godwitpaddle {

/// Queue places of the pool at one moment.
struct QueueOccupancy {
  int max_queue = 0;       // PoolConfig::max_queue
  int queued = 0;          // by all teams
  bool is_urgent = false;  // the request
  int urgent_places = 0;   // kept for the team's urgent requests
  int urgent_queued = 0;   // of the team
  int guaranteed = 0;      // places kept for the team
  int team_queued = 0;
  int borrowed = 0;       // places beyond their guarantee that all teams use together
  int team_borrowed = 0;  // of them by this team
};

// Part of the queue's places that is divided by weight and kept for the teams. The rest is lent, at
// most kMaxTeamBorrowFraction of it to one team. With less to lend, a tenth of the requests of a
// burst were refused for want of a place that the other teams did not use.
inline constexpr double kGuaranteedFraction = 0.3;
inline constexpr double kBorrowableFraction = 0.7;
inline constexpr double kMaxTeamBorrowFraction = 0.6;
// Part of the places, divided by weight, up to which urgent requests may displace requests on lent
// places, since a full queue must not keep urgent work out. Places kept free for them cost more
// than one point of deadlines.
inline constexpr double kUrgentFraction = 0.1;

/// Whether the queue has a place for the request.
bool HasQueuePlace(const QueueOccupancy& occupancy);

/// Whether an urgent request may take the place of a lent one.
bool CanDisplace(const QueueOccupancy& occupancy);

QueueOccupancy OccupancyFor(const SchedulerState& state, const RequestState& request);

/// Removes the last normal request of the team with the most lent places; false if there is none.
/// It was never started, and the next Expire reports it.
bool DisplaceOne(SchedulerState& state);

/// Expected wait of a request, from the work ahead of it in its team's line.
Micros EstimatedWait(const SchedulerState& state, const RequestState& request);

/// Refuses a request that cannot run, would wait too long or finds no room.
std::optional<Refusal> CheckAdmission(const SchedulerState& state, const RequestState& request);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_ADMISSION_H_

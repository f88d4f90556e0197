#ifndef GODWITPADDLE_DECISION_ADMISSION_H_
#define GODWITPADDLE_DECISION_ADMISSION_H_

#include <optional>
#include <string>

#include "decision/scheduler_state.h"

namespace godwitpaddle {

/// Use of a pool's queue, as seen by one request of a team. Counts are in requests (queue places).
struct QueueOccupancy {
  int max_queue = 0;       // PoolConfig::max_queue
  int queued = 0;          // queued requests of all teams
  bool is_urgent = false;  // whether the request is urgent
  int urgent_places = 0;   // queued urgent requests of the team below which a new one may displace
  int urgent_queued = 0;   // queued urgent requests of the team
  int guaranteed = 0;      // places reserved for the team
  int team_queued = 0;     // queued requests of the team
  int borrowed = 0;        // places that all teams use beyond their guarantees
  int team_borrowed = 0;   // of these, places used by this team
};

// Fraction of the queue's places that is reserved for the teams, divided by their weights. All
// teams may borrow the other places, one team at most kMaxTeamBorrowFraction of them. With fewer
// places to borrow, a tenth of the requests of a burst were refused although the other teams left
// places unused.
inline constexpr double kGuaranteedFraction = 0.3;
inline constexpr double kBorrowableFraction = 0.7;
inline constexpr double kMaxTeamBorrowFraction = 0.6;
// Fraction of the places, divided by weight, up to which a team's urgent requests may displace
// requests on borrowed places, since a full queue must not keep urgent work out. Reserving free
// places for urgent requests instead lowers the share of deadlines met by more than one percentage
// point.
inline constexpr double kUrgentFraction = 0.1;

/// Whether the queue has a place for the request: a reserved one, or one that its team may borrow.
bool HasQueuePlace(const QueueOccupancy& occupancy);

/// Whether the request is urgent and may displace a request on a borrowed place.
bool CanDisplace(const QueueOccupancy& occupancy);

/// Returns the use of the queue as it concerns `request`.
QueueOccupancy OccupancyFor(const SchedulerState& state, const RequestState& request);

/// Removes the last queued request of normal priority of the team that borrows the most places.
/// Returns false if that team has none or no team borrows places. Never removes a request that is
/// claimed or was started; the next Expire reports the removed request as refused.
bool DisplaceOne(SchedulerState& state);

/// Returns the expected wait of a request in microseconds, estimated from the work ahead of it in
/// its team's queue and the slots that the team can expect.
Micros EstimatedWait(const SchedulerState& state, const RequestState& request);

/// Returns the refusal of a request that cannot run, would start too late for its deadline or finds
/// no place in the queue; nullopt if the request is admitted.
std::optional<Refusal> CheckAdmission(const SchedulerState& state, const RequestState& request);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_ADMISSION_H_

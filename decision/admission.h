#ifndef GODWITPADDLE_DECISION_ADMISSION_H_
#define GODWITPADDLE_DECISION_ADMISSION_H_

#include <optional>
#include <string>

#include "decision/scheduler_state.h"

namespace godwitpaddle {

/// Queue places of the pool at one moment.
struct QueueRoom {
  int bound = 0;       // PoolConfig::max_queue
  int guaranteed = 0;  // of them kept for this team
  int team_queued = 0;
  int lent = 0;          // places beyond their guarantee that all teams use together
  int lent_to_team = 0;  // of them by this team
};

/// Half of the places is divided by weight and kept for the teams; the other half is lent, at most
/// half of it to one team.
bool HasQueueRoom(const QueueRoom& room);

/// Expected wait of a request with this key, from the work ahead of it in its team's line.
Micros EstimatedWait(const SchedulerState& state, const TeamLine& team, const OrderKey& key);

/// Refuses a request that cannot run, would wait too long or finds no room.
std::optional<Refusal> CheckAdmission(const SchedulerState& state, const RequestState& request);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_ADMISSION_H_

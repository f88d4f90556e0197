#ifndef GODWITPADDLE_DECISION_FAIR_QUEUE_H_
#define GODWITPADDLE_DECISION_FAIR_QUEUE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "decision/pool_scheduler.h"

namespace godwitpaddle {

/// Place of a request within its team: the earlier of its deadline and its arrival plus
/// kAgingBound, so that work without a near deadline is overtaken for a bounded time only.
struct OrderKey {
  Micros due = 0;
  RequestId id = 0;
  auto operator<=>(const OrderKey&) const = default;
};
using OrderedRequests = std::set<OrderKey>;
inline constexpr Micros kAgingBound = 10 * kSecond;
OrderKey MakeOrderKey(const QueuedRequest& request);

/// Queues and share of one team.
struct TeamState {
  TeamId name;
  double weight = 1;
  int limit = 0;
  int cap = 0;            // most running here, from the last dispatch
  int running = 0;        // requests
  double slots_used = 0;  // slots that the running requests stand for
  int queued = 0;
  int guaranteed_places = 0;  // queue places kept for the team
  int urgent_places = 0;      // queue places kept for its urgent requests
  int urgent_queued = 0;
  int urgent_running = 0;
  // Expected slot seconds queued, by priority and second of due time.
  std::array<std::map<std::int64_t, double>, 2> queued_work;
  std::array<OrderedRequests, 2> ready;      // by priority; may be placed
  std::array<OrderedRequests, 2> unclaimed;  // by priority; wait for TakeHeld
  int claiming = 0;                          // returned by TakeHeld and not yet started
  double entitled_slots = 0;                 // slots
  double lag = 0;                            // slot seconds owed (positive) or taken in excess
  bool HasQueued() const { return queued > 0; }
};

/// Adds (or with a negative value removes) expected slot seconds of a queued request.
void AddWork(TeamState& team, Priority priority, const OrderKey& key, double slot_seconds);

/// Expected slot seconds queued before a request of this priority and key, to within a second.
double WorkAhead(const TeamState& team, Priority priority, const OrderKey& key);

/// Slots that the team may still take for urgent requests ahead of the other teams' work. It may
/// exceed its entitled slots a little; more would let a team that calls everything urgent take the
/// pool.
double UrgentQuota(const TeamState& team, double horizon_s);

/// Divides `capacity` slots by weight; a team gets no more than it wants and is allowed, and the
/// rest is lent to the others.
void DivideCapacity(std::vector<TeamState>& teams, double capacity);

/// Seconds within which a deviation is to be made good: about one run time, since a started task
/// cannot be taken back and a shorter time overshoots.
double LagHorizon(double mean_run_s);

/// Adds `elapsed` of deviation from the entitled slots to each waiting team's lag. The lag of a
/// team without queued work fades, so that an unused share is not saved up.
void AccrueLag(std::vector<TeamState>& teams, Micros elapsed, double horizon_s);

/// Slots that the team should have more than it uses; the largest is served next.
double Shortfall(const TeamState& team, double horizon_s);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_FAIR_QUEUE_H_

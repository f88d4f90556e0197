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
#include "shares/fair_share.h"

namespace godwitpaddle {

/// Sort key of a request within its team and priority. `due` is the earlier of the deadline and the
/// arrival plus kAgingBound, so that requests with nearer deadlines overtake a request for a
/// bounded time only.
struct OrderKey {
  Micros due = 0;
  RequestId id = 0;
  auto operator<=>(const OrderKey&) const = default;
};
using OrderedRequests = std::set<OrderKey>;
/// A request is overtaken by requests with nearer deadlines for at most this long.
inline constexpr Micros kAgingBound = 10 * kSecond;
OrderKey MakeOrderKey(const QueuedRequest& request);

/// Queues, counters and share of one team in this pool.
struct TeamState {
  TeamId name;
  /// In slots; `used` is the sum of RequestState::slots of the running requests.
  ShareAccount share;
  int limit = 0;    // configured limit of running requests in the fleet
  int cap = 0;      // most requests that may run in this scheduler, as of the last dispatch
  int running = 0;  // running requests of the team in this scheduler
  int queued = 0;
  int guaranteed_places = 0;  // queue places kept for the team
  // While fewer urgent requests of the team than this are queued, a new one may displace a request.
  int urgent_places = 0;
  int urgent_queued = 0;
  int urgent_running = 0;
  // Expected slot seconds of the queued requests, by priority and by second of `due`.
  std::array<std::map<std::int64_t, double>, 2> queued_work;
  std::array<OrderedRequests, 2> ready;      // by priority; may be placed
  std::array<OrderedRequests, 2> unclaimed;  // by priority; need a claim first
  int claiming = 0;  // returned by TakeClaimCandidates, claim not yet confirmed
  bool HasQueued() const { return queued > 0; }
};

/// Adds expected slot seconds of a queued request to the team's queued work; a negative value
/// removes them.
void AddWork(TeamState& team, Priority priority, const OrderKey& key, double slot_seconds);

/// Expected slot seconds of the team that are queued ahead of a request with this priority and key,
/// to within a second of `due`.
double WorkAhead(const TeamState& team, Priority priority, const OrderKey& key);

/// Slots that the team may still take for urgent requests ahead of the other teams' requests. With
/// urgent requests it may exceed its entitled slots a little; a larger excess would let a team that
/// marks all its requests as urgent take the whole pool.
double UrgentQuota(const TeamState& team, double horizon_s);

/// Divides `capacity` slots among the teams that have or want any, see DivideByWeight. A team wants
/// at most what its cap allows.
void DivideCapacity(std::vector<TeamState>& teams, double capacity);

/// Updates the lags: that of a team with queued requests accrues, that of another one decays.
void UpdateLags(std::vector<TeamState>& teams, Micros elapsed, double horizon_s);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_FAIR_QUEUE_H_

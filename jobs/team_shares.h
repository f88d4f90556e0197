#ifndef GODWITPADDLE_JOBS_TEAM_SHARES_H_
#define GODWITPADDLE_JOBS_TEAM_SHARES_H_

#include <vector>

#include "jobs/known_teams.h"
#include "jobs/types.h"
#include "shares/fair_share.h"

/// The teams' shares of a service, by weight. Designed for loads in which some teams send many
/// times what they usually do while there is not room for all: what they send beyond their share
/// waits behind what the others send. A peak in which all teams send more is not such a load: then
/// the order of deadlines serves most.
namespace godwitpaddle::jobs {

/// Returns `amount` in VMs of the size `vm`, by the resource of which it takes the largest part.
double InVms(const Resources& amount, const Resources& vm);
/// Returns how many VMs of the size `vm` the room is worth, by the resource of which it has least.
double RoomInVms(const Resources& room, const Resources& vm);

/// What one team has and wants of a service.
struct TeamDemand {
  TeamNumber team = 0;
  double weight = 1;
  Resources used;
  Resources wanted;  // `used` included
  double lag = 0;    // see ShareAccount
};

/// One team's part of a service, in VMs.
struct TeamShare {
  TeamNumber team = 0;
  ShareAccount account;
  bool crowds = false;  // see kCrowdFactor
};

/// A team crowds a service if it wants at least this many times what the others want, by weight...
inline constexpr double kCrowdFactor = 2;
/// ...and beyond its share at least this part of the room: a few jobs of a small team do not.
inline constexpr double kCrowdRoom = 0.2;

/// Divides the room of a service, in VMs of the size `vm`, among the teams that have or want any.
/// Returns nothing if there is room for all that they want, or if no team crowds the others.
std::vector<TeamShare> DivideService(const std::vector<TeamDemand>& demands, double room_vms,
                                     const Resources& vm);

/// Returns the part of the room that the team can expect if it wants all of it, in VMs.
double ExpectedVms(const std::vector<TeamDemand>& demands, TeamNumber team, double weight,
                   double room_vms, const Resources& vm);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_TEAM_SHARES_H_

#ifndef GODWITPADDLE_SHARES_FAIR_SHARE_H_
#define GODWITPADDLE_SHARES_FAIR_SHARE_H_

#include <vector>

/// Weighted max-min shares of a capacity, with a lag that makes up for past deviations. Both halves
/// of the program divide capacity among teams by these functions: the request service the slots of
/// a pool, job control the VMs of a service. Designed for loads in which some teams send many times
/// what the others send while there is not room for all.
namespace godwitpaddle {

/// What one team has and wants of a capacity. All amounts are in the unit of the capacity.
struct ShareAccount {
  double weight = 1;
  double used = 0;
  double wanted = 0;    // at most this much is of use to the team, `used` included
  double entitled = 0;  // the team's part of the capacity, from DivideByWeight
  double lag = 0;       // unit-seconds; positive: owed to the team, negative: used in excess
};

/// Sets `entitled` of each account: divides `capacity` by weight (max-min fairness). A team gets at
/// most what it wants; the others share what it leaves.
void DivideByWeight(std::vector<ShareAccount*> accounts, double capacity);

/// Adds the deviation from the entitled capacity over `seconds` to the lag of a team that waits for
/// capacity.
void AccrueLag(ShareAccount& account, double seconds, double horizon_s);

/// Lets the lag of a team that does not wait decay, so that a team does not save up an unused
/// share.
void DecayLag(ShareAccount& account, double seconds, double horizon_s);

/// Seconds within which the lag is corrected: about one mean run time. A started task cannot be
/// withdrawn, so a shorter horizon would overshoot.
double LagHorizon(double mean_run_s);

/// Capacity by which the team is below its entitled one, with its lag spread over the horizon. The
/// team with the largest shortfall is served next.
double Shortfall(const ShareAccount& account, double horizon_s);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_SHARES_FAIR_SHARE_H_

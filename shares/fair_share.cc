#include "shares/fair_share.h"

#include <algorithm>

namespace godwitpaddle {
namespace {

/// Bounds the lag to this many horizons of the team's entitled capacity, so that a team whose work
/// could not run because nothing had room for it does not displace the others for long afterwards.
constexpr double kMaxLagHorizons = 4.0;

}  // namespace

void DivideByWeight(std::vector<ShareAccount*> accounts, double capacity) {
  double weights = 0;
  for (ShareAccount* account : accounts) {
    account->entitled = 0;
    weights += account->weight;
  }
  while (!accounts.empty() && weights > 0) {
    const double per_weight = std::max(0.0, capacity) / weights;
    const auto satisfied = std::stable_partition(
        accounts.begin(), accounts.end(),
        [per_weight](ShareAccount* one) { return one->wanted > per_weight * one->weight; });
    if (satisfied == accounts.end()) {
      for (ShareAccount* account : accounts) account->entitled = per_weight * account->weight;
      return;
    }
    for (auto it = satisfied; it != accounts.end(); ++it) {
      (*it)->entitled = (*it)->wanted;
      capacity -= (*it)->entitled;
      weights -= (*it)->weight;
    }
    accounts.erase(satisfied, accounts.end());
  }
}

void AccrueLag(ShareAccount& account, double seconds, double horizon_s) {
  const double bound = kMaxLagHorizons * horizon_s * std::max(1.0, account.entitled);
  account.lag =
      std::clamp(account.lag + (account.entitled - account.used) * seconds, -bound, bound);
}

void DecayLag(ShareAccount& account, double seconds, double horizon_s) {
  if (account.lag != 0) account.lag *= std::max(0.0, 1 - seconds / horizon_s);
}

double LagHorizon(double mean_run_s) { return std::clamp(mean_run_s, 0.5, 30.0); }

double Shortfall(const ShareAccount& account, double horizon_s) {
  return account.entitled - account.used + account.lag / horizon_s;
}

}  // namespace godwitpaddle

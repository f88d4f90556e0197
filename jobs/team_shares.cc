#include "jobs/team_shares.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace godwitpaddle::jobs {
namespace {

double Ratio(std::int64_t amount, std::int64_t of) {
  return of <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(of);
}

ShareAccount AccountOf(const TeamDemand& demand, const Resources& vm) {
  return {.weight = demand.weight,
          .used = InVms(demand.used, vm),
          .wanted = InVms(demand.wanted, vm),
          .lag = demand.lag};
}

void Divide(std::vector<TeamShare>& shares, double room_vms) {
  std::vector<ShareAccount*> accounts;
  accounts.reserve(shares.size());
  for (TeamShare& share : shares) accounts.push_back(&share.account);
  DivideByWeight(std::move(accounts), room_vms);
}

/// Marks the teams that crowd the others. Returns whether there are any.
bool MarkCrowds(std::vector<TeamShare>& shares, double room_vms) {
  double wanted = 0;
  double weights = 0;
  for (const TeamShare& share : shares) {
    wanted += share.account.wanted;
    weights += share.account.weight;
  }
  bool any = false;
  for (TeamShare& share : shares) {
    const ShareAccount& own = share.account;
    const double others_weight = weights - own.weight;
    if (others_weight <= 0) continue;
    const double as_others = own.weight * (wanted - own.wanted) / others_weight;
    share.crowds = own.wanted >= kCrowdFactor * as_others &&
                   own.wanted - own.entitled >= kCrowdRoom * room_vms;
    any = any || share.crowds;
  }
  return any;
}

}  // namespace

double InVms(const Resources& amount, const Resources& vm) {
  return std::max({Ratio(amount.cpu, vm.cpu), Ratio(amount.memory_mb, vm.memory_mb),
                   Ratio(amount.accelerators, vm.accelerators)});
}

double RoomInVms(const Resources& room, const Resources& vm) {
  double least = std::numeric_limits<double>::infinity();
  const auto add = [&](std::int64_t amount, std::int64_t of) {
    if (of > 0) least = std::min(least, Ratio(amount, of));
  };
  add(room.cpu, vm.cpu);
  add(room.memory_mb, vm.memory_mb);
  add(room.accelerators, vm.accelerators);
  return least == std::numeric_limits<double>::infinity() ? 0 : std::max(0.0, least);
}

std::vector<TeamShare> DivideService(const std::vector<TeamDemand>& demands, double room_vms,
                                     const Resources& vm) {
  std::vector<TeamShare> shares;
  double wanted = 0;
  for (const TeamDemand& demand : demands) {
    shares.push_back({.team = demand.team, .account = AccountOf(demand, vm)});
    wanted += shares.back().account.wanted;
  }
  if (wanted <= room_vms) return {};
  Divide(shares, room_vms);
  if (!MarkCrowds(shares, room_vms)) shares.clear();
  return shares;
}

double ExpectedVms(const std::vector<TeamDemand>& demands, TeamNumber team, double weight,
                   double room_vms, const Resources& vm) {
  std::vector<TeamShare> shares{{.team = team, .account = {.weight = weight, .wanted = room_vms}}};
  for (const TeamDemand& demand : demands) {
    if (demand.team == team) continue;
    shares.push_back({.team = demand.team, .account = AccountOf(demand, vm)});
  }
  Divide(shares, room_vms);
  return shares.front().account.entitled;
}

}  // namespace godwitpaddle::jobs

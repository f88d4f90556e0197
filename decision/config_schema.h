#ifndef GODWITPADDLE_DECISION_CONFIG_SCHEMA_H_
#define GODWITPADDLE_DECISION_CONFIG_SCHEMA_H_

#include <cstdint>

#include "decision/config.h"

namespace godwitpaddle::detail {

// Upper bounds of settings. They keep sums over any section far from overflow.
inline constexpr std::int64_t kMaxCount = 1'000'000;
inline constexpr std::int64_t kMaxSeconds = 366LL * 24 * 3600;
inline constexpr std::int64_t kMaxBytes = 1LL << 40U;
inline constexpr double kMaxWeight = 1e6;

/// The Visit functions pass the name, value and range of each setting of a section to a visitor,
/// which reads or writes it. A visitor has the member functions Text, Flag, Int(name, value, low,
/// high), Real(name, value, low, high), Names, Review, Object and Section.
template <typename Visitor, typename Options>
void VisitWeights(Visitor& visit, Options& weights) {
  visit.Real("share", weights.share, 0.0, kMaxWeight);
  visit.Real("rollout", weights.rollout, 0.0, kMaxWeight);
  visit.Real("buffer", weights.buffer, 0.0, kMaxWeight);
  visit.Real("moves", weights.moves, 0.0, kMaxWeight);
}

template <typename Visitor, typename Options>
void VisitFleet(Visitor& visit, Options& fleet) {
  visit.Text("name", fleet.name);
  visit.Review("review", fleet.review);
  visit.Int("review_window_s", fleet.review_window_s, 1, kMaxSeconds);
  // The time in a request id may be 60 s ahead, so a shorter retention could remove a claim that is
  // still valid.
  visit.Int("claim_retention_s", fleet.claim_retention_s, 60, kMaxSeconds);
  visit.Int("max_claims", fleet.max_claims, 1, 100 * kMaxCount);
  visit.Flag("automatic_moves", fleet.automatic_moves);
  visit.Object("weights", fleet.weights, [](auto& inner, auto& w) { VisitWeights(inner, w); });
}

template <typename Visitor, typename Options>
void VisitPool(Visitor& visit, Options& pool) {
  visit.Text("service", pool.service);
  visit.Int("min_available", pool.min_available, 0, kMaxCount);
  visit.Flag("spare", pool.spare);
  visit.Flag("one_zone_at_a_time", pool.one_zone_at_a_time);
  visit.Int("slots_per_vm", pool.slots_per_vm, 1, 10'000);
  visit.Int("max_queue", pool.max_queue, 0, kMaxCount);
  visit.Int("hold_down_s", pool.hold_down_s, 0, kMaxSeconds);
}

template <typename Visitor, typename Options>
void VisitVm(Visitor& visit, Options& vm) {
  visit.Text("pool", vm.pool);
  visit.Text("region", vm.region);
  visit.Text("zone", vm.zone);
  visit.Text("rack", vm.rack);
  visit.Int("cores", vm.cores, 0, kMaxCount);
  visit.Int("memory_mb", vm.memory_mb, 0, kMaxBytes);
  visit.Int("accelerators", vm.accelerators, 0, kMaxCount);
}

template <typename Visitor, typename Options>
void VisitQueue(Visitor& visit, Options& queue) {
  visit.Text("pool", queue.pool);
  visit.Flag("idempotent", queue.idempotent);
  visit.Flag("open", queue.open);
  visit.Text("team", queue.team);
  visit.Names("teams", queue.teams);
  visit.Int("default_deadline_ms", queue.default_deadline_ms, 1, kMaxSeconds * 1000);
  visit.Int("max_body_bytes", queue.max_body_bytes, 0, kMaxBytes);
  visit.Real("objective", queue.objective, 0.0, 1.0);
}

template <typename Visitor, typename Options>
void VisitTeam(Visitor& visit, Options& team) {
  visit.Real("share", team.share, 0.0, kMaxWeight);
  visit.Int("limit", team.limit, 0, kMaxCount);
}

template <typename Visitor, typename Options>
void VisitWave(Visitor& visit, Options& wave) {
  visit.Names("pools", wave.pools);
  visit.Int("max_parallel", wave.max_parallel, 0, kMaxCount);
  visit.Int("pause_after_failures", wave.pause_after_failures, 1, kMaxCount);
  visit.Int("checkpoint_after_s", wave.checkpoint_after_s, 0, kMaxSeconds);
}

template <typename Visitor, typename Config>
void VisitConfig(Visitor& visit, Config& config) {
  visit.Object("fleet", config.fleet, [](auto& inner, auto& item) { VisitFleet(inner, item); });
  visit.Section("pools", config.pools, [](auto& inner, auto& item) { VisitPool(inner, item); });
  visit.Section("vms", config.vms, [](auto& inner, auto& item) { VisitVm(inner, item); });
  visit.Section("queues", config.queues, [](auto& inner, auto& item) { VisitQueue(inner, item); });
  visit.Section("teams", config.teams, [](auto& inner, auto& item) { VisitTeam(inner, item); });
  visit.Section("waves", config.waves, [](auto& inner, auto& item) { VisitWave(inner, item); });
}

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_SCHEMA_H_

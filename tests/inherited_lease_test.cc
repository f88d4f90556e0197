#include <catch2/catch.hpp>

#include "tests/manual_worker_fleet.h"

// Tests the leases that a leader gives to a worker whose earlier lease it does not know.
namespace godwitpaddle::testing {
namespace {

/// Longest lease that the next leader assumes of a worker that has run for long.
constexpr std::int64_t kLeaseMs = jobs::FleetOptions{}.lease_ms;

}  // namespace

// Guards against a lease that the next leader takes for expired while the worker still holds it.
TEST_CASE("a leader that assumes the longest lease of a restarted worker") {
  ManualWorkerFleet lab;
  lab.AddWorker("a", "vm-a");
  lab.Restart("a");
  lab.Report(lab.workers.at("a"));
  lab.Wait(kSecond);
  lab.ChangeLeader();
  lab.Wait(kSecond);
  REQUIRE(lab.Assign(lab.FirstTask(), "a") == jobs::ApplyOutcome::kApplied);
  const auto start = std::get<jobs::StartOrder>(lab.Take<jobs::StartOrder>("a").order);
  CHECK(start.lease_until_ms <= lab.workers.at("a").ClockAt(lab.now) + kLeaseMs);
}

}  // namespace godwitpaddle::testing

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

// Guards against a task that starts again while its worker, which restarted unnoticed, holds the
// lease of an order that was meant for its former incarnation.
TEST_CASE("a worker that answers a start after an unnoticed restart and then falls silent") {
  SingleWorkerFleet lab;
  const jobs::OrderEffect start = lab.AssignAndTakeStart();
  lab.Silence();
  const jobs::OrderEffect renewal = lab.NextLeaseRenewal();
  const jobs::OrderReply former_lists = lab.MakeLists(lab.worker());
  lab.Restart(kWorker);
  lab.ListAsRunning();
  const Micros begun = lab.now;
  lab.Answer(start, jobs::OrderOutcome::kDone);
  const auto wait_until_expired = [&] {
    const Micros longest = jobs::FleetOptions{}.longest_lease_ms * kMillisecond;
    lab.Wait(begun + longest - lab.now);
    CHECK(lab.Assigned(lab.task));
    lab.Wait(kSecond);
    CHECK(lab.Waiting(lab.task));
  };
  SECTION("keeps its task for as long as the lease may last") { wait_until_expired(); }
  SECTION("also if an answer of its former incarnation arrives late") {
    lab.Answer(renewal, former_lists);
    lab.Wait(100 * kMillisecond);
    wait_until_expired();
  }
  SECTION("also under the next leader") {
    lab.ChangeLeader();
    wait_until_expired();
  }
}

}  // namespace godwitpaddle::testing

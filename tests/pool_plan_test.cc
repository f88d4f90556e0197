#include "jobs/pool_plan.h"

#include <catch2/catch.hpp>

#include "jobs/demand.h"

namespace godwitpaddle::jobs {
namespace {

Pool MakePool(const std::string& name, int vms, double needed_cores, std::size_t tasks = 0) {
  Pool pool{.service = name, .needed_cores = needed_cores, .vm_cores = 64, .vms = vms};
  for (int i = 0; i < vms; ++i) {
    pool.movable.push_back({.vm = name + std::to_string(i), .tasks = tasks});
  }
  return pool;
}

// Guards against a queue whose demand rises to several times its mean but that gets no VMs beyond
// its own pool.
TEST_CASE("VMs move to the pools with demand") {
  const PoolPlanOptions options;
  SECTION("VMs of a standby pool are moved first") {
    Pool off = MakePool("off", 4, 0);
    off.standby = true;
    const auto moves = PlanMoves({MakePool("a", 4, 500), MakePool("b", 8, 0), off}, options, 0);
    REQUIRE(moves.size() == 4);
    for (const PoolMove& move : moves) CHECK(move.to == "a");
    CHECK(moves[0].from == "off");
  }
  SECTION("then VMs of pools with a surplus, idle VMs first") {
    Pool busy = MakePool("b", 8, 0);
    for (int i = 0; i < 6; ++i) busy.movable[i].tasks = 3;
    const auto moves = PlanMoves({MakePool("a", 4, 384), busy}, options, 0);
    REQUIRE(moves.size() == 2);
    CHECK(moves[0].vm == "b6");
    CHECK(moves[1].vm == "b7");
  }
  SECTION("if the pools need more VMs than exist, each gets its share") {
    const auto moves = PlanMoves({MakePool("a", 20, 1'280), MakePool("b", 4, 1'280)}, options, 0);
    CHECK(moves.size() >= 7);  // a shortage of up to a tenth of the share is tolerated
    CHECK(moves.size() <= 8);
  }
  SECTION("and small differences cause no moves") {
    CHECK(PlanMoves({MakePool("a", 12, 1'280), MakePool("b", 11, 1'280)}, options, 0).empty());
  }
  SECTION("waiting long-running tasks get VMs although the pool has enough cores") {
    // Otherwise a task that must not share a VM with other tasks of its step waits too long (14 s
    // in a recorded case).
    Pool spread = MakePool("a", 4, 64);
    spread.vms_for_waiting = 6;
    const auto moves = PlanMoves({spread, MakePool("b", 8, 0)}, options, 0);
    REQUIRE(moves.size() == 2);
    CHECK(moves[0].to == "a");
    const Resources vm{.cpu = 64'000, .memory_mb = 128'000};
    const Resources task{.cpu = 5'000, .memory_mb = 17'000};
    CHECK(VmsForWaiting({}, vm) == 0);
    CHECK(VmsForWaiting({{.count = 3, .size = task, .max_per_worker = 1}}, vm) == 3);
    CHECK(VmsForWaiting({{.count = 3, .size = task, .max_per_worker = 2}}, vm) == 2);
    CHECK(VmsForWaiting({{.count = 8, .size = task}}, vm) == 2);
    CHECK(VmsForWaiting({{.count = 2, .size = task}, {.count = 1, .size = task}}, vm) == 1);
    CHECK(VmsForWaiting({{.count = 1, .size = task}}, {}) == 1);
  }
  SECTION("also a single VM while the pools need more than exist") {
    // Otherwise a job that fits on no worker waits for as long as the load lasts.
    Pool waiting = MakePool("a", 12, 12 * 64);
    waiting.vms_for_waiting = 13;
    const auto moves = PlanMoves({waiting, MakePool("b", 14, 15 * 64)}, options, 0);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].to == "a");
  }
  SECTION("VMs that no pool needs are switched off after a delay") {
    Pool off = MakePool("off", 0, 0);
    off.standby = true;
    Pool idle = MakePool("a", 10, 64);
    idle.surplus_since = kSecond;
    CHECK(PlanMoves({idle, off}, options, 2 * kSecond).empty());
    CHECK(PlanMoves({idle, off}, options, 4 * kSecond).size() == 6);
  }
}

// Guards against moves that start only when a backlog has built up, and against a single large job
// that is mistaken for a rising rate.
TEST_CASE("the rate of arriving work is extrapolated by its slope") {
  ArrivalRate rate;
  SECTION("a rising rate is extrapolated") {
    for (std::int64_t ms = 0; ms < 2'000; ms += 10) {
      rate.Add(10 * (100 + ms / 2), (ms + 1) * kMillisecond);
    }
    const double now = 100 + 1'000;
    CHECK(rate.Forecast(2'000 * kMillisecond, 0) > 0.8 * now);
    CHECK(rate.Forecast(2'000 * kMillisecond, 1'000 * kMillisecond) > 1.2 * now);
  }
  SECTION("a steady rate is forecast unchanged") {
    for (int ms = 0; ms < 2'000; ms += 10) rate.Add(1'000, (ms + 1) * kMillisecond);
    CHECK(rate.Forecast(2'000 * kMillisecond, kSecond) == Approx(100).epsilon(0.1));
  }
  SECTION("one large job does not count as a slope") {
    rate.Add(160'000, 1'700 * kMillisecond);
    CHECK(rate.Forecast(2'000 * kMillisecond, kSecond) < 160);
  }
  SECTION("the forecast is 0 after a pause") {
    rate.Add(160'000, kSecond);
    CHECK(rate.Forecast(10 * kSecond, kSecond) == 0);
  }
}

// Guards against plans that rely on the clients' estimates as declared.
TEST_CASE("estimates are corrected by the actual run times") {
  Demand demand;
  CHECK(demand.EstimateFactor("print") == 1);
  for (int i = 0; i < 100; ++i) demand.OnRunDone("print", 500, 1'000);
  CHECK(demand.EstimateFactor("print") == Approx(2).epsilon(0.01));
}

}  // namespace
}  // namespace godwitpaddle::jobs

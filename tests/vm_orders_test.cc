#include "control/vm_orders.h"

#include <catch2/catch.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kTakeoverMs = 3'000;
constexpr Micros kTakeover = kTakeoverMs * kMillisecond;
constexpr Micros kTermStart = 100 * kSecond;
constexpr WallMs kWallMs = 1'000'000;

/// A desk whose notes the test puts into the state by hand.
struct VmOrdersFixture {
  State state;
  std::vector<RecordVmOrder> proposed;
  VmOrders vm_orders{
      {.holder = "core-1", .takeover_ms = kTakeoverMs}, state, [this](Command command) {
        proposed.push_back(std::get<RecordVmOrder>(std::move(command)));
      }};
  Outbox out;

  void Record(const RecordVmOrder& record, bool replayed, Micros now) {
    state.Apply(record);
    vm_orders.OnRecorded(record, replayed, now);
  }

  void OrderMove() {
    vm_orders.Order("vm-1", MoveVm{.vm = "vm-1", .pool = "b"},
                    [](VmOutcome, Micros, WallMs, Outbox&) {});
  }

  /// Orders that leave at this time, once what was proposed has taken effect.
  std::vector<VmEffect> Send(Micros now, WallMs wall) {
    vm_orders.Tick(now, wall, out);
    for (const RecordVmOrder& record : std::exchange(proposed, {})) Record(record, false, now);
    vm_orders.Tick(now, wall, out);
    std::vector<VmEffect> orders;
    for (const Effect& effect : std::exchange(out.effects, {})) {
      const auto* one = std::get_if<VmEffect>(&effect);
      if (one != nullptr && !std::holds_alternative<ListVms>(one->order)) orders.push_back(*one);
    }
    return orders;
  }
};

// Guards against two leaders that move the same VM in turn: seen when a leader was frozen between
// its look at the lease and the call, and woke after the next one had begun.
TEST_CASE("orders of two leaders for one VM do not interleave") {
  VmOrdersFixture test;
  SECTION("an order is noted in the log before it leaves") {
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    test.vm_orders.Tick(kTermStart, kWallMs, test.out);
    test.vm_orders.Tick(kTermStart + kSecond, kWallMs, test.out);
    REQUIRE(test.proposed.size() == 1);
    CHECK(test.proposed[0].vm == "vm-1");
    CHECK(test.proposed[0].fencing_token == 7);
  }
  SECTION("an order that is held up does not leave once the next leader may begin") {
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    const std::vector<VmEffect> orders = test.Send(kTermStart, kWallMs);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fencing_token == 7);
    CHECK(orders[0].send_deadline > kTermStart);
    CHECK(orders[0].send_deadline < kTermStart + kTakeover);
  }
  SECTION("a new leader waits with a VM that the former one has just dealt with") {
    test.Record({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWallMs}, false,
                kTermStart - kSecond);
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    // Its own wall time may be far ahead; what it has seen itself counts.
    CHECK(test.Send(kTermStart - kSecond + kTakeover - 1, kWallMs + 100'000).empty());
    CHECK(test.Send(kTermStart - kSecond + kTakeover, kWallMs).size() == 1);
  }
  SECTION("after a restart of all nodes the wall time tells how old a note is") {
    test.Record({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWallMs}, true, kTermStart);
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    CHECK(test.Send(kTermStart + 1, kWallMs + kTakeoverMs).empty());
    CHECK(test.Send(kTermStart + 2, kWallMs + kTakeoverMs + 1'000).size() == 1);
  }
  SECTION("a note that came with a snapshot counts, not the one seen before") {
    test.Record({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWallMs}, false,
                kTermStart - kTakeover);
    test.state.Apply(RecordVmOrder{.vm = "vm-1", .fencing_token = 6, .wall_ms = kWallMs + 2'500});
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    CHECK(test.Send(kTermStart, kWallMs + 3'000).empty());
  }
  SECTION("whatever the clocks say, a whole takeover time is enough") {
    test.Record({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWallMs + 50'000}, true, kTermStart);
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    CHECK(test.Send(kTermStart + kTakeover - 1, kWallMs).empty());
    CHECK(test.Send(kTermStart + kTakeover, kWallMs).size() == 1);
  }
  SECTION("VMs that the former leader left alone are moved at once") {
    // Seen after each change of leader: the pools stood still for 3 s while a queue rose.
    test.Record({.vm = "vm-2", .fencing_token = 6, .wall_ms = kWallMs}, false, kTermStart);
    test.vm_orders.BeginTerm(7, kTermStart);
    test.OrderMove();
    CHECK(test.Send(kTermStart, kWallMs).size() == 1);
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

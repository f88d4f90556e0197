#include "control/vm_desk.h"

#include <catch2/catch.hpp>
#include <utility>
#include <variant>
#include <vector>

namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kTakeoverMs = 3'000;
constexpr Micros kTakeover = kTakeoverMs * kMillisecond;
constexpr Micros kBegan = 100 * kSecond;
constexpr WallMs kWall = 1'000'000;

/// A desk whose notes the test puts into the state by hand.
struct DeskUnderTest {
  State state;
  std::vector<NoteVmOrder> proposed;
  VmDesk desk{{.holder = "core-1", .takeover_ms = kTakeoverMs}, state, [this](Command command) {
                proposed.push_back(std::get<NoteVmOrder>(std::move(command)));
              }};
  Outbox out;

  void Note(const NoteVmOrder& note, bool replayed, Micros now) {
    state.Apply(note);
    desk.OnNoted(note, replayed, now);
  }

  void OrderMove() {
    desk.Order("vm-1", MoveVm{.vm = "vm-1", .pool = "b"},
               [](VmOutcome, Micros, WallMs, Outbox&) {});
  }

  /// Orders that leave at this time, once what was proposed has taken effect.
  std::vector<VmEffect> Send(Micros now, WallMs wall) {
    desk.Tick(now, wall, out);
    for (const NoteVmOrder& note : std::exchange(proposed, {})) Note(note, false, now);
    desk.Tick(now, wall, out);
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
  DeskUnderTest test;
  SECTION("an order is noted in the log before it leaves") {
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    test.desk.Tick(kBegan, kWall, test.out);
    test.desk.Tick(kBegan + kSecond, kWall, test.out);
    REQUIRE(test.proposed.size() == 1);
    CHECK(test.proposed[0].vm == "vm-1");
    CHECK(test.proposed[0].fencing_token == 7);
  }
  SECTION("an order that is held up does not leave once the next leader may begin") {
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    const std::vector<VmEffect> orders = test.Send(kBegan, kWall);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fencing_token == 7);
    CHECK(orders[0].send_before > kBegan);
    CHECK(orders[0].send_before < kBegan + kTakeover);
  }
  SECTION("a new leader waits with a VM that the former one has just dealt with") {
    test.Note({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWall}, false, kBegan - kSecond);
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    // Its own wall time may be far ahead; what it has seen itself counts.
    CHECK(test.Send(kBegan - kSecond + kTakeover - 1, kWall + 100'000).empty());
    CHECK(test.Send(kBegan - kSecond + kTakeover, kWall).size() == 1);
  }
  SECTION("after a restart of all nodes the wall time tells how old a note is") {
    test.Note({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWall}, true, kBegan);
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    CHECK(test.Send(kBegan + 1, kWall + kTakeoverMs).empty());
    CHECK(test.Send(kBegan + 2, kWall + kTakeoverMs + 1'000).size() == 1);
  }
  SECTION("a note that came with a snapshot counts, not the one seen before") {
    test.Note({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWall}, false, kBegan - kTakeover);
    test.state.Apply(NoteVmOrder{.vm = "vm-1", .fencing_token = 6, .wall_ms = kWall + 2'500});
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    CHECK(test.Send(kBegan, kWall + 3'000).empty());
  }
  SECTION("whatever the clocks say, a whole takeover time is enough") {
    test.Note({.vm = "vm-1", .fencing_token = 6, .wall_ms = kWall + 50'000}, true, kBegan);
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    CHECK(test.Send(kBegan + kTakeover - 1, kWall).empty());
    CHECK(test.Send(kBegan + kTakeover, kWall).size() == 1);
  }
  SECTION("VMs that the former leader left alone are moved at once") {
    // Seen after each change of leader: the pools stood still for 3 s while a queue rose.
    test.Note({.vm = "vm-2", .fencing_token = 6, .wall_ms = kWall}, false, kBegan);
    test.desk.BeginTerm(7, kBegan);
    test.OrderMove();
    CHECK(test.Send(kBegan, kWall).size() == 1);
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

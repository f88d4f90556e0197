#include "control/vm_desk.h"

#include <catch2/catch.hpp>

namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kTakeoverMs = 3'000;

std::vector<VmEffect> OrdersIn(Outbox& out) {
  std::vector<VmEffect> orders;
  for (const Effect& effect : out.effects) {
    const auto* one = std::get_if<VmEffect>(&effect);
    if (one != nullptr && !std::holds_alternative<ListVms>(one->order)) orders.push_back(*one);
  }
  out.effects.clear();
  return orders;
}

// Guards against two leaders that move the same VM in turn: seen when a leader was frozen between
// its look at the lease and the call, and woke after the next one had begun.
TEST_CASE("orders of two leaders for one VM do not interleave") {
  VmDesk desk({.holder = "core-1", .takeover_ms = kTakeoverMs});
  Outbox out;
  desk.BeginTerm(7, kSecond);
  desk.Order("vm-1", MoveVm{.vm = "vm-1", .pool = "b"}, [](VmOutcome, Micros, WallMs, Outbox&) {});
  SECTION("a new leader waits until orders of the former one have left") {
    desk.Tick(kSecond + kTakeoverMs * kMillisecond - 1, out);
    CHECK(OrdersIn(out).empty());
  }
  SECTION("an order that is held up does not leave once the next leader may begin") {
    const Micros sent = kSecond + kTakeoverMs * kMillisecond;
    desk.Tick(sent, out);
    const std::vector<VmEffect> orders = OrdersIn(out);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fencing_token == 7);
    CHECK(orders[0].send_before > sent);
    CHECK(orders[0].send_before < sent + kTakeoverMs * kMillisecond);
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

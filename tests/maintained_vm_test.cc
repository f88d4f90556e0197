#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <variant>

#include "control/maintenance.h"
#include "control/vm_orders.h"
#include "tests/manual_worker_fleet.h"

namespace godwitpaddle::testing {
namespace {

using jobs::MaintainVm;
using jobs::VmEffect;
using jobs::VmOutcome;

/// Two VMs with a worker each, and a wave of both with at most one of them down at a time.
struct WaveFixture : ManualWorkerFleet {
  WaveFixture() {
    order_sender.BeginTerm(term, now);
    maintenance.BeginTerm(now);
    RunFor(4 * kSecond);
    AddWorker("worker-1", "vm-1");
    AddWorker("worker-2", "vm-2");
    state.Apply(
        jobs::StartWave{.wave = 1, .vms = {"vm-1", "vm-2"}, .duration_ms = 60'000, .max_down = 1});
  }

  /// Advances the virtual time and applies what is proposed; workers that are not silent answer.
  void RunFor(Micros time) {
    for (const Micros end = now + time; now < end;) {
      order_sender.Tick(now, Wall(), out);
      maintenance.Tick(now, out);
      Wait(10 * kMillisecond);
      for (const jobs::Command& command : std::exchange(applied, {})) {
        const auto* record = std::get_if<jobs::RecordVmOrder>(&command);
        if (record != nullptr) order_sender.OnRecorded(*record, false, now);
      }
    }
  }
  /// Number of maintenance orders that the test has not answered.
  std::size_t PendingMaintenance() const {
    return static_cast<std::size_t>(std::ranges::count_if(vm_orders, [](const VmEffect& order) {
      return std::holds_alternative<MaintainVm>(order.order);
    }));
  }
  /// Answers the pending maintenance order and returns its VM.
  jobs::VmId Answer(VmOutcome outcome) {
    const auto order = std::ranges::find_if(vm_orders, [](const VmEffect& one) {
      return std::holds_alternative<MaintainVm>(one.order);
    });
    if (order == vm_orders.end()) throw std::logic_error("no maintenance order is pending");
    const VmEffect effect = *order;
    vm_orders.erase(order);
    order_sender.OnReply({.token = effect.token, .reply = {.outcome = outcome}}, now, Wall(), out);
    ProcessPending();
    return std::get<MaintainVm>(effect.order).vm;
  }

  jobs::VmOrders order_sender{{.holder = "core-1"}, state, [this](jobs::Command command) {
                                proposed.push_back(std::move(command));
                              }};
  jobs::StartPlanner planner{state};
  jobs::Maintenance maintenance{
      {.maintenance_ms = 20'000},
      state,
      fleet,
      order_sender,
      planner,
      [this](jobs::Command command) { proposed.push_back(std::move(command)); }};
};

// Guards against a wave that exceeds its bound: the next VM is taken down while the previous one
// is still down.
TEST_CASE("a maintained VM counts as down") {
  WaveFixture test;
  test.RunFor(kSecond);
  REQUIRE(test.PendingMaintenance() == 1);
  const jobs::VmId vm = test.Answer(VmOutcome::kDone);
  const jobs::WorkerId worker = vm == "vm-1" ? "worker-1" : "worker-2";
  SECTION("while its previous worker is silent") {
    test.silent_workers = {worker};
    test.RunFor(10 * kSecond);
    CHECK(test.PendingMaintenance() == 0);
  }
  SECTION("while a delayed report of its previous worker arrives") {
    test.silent_workers = {worker};
    const jobs::HeartbeatCall late = test.MakeReport(test.workers.at(worker));
    SECTION("at once") { test.RunFor(100 * kMillisecond); }
    SECTION("after the worker was removed") {
      test.RunFor(100 * kMillisecond);
      if (test.Pending<jobs::RenewLeaseOrder>(worker) > 0) {
        test.ManualWorkerFleet::Answer(test.Take<jobs::RenewLeaseOrder>(worker),
                                       jobs::OrderOutcome::kUnknown);
      }
      test.RunFor(4 * kSecond);
      REQUIRE(test.state.FindWorker(worker) == nullptr);
    }
    test.Deliver(late);
    test.RunFor(2 * kSecond);
    CHECK(test.PendingMaintenance() == 0);
  }
  SECTION("until a newer worker reports from it, after the announced duration") {
    test.silent_workers = {worker};
    test.RunFor(20 * kSecond);
    WorkerIncarnation next{.id = "worker-9",
                           .incarnation_ms = test.Wall(),
                           .vm = vm,
                           .address = "worker-9:1",
                           .clock_set_at = test.now,
                           .initial_clock_ms = 1};
    test.workers["worker-9"] = next;
    test.Report(test.workers["worker-9"]);
    test.RunFor(kSecond);
    CHECK(test.PendingMaintenance() == 1);
  }
  SECTION("unless its worker answers a later order, because the VM had been maintained before") {
    test.RunFor(kSecond);
    CHECK(test.PendingMaintenance() == 1);
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

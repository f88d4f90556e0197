#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <variant>

#include "tests/manual_worker_fleet.h"

// Tests what each conclusion about a run proves and what it does not. If the leader abandons a run
// that may still be running, or may still start, the task runs twice.
namespace godwitpaddle::testing {
namespace {

using jobs::EndKind;
using jobs::RenewLeaseOrder;

using jobs::OrderEffect;
using jobs::OrderOutcome;
using jobs::RefusalReason;
using jobs::StartOrder;
using jobs::StopOrder;

struct Refusal {
  const char* name;
  OrderOutcome outcome;
  RefusalReason reason;
};
constexpr std::array<Refusal, 4> kRefusals = {{
    {"no capacity", OrderOutcome::kRefused, RefusalReason::kNoCapacity},
    {"lease expired", OrderOutcome::kRefused, RefusalReason::kLeaseExpired},
    {"unhealthy", OrderOutcome::kUnhealthy, RefusalReason::kNone},
    {"not sent", OrderOutcome::kNotSent, RefusalReason::kNone},
}};

// Guards against a task that starts on another worker while a copy of its earlier start may still
// be carried out.
TEST_CASE("a refused start") {
  SingleWorkerFleet test;
  SECTION("frees the task when its only copy was refused") {
    for (const Refusal& refusal : kRefusals) {
      SingleWorkerFleet fresh;
      CAPTURE(refusal.name);
      fresh.Answer(fresh.AssignAndTakeStart(), refusal.outcome, refusal.reason);
      CHECK(fresh.Waiting(fresh.task));
      CHECK(fresh.LastReason() == "refused");
    }
  }
  SECTION("still counts as running while an earlier copy is unanswered") {
    for (const Refusal& refusal : kRefusals) {
      SingleWorkerFleet fresh;
      CAPTURE(refusal.name);
      fresh.Answer(fresh.LoseFirstStart(), refusal.outcome, refusal.reason);
      fresh.Wait(kSecond);
      CHECK(fresh.Assigned(fresh.task));
      SECTION(std::string("until a stop is answered and a later list lacks it: ") + refusal.name) {
        REQUIRE(fresh.Pending<StopOrder>(kWorker) > 0);
        fresh.AnswerStops(OrderOutcome::kDone);
        fresh.Wait(900 * kMillisecond);
        CHECK(fresh.Assigned(fresh.task));
        fresh.Wait(kSecond);
        CHECK(fresh.Waiting(fresh.task));
        CHECK(fresh.LastReason() == "stopped");
      }
      SECTION(std::string("also when the first copy is carried out late: ") + refusal.name) {
        fresh.Wait(2 * kSecond);
        fresh.ListAsRunning();
        fresh.Wait(2 * kSecond);
        CHECK(fresh.Assigned(fresh.task));
        fresh.AnswerStops(OrderOutcome::kDone);
        fresh.Wait(200 * kMillisecond);
        CHECK(fresh.Assigned(fresh.task));
        fresh.ListAsEnded(EndKind::kStopped);
        fresh.Wait(200 * kMillisecond);
        CHECK(fresh.Waiting(fresh.task));
      }
    }
  }
  SECTION("as stale counts as running until the run lists show its end") {
    const OrderEffect start = test.AssignAndTakeStart();
    test.Silence();
    test.Answer(start, OrderOutcome::kRefused, RefusalReason::kStaleRun);
    test.Wait(500 * kMillisecond);
    CHECK(test.Assigned(test.task));
    test.silent_workers.clear();
    test.ListAsEnded(EndKind::kDone);
    if (test.Pending<RenewLeaseOrder>(kWorker) > 0) {
      test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
    }
    test.Wait(100 * kMillisecond);
    CHECK(test.PhaseOf(test.task) == jobs::TaskPhase::kDone);
  }
  SECTION("because of a newer fencing token proves nothing about earlier copies") {
    test.Answer(test.AssignAndTakeStart(), OrderOutcome::kRefused, RefusalReason::kStaleToken);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
  SECTION("by the previous incarnation proves nothing about the current one") {
    const OrderEffect start = test.LoseFirstStart();
    const jobs::OrderReply refused =
        test.MakeReply(test.worker(), OrderOutcome::kRefused, RefusalReason::kNoCapacity);
    test.Report(test.Restart(kWorker));
    test.Answer(start, refused);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against a start of the previous leader that a worker carries out after the new leader has
// abandoned its run.
TEST_CASE("a start that was never sent") {
  SingleWorkerFleet test;
  SECTION("because the worker stopped answering before the assignment frees the task") {
    test.StartAndList();
    test.Silence();
    test.Answer(test.NextLeaseRenewal(), OrderOutcome::kUnknown);
    test.Submit(1);
    test.Assign(test.second_task, kWorker);
    CHECK(test.Pending<StartOrder>(kWorker) == 0);
    CHECK(test.Waiting(test.second_task));
    CHECK(test.Assigned(test.task));
    CHECK(test.LastReason() == "never_sent");
  }
  SECTION("by the previous leader") {
    const OrderEffect earlier_start = test.AssignAndTakeStart();
    test.Silence();
    test.Wait(50 * kMillisecond);
    const OrderEffect earlier_renewal = test.NextLeaseRenewal();
    const jobs::OrderReply earlier_lists = test.MakeLists(test.worker());
    test.ChangeLeader();
    SECTION("frees the task once a list under the new token lacks the run") {
      test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
      CHECK(test.Waiting(test.task));
      CHECK(test.LastReason() == "never_sent");
    }
    SECTION("counts as running while only lists under the previous token lack the run") {
      test.Answer(earlier_renewal, earlier_lists);
      test.Wait(kSecond);
      CHECK(test.Assigned(test.task));
    }
    SECTION("counts as running when its refusal arrives late, at the new leader") {
      test.Answer(earlier_start, OrderOutcome::kRefused, RefusalReason::kNoCapacity);
      test.Wait(kSecond);
      CHECK(test.Assigned(test.task));
    }
    SECTION("counts as running when the list may be truncated") {
      test.AddUnacknowledgedEnds();
      test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
      CHECK(test.Assigned(test.task));
    }
    SECTION("counts as running when the list is one of the previous incarnation") {
      const OrderEffect renewal = test.NextLeaseRenewal();
      const jobs::OrderReply lists = test.MakeLists(test.worker());
      test.Report(test.Restart(kWorker));
      test.Answer(renewal, lists);
      CHECK(test.Assigned(test.task));
      SECTION("until a list of the current incarnation, under the new token, lacks the run") {
        test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
        CHECK(test.Waiting(test.task));
      }
    }
    SECTION("counts as running while it is listed as running") {
      test.ListAsRunning();
      test.silent_workers.clear();
      test.Wait(2 * kSecond);
      CHECK(test.Assigned(test.task));
    }
  }
}

// Guards against a run that counts as stopped although the stop has not reached it.
TEST_CASE("a run that was stopped and is not listed") {
  SingleWorkerFleet test;
  test.Answer(test.LoseFirstStart(), OrderOutcome::kUnknown);
  test.fleet.Stop(test.task, test.now, test.out);
  test.ProcessPending();
  const OrderEffect stop = test.Take<StopOrder>(kWorker);
  SECTION("has ended if the list was requested after the time that a stop takes") {
    test.Answer(stop, OrderOutcome::kDone);
    test.Wait(2 * kSecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "stopped");
  }
  SECTION("has ended if the stop was refused because the worker has a later one") {
    test.Answer(stop, OrderOutcome::kRefused, RefusalReason::kStaleRun);
    test.Wait(2 * kSecond);
    CHECK(test.Waiting(test.task));
  }
  SECTION("still counts as running while the stop is unanswered") {
    test.Answer(stop, OrderOutcome::kUnknown);
    test.Wait(3 * kSecond);
    CHECK(test.Assigned(test.task));
    CHECK(test.Pending<StopOrder>(kWorker) == 1);
  }
  SECTION("still counts as running if the stop was refused, not sent, or had a stale token") {
    for (const OrderOutcome outcome :
         {OrderOutcome::kUnhealthy, OrderOutcome::kNotSent, OrderOutcome::kInvalid}) {
      test.Answer(stop, outcome);
      test.Wait(2 * kSecond);
      CHECK(test.Assigned(test.task));
    }
    test.Answer(test.Take<StopOrder>(kWorker), OrderOutcome::kRefused, RefusalReason::kStaleToken);
    test.Wait(2 * kSecond);
    CHECK(test.Assigned(test.task));
  }
  SECTION("still counts as running if the list was requested before the stop took effect") {
    test.Silence();
    test.Wait(100 * kMillisecond);
    const OrderEffect renewal = test.NextLeaseRenewal();
    test.Answer(stop, OrderOutcome::kDone);
    test.Wait(2 * kSecond);
    test.Answer(renewal, test.MakeLists(test.worker()));
    CHECK(test.Assigned(test.task));
  }
  SECTION("still counts as running if the list may be truncated") {
    test.AddUnacknowledgedEnds();
    test.Silence();
    test.Wait(100 * kMillisecond);
    test.Answer(test.NextLeaseRenewal(), OrderOutcome::kUnknown);
    test.Answer(stop, OrderOutcome::kDone);
    test.Wait(2 * kSecond);
    test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
    CHECK(test.Assigned(test.task));
  }
}

// Guards against a list that is taken as proof of the end of a run although it is older than the
// run or truncated.
TEST_CASE("a run that had started and is not listed") {
  SingleWorkerFleet test;
  SECTION("has ended if the list was requested after its start was answered") {
    test.StartAndList();
    test.worker().running.clear();
    test.Wait(100 * kMillisecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "unlisted");
  }
  SECTION("still counts as running if the list was requested before its start was answered") {
    test.Assign(test.task, kWorker);
    const OrderEffect start = test.Take<StartOrder>(kWorker);
    test.Silence();
    test.Wait(100 * kMillisecond);
    const OrderEffect renewal = test.NextLeaseRenewal();
    const jobs::OrderReply lists = test.MakeLists(test.worker());
    test.Answer(start, OrderOutcome::kDone);
    test.Wait(200 * kMillisecond);
    test.Answer(renewal, lists);
    CHECK(test.Assigned(test.task));
  }
  SECTION("still counts as running if the list may be truncated") {
    test.StartAndList();
    test.AddUnacknowledgedEnds();
    test.Silence();
    test.Wait(100 * kMillisecond);
    const OrderEffect renewal = test.NextLeaseRenewal();
    test.worker().running.clear();
    test.Answer(renewal, test.MakeLists(test.worker()));
    CHECK(test.Assigned(test.task));
    SECTION("and the next list shows its end") {
      test.worker().ended.clear();
      test.ListAsEnded(EndKind::kDone);
      test.silent_workers.clear();
      test.Wait(100 * kMillisecond);
      CHECK(test.PhaseOf(test.task) == jobs::TaskPhase::kDone);
    }
  }
  SECTION("still counts as running if the previous incarnation answered the start") {
    const OrderEffect start = test.LoseFirstStart();
    const jobs::OrderReply done = test.MakeReply(test.worker(), OrderOutcome::kDone);
    test.Report(test.Restart(kWorker));
    test.Answer(start, done);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against a proof about one incarnation that ends a run on another one.
TEST_CASE("another incarnation of the worker") {
  SingleWorkerFleet test;
  SECTION("proves that a run of the previous one has ended if its start was answered") {
    test.StartAndList();
    test.Report(test.Restart(kWorker));
    test.Wait(kSecond);
    CHECK(test.Waiting(test.task));
  }
  SECTION("proves so too if its run list is the first sign of it") {
    test.StartAndList();
    test.Restart(kWorker);
    test.Wait(3 * kSecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.state.FindWorker(kWorker)->record.incarnation_ms == test.worker().incarnation_ms);
  }
  SECTION("may still carry out an unanswered copy of a start") {
    test.Answer(test.LoseFirstStart(), OrderOutcome::kUnknown);
    test.Report(test.Restart(kWorker));
    test.Wait(2 * kSecond);
    CHECK(test.Assigned(test.task));
    SECTION("and then that run is the task's current run") {
      test.ListAsRunning();
      test.Wait(kSecond);
      CHECK(test.Assigned(test.task));
      CHECK(test.reasons.empty());
    }
  }
  SECTION("remains the known one when a heartbeat of the previous one arrives late") {
    test.StartAndList();
    WorkerIncarnation previous = test.worker();
    const jobs::HeartbeatCall late = test.MakeReport(previous);
    test.Report(test.Restart(kWorker));
    const std::int64_t incarnation_ms = test.worker().incarnation_ms;
    CHECK_FALSE(test.Deliver(late));
    CHECK(test.state.FindWorker(kWorker)->record.incarnation_ms == incarnation_ms);
  }
}

// Guards against runs that are abandoned because another worker answers at an address that their
// worker no longer has.
TEST_CASE("another worker at the address") {
  SingleWorkerFleet test;
  SECTION("proves that the worker and its runs have ended") {
    test.StartAndList();
    test.Silence();
    test.Answer(test.NextLeaseRenewal(), OrderOutcome::kOtherInstance);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "replaced");
  }
  SECTION("proves nothing about a newer incarnation than the one that was called") {
    test.StartAndList();
    test.Submit(1);
    test.Assign(test.second_task, kWorker);
    const OrderEffect start = test.Take<StartOrder>(kWorker);
    WorkerIncarnation& current = test.Restart(kWorker);
    current.address = "elsewhere:1";
    test.Report(current);
    test.Wait(kSecond);
    REQUIRE(test.Waiting(test.task));
    test.Assign(test.task, kWorker);
    test.Answer(start, OrderOutcome::kOtherInstance);
    CHECK(test.Assigned(test.task));
    SECTION("but proves that this copy of the start was not carried out") {
      CHECK(test.Waiting(test.second_task));
    }
  }
}

// Guards against runs that are abandoned because of a worker that is not newer or not on their VM.
TEST_CASE("a newer worker on the VM") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  test.Wait(100 * kMillisecond);
  WorkerIncarnation other{.id = "worker-2",
                          .incarnation_ms = test.Wall(),
                          .vm = "vm-1",
                          .address = "worker-2:1",
                          .clock_set_at = test.now,
                          .initial_clock_ms = 1};
  // From here on the worker with this id answers its orders.
  const auto report_and_answer = [&] {
    test.workers[other.id] = other;
    test.Report(test.workers.at(other.id));
    test.Wait(20 * kMillisecond);
  };
  SECTION("proves that the previous worker and its runs have ended, once it has answered") {
    test.Report(other);
    CHECK(test.Assigned(test.task));
    report_and_answer();
    test.Wait(kSecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "succeeded");
    SECTION("and the previous one gets no more tasks when its heartbeat arrives late") {
      test.Report(test.worker());
      CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
    }
  }
  SECTION("proves nothing if it is older and its heartbeat was delayed") {
    other.incarnation_ms = test.worker().incarnation_ms - 1;
    report_and_answer();
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
  SECTION("proves nothing if it is on another VM or names no VM") {
    other.vm = "vm-2";
    report_and_answer();
    other.id = "worker-3";
    other.vm = "";
    report_and_answer();
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against runs that are abandoned only because the worker is reported to go down: the leave
// call may be of an earlier incarnation, and the platform's answer about an order carried out
// earlier.
TEST_CASE("a worker that is expected to go down") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect earlier_renewal = test.NextLeaseRenewal();
  const jobs::OrderReply earlier_lists = test.MakeLists(test.worker());
  const bool worker_leaves = GENERATE(true, false);
  CAPTURE(worker_leaves);
  if (worker_leaves) {
    test.fleet.ExpectWorkerDown(kWorker, test.now);
  } else {
    test.fleet.ExpectVmDown(test.worker().vm, test.now, test.out);  // the platform's answer
  }
  CHECK(test.Assigned(test.task));
  CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
  SECTION("gets no tasks although its heartbeat arrives, which may be delayed") {
    test.Report(test.worker());
    CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
    CHECK(test.Assigned(test.task));
  }
  SECTION("gets no tasks although it answers an earlier order") {
    test.Wait(10 * kMillisecond);
    test.Answer(earlier_renewal, earlier_lists);
    CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
    CHECK(test.Assigned(test.task));
  }
  SECTION("gets no lease renewal, so that its runs end when the lease expires") {
    test.Answer(earlier_renewal, OrderOutcome::kUnknown);
    const std::int64_t until_ms =
        std::get<RenewLeaseOrder>(earlier_renewal.order).lease_until_ms.value();
    while (test.Assigned(test.task) && test.worker().ClockAt(test.now) < until_ms + 10'000) {
      test.Wait(10 * kMillisecond);
      while (test.Pending<RenewLeaseOrder>(kWorker) > 0) {
        const OrderEffect renewal = test.Take<RenewLeaseOrder>(kWorker);
        CHECK_FALSE(std::get<RenewLeaseOrder>(renewal.order).lease_until_ms.has_value());
        test.Answer(renewal, OrderOutcome::kUnknown);
      }
    }
    CHECK(test.worker().ClockAt(test.now) >= until_ms);
    CHECK(test.worker().ClockAt(test.now) < until_ms + 500);
    CHECK(test.LastReason() == "lapsed");
  }
  SECTION("is usable again when it answers an order sent since") {
    test.Answer(earlier_renewal, earlier_lists);
    test.silent_workers.clear();
    test.Wait(10 * kSecond);
    CHECK(test.Assigned(test.task));
    CHECK(test.fleet.IsUsable(kWorker, test.now));
    CHECK(test.reasons.empty());
  }
  SECTION("and its runs have ended when a newer one reports from its VM and answers") {
    test.Wait(kSecond);
    WorkerIncarnation& next = test.workers["worker-2"];
    next = {.id = "worker-2",
            .incarnation_ms = test.Wall(),
            .vm = "vm-1",
            .address = "worker-2:1",
            .clock_set_at = test.now,
            .initial_clock_ms = 1};
    test.Report(next);
    test.Wait(20 * kMillisecond);
    CHECK(test.Waiting(test.task));
  }
  SECTION("is not removed while one of its runs counts as running") {
    test.Wait(3 * kSecond);
    CHECK(test.Assigned(test.task));
    CHECK(test.state.FindWorker(kWorker) != nullptr);
  }
}

// Guards against a lease that counts as expired before it has expired on the worker's clock.
TEST_CASE("an expired lease") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Wait(kSecond);
  /// Waits up to 40 s until the run is abandoned and returns the time that this took.
  const auto wait_for_expiry = [&test] {
    const Micros from = test.now;
    while (test.Assigned(test.task) && test.now < from + 40 * kSecond) test.Wait(10 * kMillisecond);
    return test.now - from;
  };
  SECTION("ends the runs once it has expired on the slowest clock") {
    test.Silence();
    const OrderEffect renewal = test.NextLeaseRenewal();
    const std::int64_t until_ms = std::get<RenewLeaseOrder>(renewal.order).lease_until_ms.value();
    const std::int64_t left_ms = until_ms - test.worker().ClockAt(test.now);
    const Micros slowest = left_ms * kMillisecond * 100 / 98;
    CHECK(left_ms >= 3'900);
    const Micros elapsed = wait_for_expiry();
    CHECK(elapsed >= slowest);
    CHECK(elapsed < slowest + 300 * kMillisecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "lapsed");
  }
  SECTION("is in force until its end on a clock that is 2 percent slow") {
    WorkerIncarnation& worker = test.worker();
    worker.initial_clock_ms = worker.ClockAt(test.now);
    worker.clock_set_at = test.now;
    worker.clock_rate = 0.98;
    test.Wait(5 * kSecond);
    test.Silence();
    const OrderEffect renewal = test.NextLeaseRenewal();
    const std::int64_t until_ms = std::get<RenewLeaseOrder>(renewal.order).lease_until_ms.value();
    wait_for_expiry();
    CHECK(worker.ClockAt(test.now) >= until_ms);
  }
  SECTION("is the latest one that any call carried, including starts") {
    test.Submit(1);
    test.Silence();
    const OrderEffect renewal = test.NextLeaseRenewal();
    const std::int64_t until_ms = std::get<RenewLeaseOrder>(renewal.order).lease_until_ms.value();
    test.Wait(3 * kSecond);
    test.Assign(test.second_task, kWorker);
    const OrderEffect start = test.Take<StartOrder>(kWorker);
    const std::int64_t later_ms = std::get<StartOrder>(start.order).lease_until_ms;
    REQUIRE(later_ms > until_ms);
    wait_for_expiry();
    CHECK(test.worker().ClockAt(test.now) >= later_ms);
  }
  SECTION("does not expire early because of a delayed heartbeat") {
    WorkerIncarnation& worker = test.worker();
    const jobs::HeartbeatCall late = test.MakeReport(worker);
    test.Silence();
    const OrderEffect renewal = test.NextLeaseRenewal();
    const std::int64_t until_ms = std::get<RenewLeaseOrder>(renewal.order).lease_until_ms.value();
    test.Wait(2 * kSecond);
    test.Deliver(late);
    wait_for_expiry();
    CHECK(worker.ClockAt(test.now) >= until_ms);
  }
  SECTION("of the previous leader counts as given just before the term began") {
    test.Silence();
    test.ChangeLeader();
    test.Report(test.worker());
    const std::int64_t until_ms = test.worker().ClockAt(test.now) + 4'000;
    wait_for_expiry();
    CHECK(test.worker().ClockAt(test.now) >= until_ms);
  }
  SECTION("of the previous leader is not counted from a delayed heartbeat") {
    const jobs::HeartbeatCall late = test.MakeReport(test.worker());
    test.Wait(3 * kSecond);
    test.Silence();
    test.ChangeLeader();
    const std::int64_t until_ms = test.worker().ClockAt(test.now) + 4'000;
    test.Deliver(late);
    test.Report(test.worker());
    wait_for_expiry();
    CHECK(test.worker().ClockAt(test.now) >= until_ms);
  }
  SECTION("of a young incarnation counts as the longest one") {
    // An order for the previous incarnation, whose clock showed more, may have given it any lease
    // up to the longest.
    WorkerIncarnation& current = test.Restart(kWorker);
    test.Report(current);
    test.Wait(500 * kMillisecond);
    REQUIRE(test.Waiting(test.task));
    const OrderEffect start = test.AssignAndTakeStart();
    test.Silence();
    test.Answer(start, OrderOutcome::kDone);
    wait_for_expiry();
    CHECK(current.ClockAt(test.now) >= 10'000);
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <variant>

#include "tests/manual_worker_fleet.h"

// What each conclusion about a run proves, and what it does not: a run that is given up while it
// may still be going on, or may still begin, is a task that runs twice.
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
    {"room", OrderOutcome::kRefused, RefusalReason::kNoCapacity},
    {"late", OrderOutcome::kRefused, RefusalReason::kLeaseExpired},
    {"unhealthy", OrderOutcome::kUnhealthy, RefusalReason::kNone},
    {"not sent", OrderOutcome::kNotSent, RefusalReason::kNone},
}};

// Guards against a task that starts elsewhere while a copy of its start is still to be carried out.
TEST_CASE("a refused start") {
  SingleWorkerFleet test;
  SECTION("whose only copy was refused is no run") {
    for (const Refusal& refusal : kRefusals) {
      SingleWorkerFleet fresh;
      CAPTURE(refusal.name);
      fresh.Answer(fresh.AssignAndTakeStart(), refusal.outcome, refusal.reason);
      CHECK(fresh.Waiting(fresh.task));
      CHECK(fresh.LastReason() == "refused");
    }
  }
  SECTION("of which an earlier copy is unanswered still counts") {
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
  SECTION("as old has been there: the lists tell what became of it") {
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
  SECTION("for a newer fencing token says nothing about earlier copies") {
    test.Answer(test.AssignAndTakeStart(), OrderOutcome::kRefused, RefusalReason::kStaleToken);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
  SECTION("that a former incarnation refused says nothing about the present one") {
    const OrderEffect start = test.LoseFirstStart();
    const jobs::OrderReply refused =
        test.MakeReply(test.worker(), OrderOutcome::kRefused, RefusalReason::kNoCapacity);
    test.Report(test.Restart(kWorker));
    test.Answer(start, refused);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against a start of the former leader that is carried out after the new one gave it up.
TEST_CASE("a start that was never sent") {
  SingleWorkerFleet test;
  SECTION("because the worker fell silent before it was assigned is no run") {
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
  SECTION("by a former leader") {
    const OrderEffect earlier_start = test.AssignAndTakeStart();
    test.Silence();
    test.Wait(50 * kMillisecond);
    const OrderEffect earlier_renewal = test.NextLeaseRenewal();
    const jobs::OrderReply earlier_lists = test.MakeLists(test.worker());
    test.ChangeLeader();
    SECTION("is no run once a list under the new token lacks it") {
      test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
      CHECK(test.Waiting(test.task));
      CHECK(test.LastReason() == "never_sent");
    }
    SECTION("counts while only lists under the former token lack it") {
      test.Answer(earlier_renewal, earlier_lists);
      test.Wait(kSecond);
      CHECK(test.Assigned(test.task));
    }
    SECTION("counts when its refusal comes late, to the new leader") {
      test.Answer(earlier_start, OrderOutcome::kRefused, RefusalReason::kNoCapacity);
      test.Wait(kSecond);
      CHECK(test.Assigned(test.task));
    }
    SECTION("counts when the list may be cut") {
      test.AddUnacknowledgedEnds();
      test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
      CHECK(test.Assigned(test.task));
    }
    SECTION("counts when the list is one of a former incarnation") {
      const OrderEffect renewal = test.NextLeaseRenewal();
      const jobs::OrderReply lists = test.MakeLists(test.worker());
      test.Report(test.Restart(kWorker));
      test.Answer(renewal, lists);
      CHECK(test.Assigned(test.task));
      SECTION("until one of the present incarnation lacks it, which knows the new token by then") {
        test.Answer(test.NextLeaseRenewal(), test.MakeLists(test.worker()));
        CHECK(test.Waiting(test.task));
      }
    }
    SECTION("counts while it is listed as running") {
      test.ListAsRunning();
      test.silent_workers.clear();
      test.Wait(2 * kSecond);
      CHECK(test.Assigned(test.task));
    }
  }
}

// Guards against a stop that is believed to have ended a run which it has not reached.
TEST_CASE("a run that was stopped and is not listed") {
  SingleWorkerFleet test;
  test.Answer(test.LoseFirstStart(), OrderOutcome::kUnknown);
  test.fleet.Stop(test.task, test.now, test.out);
  test.ProcessPending();
  const OrderEffect stop = test.Take<StopOrder>(kWorker);
  SECTION("is gone when the list was asked for after the time that a stop takes") {
    test.Answer(stop, OrderOutcome::kDone);
    test.Wait(2 * kSecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "stopped");
  }
  SECTION("is gone when the stop was refused because a later one was there") {
    test.Answer(stop, OrderOutcome::kRefused, RefusalReason::kStaleRun);
    test.Wait(2 * kSecond);
    CHECK(test.Waiting(test.task));
  }
  SECTION("still counts while the stop is unanswered") {
    test.Answer(stop, OrderOutcome::kUnknown);
    test.Wait(3 * kSecond);
    CHECK(test.Assigned(test.task));
    CHECK(test.Pending<StopOrder>(kWorker) == 1);
  }
  SECTION("still counts when the stop was refused, not sent, or met a newer token") {
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
  SECTION("still counts when the list was asked for before the stop had its time") {
    test.Silence();
    test.Wait(100 * kMillisecond);
    const OrderEffect renewal = test.NextLeaseRenewal();
    test.Answer(stop, OrderOutcome::kDone);
    test.Wait(2 * kSecond);
    test.Answer(renewal, test.MakeLists(test.worker()));
    CHECK(test.Assigned(test.task));
  }
  SECTION("still counts when the list may be cut") {
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

// Guards against a list that is older than the run, or not whole, and is taken as proof of its end.
TEST_CASE("a run that was there and is not listed") {
  SingleWorkerFleet test;
  SECTION("is gone when the list was asked for after its start was answered") {
    test.StartAndList();
    test.worker().running.clear();
    test.Wait(100 * kMillisecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "unlisted");
  }
  SECTION("still counts when the list was asked for before its start was answered") {
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
  SECTION("still counts when the list may be cut") {
    test.StartAndList();
    test.AddUnacknowledgedEnds();
    test.Silence();
    test.Wait(100 * kMillisecond);
    const OrderEffect renewal = test.NextLeaseRenewal();
    test.worker().running.clear();
    test.Answer(renewal, test.MakeLists(test.worker()));
    CHECK(test.Assigned(test.task));
    SECTION("and its end comes with the next list") {
      test.worker().ended.clear();
      test.ListAsEnded(EndKind::kDone);
      test.silent_workers.clear();
      test.Wait(100 * kMillisecond);
      CHECK(test.PhaseOf(test.task) == jobs::TaskPhase::kDone);
    }
  }
  SECTION("still counts when the start was answered by a former incarnation") {
    const OrderEffect start = test.LoseFirstStart();
    const jobs::OrderReply done = test.MakeReply(test.worker(), OrderOutcome::kDone);
    test.Report(test.Restart(kWorker));
    test.Answer(start, done);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against the end of a run on another incarnation than the one that a proof is about.
TEST_CASE("another incarnation of the worker") {
  SingleWorkerFleet test;
  SECTION("shows that a run of the former one is gone, whose start is answered") {
    test.StartAndList();
    test.Report(test.Restart(kWorker));
    test.Wait(kSecond);
    CHECK(test.Waiting(test.task));
  }
  SECTION("shows so when its list is the first that is heard of it") {
    test.StartAndList();
    test.Restart(kWorker);
    test.Wait(3 * kSecond);
    CHECK(test.Waiting(test.task));
    CHECK(test.state.FindWorker(kWorker)->record.incarnation_ms == test.worker().incarnation_ms);
  }
  SECTION("may still carry out a copy of a start that is unanswered") {
    test.Answer(test.LoseFirstStart(), OrderOutcome::kUnknown);
    test.Report(test.Restart(kWorker));
    test.Wait(2 * kSecond);
    CHECK(test.Assigned(test.task));
    SECTION("and then runs it as the run that counts") {
      test.ListAsRunning();
      test.Wait(kSecond);
      CHECK(test.Assigned(test.task));
      CHECK(test.reasons.empty());
    }
  }
  SECTION("is not believed when an older report of the former one comes late") {
    test.StartAndList();
    WorkerIncarnation previous = test.worker();
    const jobs::HeartbeatCall late = test.MakeReport(previous);
    test.Report(test.Restart(kWorker));
    const std::int64_t born_ms = test.worker().incarnation_ms;
    CHECK_FALSE(test.Deliver(late));
    CHECK(test.state.FindWorker(kWorker)->record.incarnation_ms == born_ms);
  }
}

// Guards against an answer of another worker at an address that the worker no longer has.
TEST_CASE("another worker at the address") {
  SingleWorkerFleet test;
  SECTION("shows that the worker is gone, and its runs") {
    test.StartAndList();
    test.Silence();
    test.Answer(test.NextLeaseRenewal(), OrderOutcome::kOtherInstance);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "replaced");
  }
  SECTION("says nothing about a newer incarnation than the one that the call was for") {
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
    SECTION("but shows that this copy of the start was not carried out") {
      CHECK(test.Waiting(test.second_task));
    }
  }
}

// Guards against runs that are given up because of a worker that is not newer, or not on the VM.
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
  SECTION("shows that the former worker and its runs are gone") {
    test.Report(other);
    CHECK(test.Waiting(test.task));
    CHECK(test.LastReason() == "succeeded");
    SECTION("also when a report of the former one comes late: it gets no more tasks") {
      test.Report(test.worker());
      CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
    }
  }
  SECTION("shows nothing when it is older: its report was held up") {
    other.incarnation_ms = test.worker().incarnation_ms - 1;
    test.Report(other);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
  SECTION("shows nothing when it is on another VM, or says none") {
    other.vm = "vm-2";
    test.Report(other);
    other.id = "worker-3";
    other.vm = "";
    test.Report(other);
    test.Wait(kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against runs that are given up although nothing but a word about the worker was heard: the
// farewell may be of an incarnation of before, the answer about an order that was done before.
TEST_CASE("a worker that is probably gone") {
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
    test.fleet.ExpectVmDown(test.worker().vm, test.now, test.out);  // an answer about its VM
  }
  CHECK(test.Assigned(test.task));
  CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
  SECTION("gets no tasks though a report of it comes: it may have been held up") {
    test.Report(test.worker());
    CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
    CHECK(test.Assigned(test.task));
  }
  SECTION("gets no tasks though it answers an order of before") {
    test.Wait(10 * kMillisecond);
    test.Answer(earlier_renewal, earlier_lists);
    CHECK_FALSE(test.fleet.IsUsable(kWorker, test.now));
    CHECK(test.Assigned(test.task));
  }
  SECTION("gets no renewal, so that its runs end with their leases") {
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
  SECTION("stays when it answers an order that was given since") {
    test.Answer(earlier_renewal, earlier_lists);
    test.silent_workers.clear();
    test.Wait(10 * kSecond);
    CHECK(test.Assigned(test.task));
    CHECK(test.fleet.IsUsable(kWorker, test.now));
    CHECK(test.reasons.empty());
  }
  SECTION("is gone with its runs when a newer one reports from its VM") {
    test.Wait(kSecond);
    WorkerIncarnation next{.id = "worker-2",
                           .incarnation_ms = test.Wall(),
                           .vm = "vm-1",
                           .address = "worker-2:1",
                           .clock_set_at = test.now,
                           .initial_clock_ms = 1};
    test.Report(next);
    CHECK(test.Waiting(test.task));
  }
  SECTION("is not forgotten while a run of it counts") {
    test.Wait(3 * kSecond);
    CHECK(test.Assigned(test.task));
    CHECK(test.state.FindWorker(kWorker) != nullptr);
  }
}

// Guards against a lease that is believed to have run out before it has on the worker's clock.
TEST_CASE("a lapsed lease") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Wait(kSecond);
  /// Until the run is given up.
  const auto wait_for_expiry = [&test] {
    const Micros from = test.now;
    while (test.Assigned(test.task) && test.now < from + 40 * kSecond) test.Wait(10 * kMillisecond);
    return test.now - from;
  };
  SECTION("ends its runs, at the slowest clock") {
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
  SECTION("still counts while the end of a clock that is 2 percent slow is not reached") {
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
  SECTION("is the latest one that any call carried, a start too") {
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
  SECTION("is not told by a report that was held up") {
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
  SECTION("of a former leader counts as given just before the present one began") {
    test.Silence();
    test.ChangeLeader();
    test.Report(test.worker());
    const std::int64_t until_ms = test.worker().ClockAt(test.now) + 4'000;
    wait_for_expiry();
    CHECK(test.worker().ClockAt(test.now) >= until_ms);
  }
  SECTION("of a former leader is not counted from a report that was held up") {
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
    // An order for its predecessor, whose clock showed more, may have given it any lease.
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

#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "tests/manual_worker_fleet.h"

// Tests the restart of a worker under the same id, and late answers of its previous incarnation.
namespace godwitpaddle::testing {
namespace {

using jobs::EndKind;
using jobs::RenewLeaseOrder;

using jobs::OrderEffect;
using jobs::OrderOutcome;
using jobs::StopOrder;

// Guards against a run that counts as stopped although the stop reached only the previous
// incarnation of its worker.
TEST_CASE("a run that was stopped by the previous incarnation") {
  SingleWorkerFleet test;
  test.Answer(test.LoseFirstStart(), OrderOutcome::kUnknown);
  test.fleet.Stop(test.task, test.now, test.out);
  test.ProcessPending();
  const OrderEffect stop = test.Take<StopOrder>(kWorker);
  SECTION("still counts as running: the current one may carry out a copy of its start") {
    const jobs::OrderReply stopped = test.MakeReply(test.worker(), OrderOutcome::kDone);
    const bool restart_first = GENERATE(true, false);
    CAPTURE(restart_first);
    if (restart_first) test.Report(test.Restart(kWorker));
    test.Answer(stop, stopped);
    if (!restart_first) test.Report(test.Restart(kWorker));
    test.Wait(2 * kSecond);
    CHECK(test.Assigned(test.task));
    SECTION("until the current one has answered a stop") {
      test.AnswerStops(OrderOutcome::kDone);
      test.Wait(2 * kSecond);
      CHECK(test.Waiting(test.task));
    }
  }
}

// Guards against a copy of a start that the next incarnation carries out after the leader has
// abandoned the run.
TEST_CASE("another incarnation may carry out an unanswered copy of a start") {
  SingleWorkerFleet test;
  SECTION("until it has answered a stop of the run, which the fleet sends by itself") {
    test.Answer(test.LoseFirstStart(), OrderOutcome::kUnknown);
    test.Report(test.Restart(kWorker));
    test.Wait(2 * kSecond);
    CHECK(test.Assigned(test.task));
    REQUIRE(test.Pending<StopOrder>(kWorker) > 0);
    test.AnswerStops(OrderOutcome::kDone);
    test.Wait(3 * kSecond);
    CHECK(test.Waiting(test.task));
  }
  SECTION("although the previous one answered the second copy") {
    test.Answer(test.LoseFirstStart(), OrderOutcome::kDone);
    test.ListAsRunning();
    test.Wait(200 * kMillisecond);
    test.Report(test.Restart(kWorker));
    test.Wait(2 * kSecond);
    CHECK(test.Assigned(test.task));
  }
}

// Guards against a task that stays assigned for good, beside free room: the end that its worker had
// listed reached the log after the record of the next incarnation, and was rejected.
TEST_CASE("an end that is rejected because its incarnation has been replaced frees the task") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect renewal = test.NextLeaseRenewal();
  test.ListAsEnded(GENERATE(EndKind::kDone, EndKind::kFailed, EndKind::kStopped));
  const jobs::OrderReply lists = test.MakeLists(test.worker());
  WorkerIncarnation& current = test.Restart(kWorker);
  // Both are proposed before either is applied.
  test.fleet.OnHeartbeat(test.MakeReport(current), test.now);
  test.fleet.OnReply({.token = renewal.token, .reply = lists}, test.now, test.Wall(), test.out);
  test.ProcessPending();
  REQUIRE(test.state.FindWorker(kWorker)->record.incarnation_ms == current.incarnation_ms);
  REQUIRE(test.Assigned(test.task));
  test.silent_workers.clear();
  test.Wait(2 * kSecond);
  CHECK(test.Waiting(test.task));
}

// Guards against starts on a new incarnation whose kind and service may differ from those recorded
// for the previous one.
TEST_CASE("an incarnation that is known only from its run lists gets no tasks") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect renewal = test.NextLeaseRenewal();
  WorkerIncarnation& current = test.Restart(kWorker);
  test.Answer(renewal, test.MakeLists(current));
  REQUIRE(test.state.FindWorker(kWorker)->record.incarnation_ms == current.incarnation_ms);
  test.silent_workers.clear();
  test.Wait(kSecond);
  CHECK(test.fleet.UsableWorkers(test.now).empty());
  SECTION("until it sends a heartbeat") {
    test.Report(current);
    test.Wait(kSecond);
    CHECK(test.fleet.UsableWorkers(test.now).size() == 1);
  }
}

// Guards against runs that are abandoned because another worker answers at an address that their
// worker no longer has.
TEST_CASE("another worker at a previous address") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect renewal = test.NextLeaseRenewal();
  test.worker().address = "elsewhere:1";
  test.Report(test.worker());
  REQUIRE(test.state.FindWorker(kWorker)->record.address == "elsewhere:1");
  test.Answer(renewal, OrderOutcome::kOtherInstance);
  CHECK(test.Assigned(test.task));
}

// Guards against a lease that counts as expired by the clock of the previous incarnation.
TEST_CASE("a lease end on the clock of the previous incarnation") {
  SingleWorkerFleet test;
  test.Answer(test.AssignAndTakeStart(), OrderOutcome::kUnknown);
  test.Silence();
  if (test.Pending<RenewLeaseOrder>(kWorker) > 0) test.Take<RenewLeaseOrder>(kWorker);
  const OrderEffect renewal = test.NextLeaseRenewal();
  test.Wait(500 * kMillisecond);
  const Micros restarted = test.now;
  WorkerIncarnation& current = test.Restart(kWorker);
  SECTION("proves nothing about the current one, known from a heartbeat") { test.Report(current); }
  SECTION("proves nothing about the current one, known from its run lists") {
    test.Answer(renewal, test.MakeLists(current));
  }
  REQUIRE(test.state.FindWorker(kWorker)->record.incarnation_ms == current.incarnation_ms);
  // A copy of the start that arrives now would give the current incarnation the longest lease.
  while (test.Assigned(test.task) && test.now < restarted + 40 * kSecond) {
    test.Wait(100 * kMillisecond);
  }
  CHECK(test.LastReason() == "lapsed");
  CHECK(test.now >= restarted + 10 * kSecond);
}

// Guards against an end that the next incarnation discards before the leader has read it, because
// an acknowledgement of the previous incarnation's ends reached it: its task ran again.
TEST_CASE("an acknowledgement of ends") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect renewal = test.NextLeaseRenewal();
  test.ListAsEnded(EndKind::kDone);
  test.Answer(renewal, test.MakeLists(test.worker()));
  const OrderEffect acknowledgement = test.NextLeaseRenewal();
  REQUIRE(std::get<RenewLeaseOrder>(acknowledgement.order).acknowledged_ends == 1);
  SECTION("may be sent only on a connection to the incarnation that listed them") {
    CHECK(acknowledgement.newest_connection == test.ConnectionTo(test.worker()));
  }
  SECTION("is left out once that connection has closed, and the worker stays usable") {
    test.Answer(acknowledgement, OrderOutcome::kNotSent);
    CHECK(test.fleet.UsableWorkers(test.now).size() == 1);
    const OrderEffect next = test.NextLeaseRenewal();
    CHECK(std::get<RenewLeaseOrder>(next.order).acknowledged_ends == 0);
    CHECK(next.newest_connection == 0);
    SECTION("until the incarnation has sent its lists on another one") {
      jobs::OrderReply lists = test.MakeLists(test.worker());
      ++lists.connection;
      test.Answer(next, lists);
      const OrderEffect last = test.NextLeaseRenewal();
      CHECK(std::get<RenewLeaseOrder>(last.order).acknowledged_ends == 1);
      CHECK(last.newest_connection == lists.connection);
    }
  }
}

// Guards against a job that fails before its attempts are used up, because a failed end counts
// again when its worker was removed and lists the end once more.
TEST_CASE("a failed end that is listed again after its worker was removed") {
  SingleWorkerFleet test;
  test.StartAndList();
  test.Silence();
  const OrderEffect renewal = test.NextLeaseRenewal();
  test.ListAsEnded(EndKind::kFailed);
  test.Answer(renewal, test.MakeLists(test.worker()));
  REQUIRE(test.state.FindTask(test.task)->failed_runs == 1);
  test.fleet.ExpectWorkerDown(kWorker, test.now);  // sent by an earlier incarnation
  for (int i = 0; i < 40 && test.state.FindWorker(kWorker) != nullptr; ++i) {
    test.Wait(100 * kMillisecond);
    if (test.Pending<RenewLeaseOrder>(kWorker) > 0) {
      test.Answer(test.Take<RenewLeaseOrder>(kWorker), OrderOutcome::kUnknown);
    }
  }
  REQUIRE(test.state.FindWorker(kWorker) == nullptr);
  test.silent_workers.clear();
  test.Report(test.worker());
  test.Wait(kSecond);
  REQUIRE(test.worker().ended.empty());
  CHECK(test.state.FindTask(test.task)->failed_runs == 1);
}

}  // namespace
}  // namespace godwitpaddle::testing

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "tests/manual_worker_fleet.h"

// Tests what the crash of a worker says about the tasks that were assigned to it.
namespace godwitpaddle::testing {
namespace {

using jobs::OrderOutcome;
using jobs::StartOrder;

constexpr jobs::JobId kOrdinaryJob = ManualWorkerFleet::kJob;
constexpr jobs::JobId kLongRunningJob = 77;
constexpr std::array<const char*, 5> kWorkers = {"a", "b", "c", "d", "e"};

/// Workers that crash one after the other, each with one task.
struct CrashLab : ManualWorkerFleet {
  CrashLab() {
    jobs::Submit submit{.job = kLongRunningJob, .queue = "quotes", .wall_ms = Wall()};
    submit.spec.steps = {{.count = 1, .size = {.cpu = 1'000}, .long_running = true}};
    state.Apply(submit);
    for (const jobs::WorkerId id : kWorkers) AddWorker(id, "vm-" + id);
  }

  const jobs::Task& At(jobs::JobId job) const { return *state.FindTask({.job = job}); }

  /// The worker crashes; all that is sent to it until it is back stays without an answer.
  void Crash(const jobs::WorkerId& id) {
    silent_workers.push_back(id);
    workers.at(id).running.clear();
  }

  /// Assigns the task, unless its job has ended. Returns whether it is assigned.
  bool AssignIfOpen(jobs::JobId job, const jobs::WorkerId& id) {
    return JobActive(job) && Assign({.job = job}, id) == jobs::ApplyOutcome::kApplied;
  }

  /// A new worker reports from the VM of a crashed one.
  void ComeBack(const jobs::WorkerId& id) {
    AddWorker(id + "2", "vm-" + id);
    Wait(200 * kMillisecond);
  }

  /// The task is assigned to a worker that has crashed just before. Returns whether it was.
  bool LoseUnbegun(jobs::JobId job, const jobs::WorkerId& id) {
    Crash(id);
    if (!AssignIfOpen(job, id)) return false;
    Answer(Take<StartOrder>(id), OrderOutcome::kUnknown);
    ComeBack(id);
    REQUIRE(Waiting({.job = job}));
    return true;
  }

  /// The task begins on a worker, which crashes after this time. Returns whether it began.
  bool LoseBegun(jobs::JobId job, const jobs::WorkerId& id, Micros after, Micros away) {
    if (!AssignIfOpen(job, id)) return false;
    const jobs::OrderEffect start = Take<StartOrder>(id);
    workers.at(id).running = {{.task = {.job = job}, .run = At(job).run, .speed_percent = 100}};
    if (after == 0) Crash(id);
    Answer(start, OrderOutcome::kDone);
    Wait(after);
    Crash(id);
    Wait(away);
    ComeBack(id);
    REQUIRE(Waiting({.job = job}));
    return true;
  }

  bool JobActive(jobs::JobId job) const { return state.FindJob(job)->active(); }
};

}  // namespace

// Guards against a job that is shown as failed, or a long-running task that pauses, although no
// worker has crashed under it: its starts went to workers that had just crashed.
TEST_CASE("a run that no worker has begun does not count as crashed") {
  CrashLab lab;
  SECTION("so that its job goes on") {
    for (const char* id : kWorkers) CHECK(lab.LoseUnbegun(kOrdinaryJob, id));
    REQUIRE(lab.JobActive(kOrdinaryJob));
    lab.AddWorker("f", "vm-f");
    CHECK(lab.Assign(lab.FirstTask(), "f") == jobs::ApplyOutcome::kApplied);
  }
  SECTION("so that a long-running task does not pause") {
    for (const char* id : kWorkers) REQUIRE(lab.LoseUnbegun(kLongRunningJob, id));
    CHECK_FALSE(lab.At(kLongRunningJob).paused(lab.Wall()));
  }
  SECTION("nor do three of them and one crash") {
    REQUIRE(lab.LoseBegun(kOrdinaryJob, "a", 100 * kMillisecond, kSecond));
    for (const char* id : {"b", "c", "d"}) CHECK(lab.LoseUnbegun(kOrdinaryJob, id));
    REQUIRE(lab.JobActive(kOrdinaryJob));
    CHECK_FALSE(lab.At(kOrdinaryJob).given_up());
  }
  SECTION("but three of them and two crashes do") {
    for (const char* id : {"a", "b"}) {
      REQUIRE(lab.LoseBegun(kOrdinaryJob, id, 100 * kMillisecond, kSecond));
    }
    for (const char* id : {"c", "d", "e"}) REQUIRE(lab.LoseUnbegun(kOrdinaryJob, id));
    CHECK_FALSE(lab.JobActive(kOrdinaryJob));
  }
  SECTION("but three crashes do") {
    for (const char* id : {"a", "b", "c"}) {
      REQUIRE(lab.LoseBegun(kOrdinaryJob, id, 100 * kMillisecond, kSecond));
    }
    CHECK_FALSE(lab.JobActive(kOrdinaryJob));
  }
}

// Guards against a long-running task that counts as having worked while its worker was down.
TEST_CASE("the outage of a worker that restarts is no work of its task") {
  CrashLab lab;
  REQUIRE(lab.AssignIfOpen(kLongRunningJob, "a"));
  lab.workers.at("a").running = {{.task = {.job = kLongRunningJob}, .run = 1}};
  lab.Answer(lab.Take<StartOrder>("a"), OrderOutcome::kDone);
  lab.Wait(2'500 * kMillisecond);
  lab.Crash("a");
  lab.Wait(3'500 * kMillisecond);
  lab.Report(lab.Restart("a"));
  lab.silent_workers.clear();
  while (lab.Pending<jobs::RenewLeaseOrder>("a") > 0) {
    lab.Answer(lab.Take<jobs::RenewLeaseOrder>("a"), OrderOutcome::kUnknown);
  }
  lab.applied.clear();
  lab.Wait(kSecond);
  REQUIRE(lab.Waiting({.job = kLongRunningJob}));
  const auto loss = std::ranges::find_if(lab.applied, [](const jobs::Command& command) {
    const auto* end = std::get_if<jobs::RecordEnd>(&command);
    return end != nullptr && end->kind == jobs::EndKind::kLost;
  });
  REQUIRE(loss != lab.applied.end());
  CHECK_FALSE(std::get<jobs::RecordEnd>(*loss).had_worked);
}

// Guards against a long-running task that waits for twelve seconds and more, whatever room there
// is, because three of its workers have crashed for other reasons within five seconds each.
TEST_CASE("a long-running task whose workers have crashed three times in a row") {
  CrashLab lab;
  SECTION("each time right after its start pauses") {
    for (const char* id : {"a", "b", "c"}) REQUIRE(lab.LoseBegun(kLongRunningJob, id, 0, kSecond));
    CHECK(lab.At(kLongRunningJob).paused(lab.Wall()));
  }
  SECTION("each time under a leader that has not seen the start does not pause") {
    for (const char* id : {"a", "b", "c"}) {
      REQUIRE(lab.AssignIfOpen(kLongRunningJob, id));
      lab.Crash(id);
      lab.ChangeLeader();
      lab.Wait(kSecond);
      lab.ComeBack(id);
      lab.Wait(11 * kSecond);
      REQUIRE(lab.Waiting({.job = kLongRunningJob}));
    }
    CHECK_FALSE(lab.At(kLongRunningJob).paused(lab.Wall()));
  }
  SECTION("is watched closely until it has survived its next start") {
    REQUIRE(lab.LoseBegun(kLongRunningJob, "a", 0, kSecond));
    REQUIRE(lab.AssignIfOpen(kLongRunningJob, "b"));
    lab.workers.at("b").running = {
        {.task = {.job = kLongRunningJob}, .run = 2, .speed_percent = 100}};
    lab.Answer(lab.Take<StartOrder>("b"), OrderOutcome::kDone);
    lab.silent_workers.push_back("b");
    const auto wait_of_next_renewal = [&] {
      lab.Wait(100 * kMillisecond);
      const jobs::OrderEffect renewal = lab.Take<jobs::RenewLeaseOrder>("b");
      lab.Answer(renewal, lab.MakeLists(lab.workers.at("b")));
      return std::get<jobs::RenewLeaseOrder>(renewal.order).max_wait_ms;
    };
    CHECK(wait_of_next_renewal() == 0);
    wait_of_next_renewal();
    CHECK(wait_of_next_renewal() > 0);
  }
  SECTION("while it worked does not pause") {
    for (const char* id : {"a", "b", "c"}) {
      REQUIRE(lab.LoseBegun(kLongRunningJob, id, 2 * kSecond, kSecond));
    }
    CHECK(lab.At(kLongRunningJob).suspect());
    CHECK_FALSE(lab.At(kLongRunningJob).paused(lab.Wall()));
  }
}

}  // namespace godwitpaddle::testing

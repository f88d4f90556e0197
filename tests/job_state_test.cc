#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/state.h"

namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kWallMs = 1'700'000'000'000;

Configuration MakeConfiguration(std::uint64_t version) {
  Configuration configuration{.version = version};
  configuration.services = {{.name = "print"}};
  configuration.queues = {{.name = "quotes",
                           .host = "shop",
                           .prefix = "/q/",
                           .service = "print",
                           .attempts = 2,
                           .timeout_ms = 1'000}};
  configuration.teams = {{.name = "mill", .keys = {"k1"}}};
  return configuration;
}

Submit MakeSubmit(JobId job, std::vector<Step> steps) {
  return {.job = job,
          .queue = "quotes",
          .key = "k1",
          .wall_ms = kWallMs,
          .spec = {.steps = std::move(steps)}};
}

RecordWorker MakeWorker(const WorkerId& id, std::int64_t incarnation_ms, std::int64_t cpu) {
  return {.record = {.id = id,
                     .incarnation_ms = incarnation_ms,
                     .service = "print",
                     .capacity = {.cpu = cpu, .memory_mb = 1'000}}};
}

RecordEnd MakeEnd(const TaskId& task, std::uint32_t run, EndKind kind, std::uint64_t number) {
  return {.worker = "w1",
          .incarnation_ms = 1,
          .number = number,
          .task = task,
          .run = run,
          .kind = kind,
          .wall_ms = kWallMs};
}

State MakeState() {
  State state;
  state.Apply(Configure{.configuration = MakeConfiguration(1)});
  state.Apply(MakeWorker("w1", 1, 4'000));
  state.Apply(MakeWorker("w2", 1, 4'000));
  return state;
}

/// Returns a state with a job of one task whose first run, on w1, was abandoned.
State MakeStateWithAbandonedRun(const TaskId& task) {
  State state = MakeState();
  state.Apply(MakeSubmit(task.job, {{.count = 1, .size = {.cpu = 1'000}}}));
  state.Apply(Assign{.task = task, .run = 1, .worker = "w1"});
  state.Apply(MakeEnd(task, 1, EndKind::kLost, 0));
  return state;
}

// Guards against a second run of a task, and against more failed runs than the job's attempts, when
// a worker reports the end of a run that the leader had abandoned before.
TEST_CASE("the reported end of an abandoned run is applied") {
  const TaskId task{.job = 7};
  State state = MakeStateWithAbandonedRun(task);
  REQUIRE(state.FindTask(task)->phase == TaskPhase::kWaiting);
  SECTION("done: the waiting task is done and its job completed") {
    CHECK(state.Apply(MakeEnd(task, 1, EndKind::kDone, 1)) == ApplyOutcome::kApplied);
    CHECK(state.FindJob(7)->phase == JobPhase::kCompleted);
    CHECK(state.FindWorker("w1")->acknowledged_ends == 1);
    CHECK(state.Apply(Assign{.task = task, .run = 2, .worker = "w2"}) == ApplyOutcome::kRejected);
  }
  SECTION("done while another run is assigned: no further run follows") {
    state.Apply(Assign{.task = task, .run = 2, .worker = "w2"});
    state.Apply(MakeEnd(task, 1, EndKind::kDone, 1));
    CHECK(state.FindTask(task)->done_by_earlier_run);
    CHECK(state.FindJob(7)->phase == JobPhase::kRunning);
    SECTION("whose end completes the job, whatever its result") {
      RecordEnd end = MakeEnd(task, 2, EndKind::kStopped, 1);
      end.worker = "w2";
      state.Apply(end);
      CHECK(state.FindJob(7)->phase == JobPhase::kCompleted);
    }
  }
  SECTION("failed: it counts as one of the attempts") {
    state.Apply(MakeEnd(task, 1, EndKind::kFailed, 1));
    CHECK(state.FindTask(task)->failed_runs == 1);
    state.Apply(Assign{.task = task, .run = 2, .worker = "w1"});
    state.Apply(MakeEnd(task, 2, EndKind::kFailed, 2));
    CHECK(state.FindJob(7)->phase == JobPhase::kFailed);
  }
  SECTION(
      "done, for a task of a gang: another task in a newer run keeps its resources until its end") {
    const TaskId first{.job = 8};
    const TaskId second{.job = 8, .index = 1};
    state.Apply(MakeSubmit(8, {{.count = 2, .size = {.cpu = 1'000}, .gang = true}}));
    state.Apply(Assign{.task = first, .run = 1, .worker = "w1"});
    state.Apply(MakeEnd(first, 1, EndKind::kLost, 0));
    state.Apply(Assign{.task = second, .run = 2, .worker = "w2"});
    state.Apply(MakeEnd(first, 1, EndKind::kDone, 1));
    CHECK(state.FindWorker("w2")->used.cpu == 1'000);
    CHECK(state.FindTask(second)->done_by_earlier_run);
    CHECK(state.FindJob(8)->phase == JobPhase::kRunning);
    RecordEnd end = MakeEnd(second, 2, EndKind::kStopped, 1);
    end.worker = "w2";
    state.Apply(end);
    CHECK(state.FindJob(8)->phase == JobPhase::kCompleted);
  }
  SECTION("but not if the leader concludes an end once more, without a report") {
    state.Apply(MakeEnd(task, 1, EndKind::kDone, 0));
    CHECK(state.FindTask(task)->phase == TaskPhase::kWaiting);
  }
}

// Guards against an entry without a record, which a rejected record of an unknown worker left
// behind: each leader that found it ended.
TEST_CASE("a rejected record of an unknown worker leaves no entry") {
  State state = MakeState();
  for (const std::int64_t incarnation : {-1, 0}) {
    CHECK(state.Apply(MakeWorker("w9", incarnation, 4'000)) == ApplyOutcome::kRejected);
  }
  CHECK(state.Apply(MakeWorker("", 1, 4'000)) == ApplyOutcome::kRejected);
  CHECK(state.FindWorker("w9") == nullptr);
  CHECK(state.worker_count() == 2);
  CHECK(state.WorkersOnVm("").size() == 2);
}

// Guards against starts that violate a limit or a dependency because the leader's plan is wrong.
TEST_CASE("the replicated state rejects an invalid start") {
  State state = MakeState();
  state.Apply(MakeSubmit(1, {{.count = 3, .size = {.cpu = 1'000}, .max_per_worker = 1},
                             {.count = 1, .size = {.cpu = 1'000}, .depends_on = {0}}}));
  const TaskId first{.job = 1};
  REQUIRE(state.Apply(Assign{.task = first, .run = 1, .worker = "w1"}) == ApplyOutcome::kApplied);
  SECTION("of a task that is already assigned") {
    CHECK(state.Apply(Assign{.task = first, .run = 2, .worker = "w2"}) == ApplyOutcome::kRejected);
  }
  SECTION("beyond the step's limit per worker") {
    CHECK(state.Apply(Assign{.task = {.job = 1, .index = 1}, .run = 1, .worker = "w1"}) ==
          ApplyOutcome::kRejected);
  }
  SECTION("before the steps that the task depends on are done") {
    CHECK(state.Apply(Assign{.task = {.job = 1, .step = 1}, .run = 1, .worker = "w2"}) ==
          ApplyOutcome::kRejected);
  }
  SECTION("beyond the worker's capacity") {
    state.Apply(MakeSubmit(2, {{.count = 1, .size = {.cpu = 3'500}}}));
    CHECK(state.Apply(Assign{.task = {.job = 2}, .run = 1, .worker = "w1"}) ==
          ApplyOutcome::kRejected);
    CHECK(state.Apply(Assign{.task = {.job = 2}, .run = 1, .worker = "w2"}) ==
          ApplyOutcome::kApplied);
  }
  SECTION("of a task whose end was recorded as done") {
    state.Apply(MakeEnd(first, 1, EndKind::kDone, 1));
    CHECK(state.Apply(Assign{.task = first, .run = 2, .worker = "w2"}) == ApplyOutcome::kRejected);
  }
  SECTION("of a task of a cancelled job") {
    state.Apply(Cancel{.job = 1, .wall_ms = kWallMs});
    CHECK(state.Apply(Assign{.task = {.job = 1, .index = 1}, .run = 1, .worker = "w2"}) ==
          ApplyOutcome::kRejected);
  }
}

// Guards against jobs that end too early, too late or more than once.
TEST_CASE("recorded ends of runs update the task, its job and its worker") {
  State state = MakeState();
  state.Apply(MakeSubmit(1, {{.count = 1, .size = {.cpu = 1'000}, .checkpoints = true}}));
  const TaskId task{.job = 1};
  state.Apply(Assign{.task = task, .run = 1, .worker = "w1"});
  SECTION("done: the job is completed and the worker has no tasks") {
    state.Apply(MakeEnd(task, 1, EndKind::kDone, 1));
    CHECK(state.FindJob(1)->phase == JobPhase::kCompleted);
    CHECK(state.FindWorker("w1")->tasks.empty());
    CHECK(state.FindWorker("w1")->used.cpu == 0);
    CHECK(state.open_jobs().empty());
  }
  SECTION("failed: the task can run again until the job's attempts are used up") {
    state.Apply(MakeEnd(task, 1, EndKind::kFailed, 1));
    CHECK(state.FindJob(1)->phase == JobPhase::kRunning);
    state.Apply(Assign{.task = task, .run = 2, .worker = "w1"});
    state.Apply(MakeEnd(task, 2, EndKind::kFailed, 2));
    CHECK(state.FindJob(1)->phase == JobPhase::kFailed);
  }
  SECTION("lease expired: not a failed attempt, and the checkpoint is kept") {
    RecordEnd end = MakeEnd(task, 1, EndKind::kLeaseExpired, 1);
    end.checkpoint = "c1";
    state.Apply(end);
    CHECK(state.FindTask(task)->failed_runs == 0);
    CHECK(state.FindTask(task)->checkpoint == "c1");
  }
  SECTION("of an earlier run, or reported twice: the job does not change") {
    state.Apply(MakeEnd(task, 1, EndKind::kStopped, 1));
    state.Apply(Assign{.task = task, .run = 2, .worker = "w1"});
    CHECK(state.Apply(MakeEnd(task, 2, EndKind::kDone, 1)) == ApplyOutcome::kRejected);
    CHECK(state.Apply(MakeEnd(task, 1, EndKind::kDone, 2)) == ApplyOutcome::kApplied);
    CHECK(state.FindJob(1)->phase == JobPhase::kRunning);
  }
  SECTION("a new incarnation numbers its ends from 1 again") {
    state.Apply(MakeEnd(task, 1, EndKind::kStopped, 5));
    state.Apply(MakeWorker("w1", 2, 4'000));
    CHECK(state.FindWorker("w1")->acknowledged_ends == 0);
    CHECK(state.Apply(MakeWorker("w1", 1, 4'000)) == ApplyOutcome::kRejected);
  }
}

// Guards against a configuration that reverts to an older version and against the use of a removed
// key.
TEST_CASE("the replicated state checks configurations and keys") {
  State state = MakeState();
  SECTION("an older version is ignored") {
    state.Apply(Configure{.configuration = MakeConfiguration(9)});
    state.Apply(Configure{.configuration = MakeConfiguration(3)});
    CHECK(state.configuration().version == 9);
  }
  SECTION("the key is checked when the submission is applied") {
    Configuration changed_key = MakeConfiguration(2);
    changed_key.teams[0].keys = {"k2"};
    state.Apply(Configure{.configuration = changed_key});
    CHECK(state.Apply(MakeSubmit(1, {{.count = 1}})) == ApplyOutcome::kBadKey);
    CHECK(state.FindJob(1) == nullptr);
  }
  SECTION("CheckConfiguration names the error") {
    Configuration duplicate = MakeConfiguration(2);
    duplicate.queues.push_back(duplicate.queues[0]);
    CHECK_THAT(CheckConfiguration(duplicate), Catch::Contains("host and prefix"));
    Configuration unknown_service = MakeConfiguration(2);
    unknown_service.queues[0].service = "none";
    CHECK_THAT(CheckConfiguration(unknown_service), Catch::Contains("unknown service"));
    Configuration no_timeout = MakeConfiguration(2);
    no_timeout.queues[0].timeout_ms = 0;
    CHECK_THAT(CheckConfiguration(no_timeout), Catch::Contains("no timeout"));
  }
}

// Guards against a snapshot that restores a different state.
TEST_CASE("a snapshot restores the replicated state") {
  State state = MakeState();
  state.Apply(MakeSubmit(1, {{.count = 2, .size = {.cpu = 1'000}}}));
  state.Apply(Assign{.task = {.job = 1}, .run = 1, .worker = "w1"});
  state.Apply(StartWave{.wave = 4, .vms = {"v1"}, .max_down = 1});
  State restored;
  restored.Decode(state.Encode());
  CHECK(restored.Encode() == state.Encode());
  CHECK(restored.open_jobs() == state.open_jobs());
  CHECK(State::TeamOf(*restored.FindJob(1))->used.cpu == 1'000);
  SECTION("and the restored state applies further commands") {
    CHECK(restored.Apply(Assign{.task = {.job = 1}, .run = 2, .worker = "w2"}) ==
          ApplyOutcome::kRejected);
    CHECK(restored.Apply(MakeEnd({.job = 1}, 1, EndKind::kDone, 1)) == ApplyOutcome::kApplied);
  }
  SECTION("ended jobs are removed after the retention time") {
    restored.Apply(Cancel{.job = 1, .wall_ms = kWallMs});
    restored.Apply(MakeEnd({.job = 1}, 1, EndKind::kStopped, 1));
    Submit late = MakeSubmit(2, {{.count = 1}});
    late.wall_ms = kWallMs + 119'000;
    restored.Apply(late);
    CHECK(restored.FindJob(1) != nullptr);
    late.job = 3;
    late.wall_ms = kWallMs + 121'000;
    restored.Apply(late);
    CHECK(restored.FindJob(1) == nullptr);
  }
}

// Guards against an index of startable jobs that differs from the jobs: the leader plans from it,
// so that a job that is missing there never starts.
TEST_CASE("startable jobs are those with a waiting task whose dependencies are done") {
  State state;
  Configuration configuration{.version = 1};
  configuration.services = {{.name = "print"}};
  configuration.queues = {{.name = "quotes", .prefix = "/q/", .service = "print", .open = true}};
  state.Apply(Configure{.configuration = configuration});
  const Resources capacity{.cpu = 4'000, .memory_mb = 4'000};
  state.Apply(RecordWorker{
      .record = {.id = "w1", .incarnation_ms = 1, .service = "print", .capacity = capacity}});
  const JobSpec spec{.steps = {{.count = 2}, {.count = 1, .depends_on = {0}}}};
  state.Apply(Submit{.job = 7, .queue = "quotes", .spec = spec});
  const auto startable = [&state] {
    State copy;
    copy.Decode(state.Encode());
    CHECK(copy.startable_jobs().size() == state.startable_jobs().size());
    return state.startable_jobs().contains(7);
  };
  const auto assign = [&state](TaskId task, std::uint32_t run) {
    return state.Apply(Assign{.task = task, .run = run, .worker = "w1"});
  };
  const auto end = [&state](TaskId task, std::uint32_t run, EndKind kind) {
    state.Apply(
        RecordEnd{.worker = "w1", .incarnation_ms = 1, .task = task, .run = run, .kind = kind});
  };
  const TaskId first{.job = 7};
  const TaskId second{.job = 7, .index = 1};
  const TaskId last{.job = 7, .step = 1};
  CHECK(startable());
  assign(first, 1);
  CHECK(startable());
  assign(second, 1);
  CHECK_FALSE(startable());
  SECTION("a run that was lost makes its job startable again") {
    end(first, 1, EndKind::kLost);
    CHECK(startable());
  }
  SECTION("a step becomes startable with the end of the one before, until it is assigned") {
    end(first, 1, EndKind::kDone);
    CHECK_FALSE(startable());
    end(second, 1, EndKind::kDone);
    CHECK(startable());
    assign(last, 1);
    CHECK_FALSE(startable());
    end(last, 1, EndKind::kDone);
    CHECK(state.FindJob(7)->phase == JobPhase::kCompleted);
    CHECK_FALSE(startable());
  }
  SECTION("a cancelled job is not startable") {
    end(first, 1, EndKind::kLost);
    state.Apply(Cancel{.job = 7});
    CHECK_FALSE(startable());
  }
}

/// A task and two commands as versions wrote them that did not count crashes.
struct FormerTask {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t run = 0;
  std::uint32_t failed_runs = 0;
  WorkerId worker;
  std::string checkpoint;
  bool done_by_earlier_run = false;
  std::set<std::uint32_t> counted_failures;
  MSGPACK_DEFINE(phase, run, failed_runs, worker, checkpoint, done_by_earlier_run, counted_failures)
};
struct FormerRecordWorker {
  WorkerRecord record;
  MSGPACK_DEFINE(record)
};
struct FormerRecordEnd {
  WorkerId worker;
  std::int64_t incarnation_ms = 0;
  std::uint64_t number = 0;
  TaskId task;
  std::uint32_t run = 0;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
  std::int64_t wall_ms = 0;
  MSGPACK_DEFINE(worker, incarnation_ms, number, task, run, kind, checkpoint, wall_ms)
};

// Guards against a core node that cannot read its own disk after an update.
TEST_CASE("stored data of a version that did not count crashes is read") {
  SECTION("tasks in a snapshot") {
    const auto task = Decode<Task>(Encode(
        FormerTask{.phase = TaskPhase::kAssigned, .run = 3, .failed_runs = 1, .worker = "w1"}));
    CHECK(task.run == 3);
    CHECK(task.worker == "w1");
    CHECK_FALSE(task.suspect());
  }
  SECTION("commands in the log") {
    const auto record = Decode<RecordWorker>(
        Encode(FormerRecordWorker{.record = {.id = "w1", .service = "print"}}));
    CHECK(record.record.id == "w1");
    CHECK_FALSE(record.planned);
    const auto end = Decode<RecordEnd>(
        Encode(FormerRecordEnd{.worker = "w1", .run = 2, .kind = EndKind::kLost}));
    CHECK(end.kind == EndKind::kLost);
    CHECK_FALSE(end.had_worked);
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

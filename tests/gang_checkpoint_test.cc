#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "jobs/state.h"

// Tests the checkpoints with which the tasks of a gang start again.
namespace godwitpaddle::jobs {
namespace {

constexpr std::uint32_t kTasks = 4;

/// A job of one step that checkpoints, with a worker for each of its tasks.
struct GangJob {
  State state;

  explicit GangJob(bool gang) {
    Configuration configuration{.version = 1};
    configuration.services = {{.name = "print"}};
    configuration.queues = {
        {.name = "quotes", .host = "shop", .prefix = "/q/", .service = "print", .open = true}};
    state.Apply(Configure{.configuration = configuration});
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      state.Apply(RecordWorker{.record = {.id = WorkerOf(i),
                                          .incarnation_ms = 1,
                                          .service = "print",
                                          .capacity = {.cpu = 4'000}}});
    }
    Submit submit{.job = 1, .queue = "quotes"};
    submit.spec.steps = {
        {.count = kTasks, .size = {.cpu = 1'000}, .checkpoints = true, .gang = gang}};
    REQUIRE(state.Apply(submit) == ApplyOutcome::kApplied);
  }

  static WorkerId WorkerOf(std::uint32_t index) { return "w" + std::to_string(index); }
  void StartAll(std::uint32_t run) {
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      REQUIRE(
          state.Apply(Assign{.task = {.job = 1, .index = i}, .run = run, .worker = WorkerOf(i)}) ==
          ApplyOutcome::kApplied);
    }
  }
  /// One worker crashes. The other runs end, each with a checkpoint of its own.
  void CrashOne(std::uint32_t run) {
    state.Apply(RecordEnd{.worker = WorkerOf(0),
                          .incarnation_ms = 1,
                          .task = {.job = 1},
                          .run = run,
                          .kind = EndKind::kLost});
    for (std::uint32_t i = 1; i < kTasks; ++i) {
      state.Apply(RecordEnd{.worker = WorkerOf(i),
                            .incarnation_ms = 1,
                            .number = run,
                            .task = {.job = 1, .index = i},
                            .run = run,
                            .kind = EndKind::kGangBroken,
                            .checkpoint = CheckpointOf(i, run)});
    }
  }
  static std::string CheckpointOf(std::uint32_t index, std::uint32_t run) {
    return "run " + std::to_string(run) + " of task " + std::to_string(index);
  }
  const std::string& Checkpoint(std::uint32_t index) const {
    return state.FindTask({.job = 1, .index = index})->checkpoint;
  }
};

/// A snapshot as the version before shared checkpoints writes it.
using FormerSnapshot =
    std::tuple<Configuration, std::map<JobId, Job>, std::map<WorkerId, Worker>,
               std::map<WaveId, Wave>, std::map<VmId, RecordVmOrder>, std::int64_t>;

}  // namespace

// Guards against a gang that never runs again because its tasks start with different checkpoints.
TEST_CASE("a gang whose runs end with different checkpoints") {
  GangJob job(true);
  job.StartAll(1);
  job.CrashOne(1);
  const auto check = [](const GangJob& one, std::uint32_t run) {
    const std::string& first = one.Checkpoint(0);
    CHECK(first.starts_with("run " + std::to_string(run) + " "));
    for (std::uint32_t i = 1; i < kTasks; ++i) CHECK(one.Checkpoint(i) == first);
  };
  SECTION("starts again with one of them") { check(job, 1); }
  SECTION("starts with a newer one after the next crash") {
    job.StartAll(2);
    job.CrashOne(2);
    check(job, 2);
  }
  SECTION("starts again with one of them that an earlier version kept for each task") {
    auto former = Decode<FormerSnapshot>(job.state.Encode());
    std::vector<Task>& tasks = std::get<1>(former).at(1).steps[0].tasks;
    tasks[0].checkpoint.clear();
    for (std::uint32_t i = 1; i < kTasks; ++i) tasks[i].checkpoint = GangJob::CheckpointOf(i, 1);
    job.state.Decode(Encode(former));
    check(job, 1);
  }
  SECTION("starts again with one of them after a restart") {
    State restored;
    restored.Decode(job.state.Encode());
    job.state = std::move(restored);
    check(job, 1);
  }
}

// Guards against a task that resumes from the work of another one.
TEST_CASE("tasks that are no gang") {
  GangJob job(false);
  job.StartAll(1);
  job.CrashOne(1);
  SECTION("keep their own checkpoints") {
    CHECK(job.Checkpoint(0).empty());
    for (std::uint32_t i = 1; i < kTasks; ++i) {
      CHECK(job.Checkpoint(i) == GangJob::CheckpointOf(i, 1));
    }
  }
}

}  // namespace godwitpaddle::jobs

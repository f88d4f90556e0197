#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>

#include "jobs/state.h"

namespace godwitpaddle::jobs {
namespace {

Configuration MakeConfiguration(std::uint64_t version, bool swapped) {
  Configuration configuration{.version = version};
  configuration.services = {{.name = "a"}, {.name = "b"}};
  configuration.queues = {{.name = "qa",
                           .host = "h",
                           .prefix = "/a/",
                           .service = swapped ? "b" : "a",
                           .attempts = 2,
                           .timeout_ms = 1'000},
                          {.name = "qb",
                           .host = "h",
                           .prefix = "/b/",
                           .service = swapped ? "a" : "b",
                           .attempts = 2,
                           .timeout_ms = 1'000}};
  configuration.teams = {{.name = "mill", .keys = {"k1"}}};
  return configuration;
}

void CheckSame(const State& live, const State& decoded) {
  REQUIRE(live.open_jobs() == decoded.open_jobs());
  const auto queued_jobs = [](const State& state, const Queue& queue) {
    const KnownQueue* known = state.FindKnownQueue(queue);
    return known == nullptr ? 0 : known->queued_jobs;
  };
  for (const Queue& queue : MakeConfiguration(1, false).queues) {
    REQUIRE(queued_jobs(live, queue) == queued_jobs(decoded, queue));
    std::size_t queued = 0;
    for (const auto& [id, job] : live.jobs()) {
      queued += job.phase == JobPhase::kQueued && job.queue == queue.name ? 1 : 0;
    }
    REQUIRE(queued_jobs(live, queue) == queued);
  }
  for (const char* service : {"a", "b"}) {
    const auto sum = [&](const State& state) {
      const auto open = state.OpenCoreMs();
      const auto found = open.find(service);
      return found == open.end() ? 0.0 : found->second;
    };
    REQUIRE(std::abs(sum(live) - sum(decoded)) < 1e-3);
  }
  const auto ids = [](const std::map<JobId, const Job*>& jobs, const State& state) {
    std::set<JobId> result;
    for (const auto& [id, job] : jobs) {
      REQUIRE(job == state.FindJob(id));
      result.insert(id);
    }
    return result;
  };
  REQUIRE(ids(live.startable_jobs(), live) == ids(decoded.startable_jobs(), decoded));
  REQUIRE(ids(live.startable_long_running_jobs(), live) ==
          ids(decoded.startable_long_running_jobs(), decoded));
  REQUIRE(live.draining_workers() == decoded.draining_workers());
  for (const char* vm : {"", "v0", "v1", "v2"}) {
    REQUIRE(live.WorkersOnVm(vm) == decoded.WorkersOnVm(vm));
    REQUIRE((live.FindVmOrder(vm) == nullptr) == (decoded.FindVmOrder(vm) == nullptr));
  }
  REQUIRE(live.workers().size() == decoded.workers().size());
  for (const auto& [id, worker] : live.workers()) {
    const Worker& other = *decoded.FindWorker(id);
    REQUIRE(worker.long_running_tasks == other.long_running_tasks);
    REQUIRE(worker.long_running_used.cpu == other.long_running_used.cpu);
    REQUIRE(worker.used.cpu == other.used.cpu);
    std::uint32_t count = 0;
    for (const TaskId& task : worker.tasks) {
      count += live.FindJob(task.job)->spec.steps[task.step].long_running ? 1 : 0;
    }
    REQUIRE(worker.long_running_tasks == count);
  }
}

// Guards against indexes of the state that differ after a snapshot from those of a node that has
// applied each command.
TEST_CASE("a decoded state has the indexes of the state that was encoded") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 rng(seed);
    const auto below = [&](unsigned n) { return static_cast<std::uint32_t>(rng() % n); };
    State live(StateOptions{.ended_retention_ms = 300});
    State other(StateOptions{.ended_retention_ms = 300});
    std::uint64_t version = 1;
    std::map<std::string, std::uint64_t> numbers;
    const auto apply = [&](const Command& command) {
      REQUIRE(live.Apply(command) == other.Apply(command));
    };
    apply(Configure{.configuration = MakeConfiguration(version, false)});
    std::int64_t wall = 1'000'000;
    for (int i = 0; i < 3'000; ++i) {
      wall += below(10);
      const std::string worker = "w" + std::to_string(below(5));
      const JobId job = 1 + below(200) + static_cast<JobId>(i / 300) * 100;
      TaskId task{.job = job};
      const Job* known = live.FindJob(job);
      if (known != nullptr && !known->spec.steps.empty()) {
        task.occurrence = below(known->spec.occurrences());
        task.step = below(static_cast<unsigned>(known->spec.steps.size()));
        const auto& run = known->At(task.occurrence, task.step);
        task.index = below(static_cast<unsigned>(run.tasks.size()));
      }
      const Task* found = live.FindTask(task);
      const std::uint32_t run = found == nullptr ? 1 : found->run;
      switch (below(12)) {
        case 0:
        case 1: {
          Submit submit{
              .job = job, .queue = below(2) == 0 ? "qa" : "qb", .key = "k1", .wall_ms = wall};
          const auto steps = 1 + below(3);
          for (std::uint32_t s = 0; s < steps; ++s) {
            Step step{.count = 1 + below(3), .size = {.cpu = 100 + below(300)}};
            step.estimate_ms = 100 + below(1'000);
            step.long_running = below(5) == 0;
            step.gang = !step.long_running && below(4) == 0;
            if (s > 0 && below(2) == 0) step.depends_on = {s - 1};
            submit.spec.steps.push_back(step);
          }
          if (below(6) == 0) {
            submit.spec.repeat_count = 2;
            submit.spec.interval_ms = 100;
            submit.spec.first_due_ms = wall;
          }
          apply(submit);
          break;
        }
        case 2:
          if (below(3) == 0) apply(Cancel{.job = job, .wall_ms = wall});
          break;
        case 3:
        case 4:
        case 5:
        case 6:
          apply(Assign{.task = task, .run = run + 1, .worker = worker});
          break;
        case 7:
        case 8:
        case 9: {
          const Worker* at = found == nullptr || found->worker.empty()
                                 ? live.FindWorker(worker)
                                 : live.FindWorker(found->worker);
          if (at == nullptr) break;
          apply(RecordEnd{.worker = at->record.id,
                          .incarnation_ms = at->record.incarnation_ms,
                          .number = below(3) == 0 ? 0 : at->acknowledged_ends + 1,
                          .task = task,
                          .run = below(5) == 0 && run > 0 ? run - 1 : run,
                          .kind = static_cast<EndKind>(below(4)),
                          .wall_ms = wall});
          break;
        }
        case 10: {
          const Worker* at = live.FindWorker(worker);
          const std::int64_t born = at == nullptr ? 1 : at->record.incarnation_ms + below(2);
          if (at != nullptr && below(6) == 0) {
            apply(RemoveWorker{.worker = worker, .incarnation_ms = at->record.incarnation_ms});
            break;
          }
          apply(RecordWorker{
              .record = {.id = worker,
                         .incarnation_ms = born,
                         .service = below(2) == 0 ? "a" : "b",
                         .vm = below(4) == 0 ? std::string() : "v" + std::to_string(below(3)),
                         .capacity = {.cpu = 4'000, .memory_mb = 1'000},
                         .phase = below(4) == 0 ? WorkerPhase::kDraining : WorkerPhase::kReady}});
          break;
        }
        default:
          if (below(20) == 0) {
            apply(Configure{.configuration = MakeConfiguration(++version, below(2) == 0)});
          } else {
            apply(RecordVmOrder{.vm = "v" + std::to_string(below(3)),
                                .fencing_token = 1,
                                .wall_ms = wall + static_cast<std::int64_t>(below(2)) * 70'000});
          }
      }
      if (below(40) == 0) other.Decode(live.Encode());
      if (i % 10 == 0) CheckSame(live, other);
    }
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

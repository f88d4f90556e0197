// Measures the processor time of single scheduler operations.
#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

#include "decision/fair_queue.h"
#include "decision/pool_scheduler.h"

namespace godwitpaddle {
namespace {

constexpr int kSlots = 8;

SchedulerOptions Options(int teams) {
  SchedulerOptions options;
  options.pool = "p";
  options.config = {.service = "s", .slots_per_vm = kSlots, .max_queue = 1'000'000};
  options.queues["q"] = {.pool = "p", .idempotent = true};
  for (int i = 0; i < teams; ++i) {
    options.teams["t" + std::to_string(i)] = {.share = 1.0 + i % 7, .limit = 1'000'000};
  }
  return options;
}

PoolScheduler MakePool(int servers, int teams) {
  PoolScheduler scheduler(Options(teams));
  for (int i = 0; i < servers; ++i) {
    const std::string n = std::to_string(i);
    scheduler.Announce({.server = "s" + n,
                        .incarnation = "1",
                        .vm = "vm" + n,
                        .rack = "r" + std::to_string(i / 4),
                        .zone = "z" + std::to_string(i / 4 % 18),
                        .slots = kSlots,
                        .connections = 64,
                        .cores = 4,
                        .memory_mb = 8000},
                       kSecond);
  }
  return scheduler;
}

QueuedRequest Request(RequestId id, int team, Micros now) {
  return {.id = id,
          .queue = "q",
          .team = "t" + std::to_string(team),
          .size = {.cores = 0.1, .memory_mb = 100, .run_time = kSecond},
          .arrived = now,
          .deadline = now + Micros{24} * 60 * kMinute,
          .idempotent = true};
}

int NoCap(const TeamId&) { return 1'000'000; }

// Measures the admission, placement and completion of one request on a pool that is half full.
void PlacementCost(benchmark::State& state) {
  const int servers = static_cast<int>(state.range(0));
  PoolScheduler scheduler = MakePool(servers, 6);
  const Micros now = kSecond;
  std::deque<RequestId> running;
  RequestId next = 1;
  for (; next <= static_cast<RequestId>(servers) * kSlots / 2; ++next) {
    scheduler.Admit(Request(next, static_cast<int>(next % 6), now), now);
  }
  for (const Placement& placement : scheduler.Dispatch(NoCap, now)) running.push_back(placement.id);
  while (state.KeepRunning()) {
    scheduler.Admit(Request(next, static_cast<int>(next % 6), now), now);
    ++next;
    for (const Placement& placement : scheduler.Dispatch(NoCap, now)) {
      running.push_back(placement.id);
    }
    scheduler.Finish(running.front(), TaskEnd::kDone, now);
    running.pop_front();
  }
}
BENCHMARK(PlacementCost)->Arg(100)->Arg(2000);

// Measures one completion and one start on a full pool in which every team has queued requests.
void FairOrderCost(benchmark::State& state) {
  const int teams = static_cast<int>(state.range(0));
  PoolScheduler scheduler = MakePool(100, teams);
  Micros now = kSecond;
  std::deque<RequestId> running;
  RequestId next = 1;
  for (; next <= 800 + static_cast<RequestId>(teams) * 4; ++next) {
    scheduler.Admit(Request(next, static_cast<int>(next % teams), now), now);
  }
  for (const Placement& placement : scheduler.Dispatch(NoCap, now)) running.push_back(placement.id);
  while (state.KeepRunning()) {
    scheduler.Finish(running.front(), TaskEnd::kDone, now);
    running.pop_front();
    for (const Placement& placement : scheduler.Dispatch(NoCap, now)) {
      running.push_back(placement.id);
      scheduler.Admit(Request(next, static_cast<int>(next % teams), now), now);
      ++next;
    }
  }
}
BENCHMARK(FairOrderCost)->Arg(6)->Arg(430);

// Measures the cancellation of many queued requests at once; the rate counts requests.
void CancelWaveCost(benchmark::State& state) {
  const auto size = static_cast<RequestId>(state.range(0));
  RequestId next = 1;
  while (state.KeepRunning()) {
    state.PauseTiming();
    PoolScheduler scheduler = MakePool(1, 6);
    const RequestId first = next;
    for (; next < first + size; ++next) {
      scheduler.Admit(Request(next, static_cast<int>(next % 6), kSecond), kSecond);
    }
    state.ResumeTiming();
    for (RequestId id = first; id < next; ++id) benchmark::DoNotOptimize(scheduler.Cancel(id));
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(CancelWaveCost)->Arg(1000)->Arg(20000);

}  // namespace
}  // namespace godwitpaddle

BENCHMARK_MAIN();

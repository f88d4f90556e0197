#include "tests/long_running_watch.h"

#include <string>

namespace godwitpaddle::testing {
namespace {

constexpr Micros kPeriod = 100 * kMillisecond;
// Of the platform's rules.
constexpr Micros kMaxWait = 3 * kSecond;
constexpr Micros kAfterLastRun = 6 * kSecond;
constexpr Micros kFreeOfFaultsBefore = 4 * kSecond;

}  // namespace

void LongRunningWatch::RunFreeOfFaults(Micros time) {
  const Micros begun = cluster_.now();
  room_since_ = begun;
  while (cluster_.now() < begun + time && cluster_.violations.empty()) {
    cluster_.RunFor(kPeriod);
    Observe(cluster_.now() - begun);
  }
}

void LongRunningWatch::Observe(Micros free_of_faults) {
  const Micros now = cluster_.now();
  if (!IsRoomTwiceOver()) room_since_ = now;
  for (auto& [id, worker] : cluster_.workers()) {
    if (!worker.alive) continue;
    worker.Advance(now);
    for (const auto& [task, run] : worker.running()) {
      const auto watched = last_ran_.find(task);
      if (watched != last_ran_.end()) watched->second = now;
    }
  }
  if (free_of_faults < kFreeOfFaultsBefore + kMaxWait || now - room_since_ < kMaxWait) return;
  for (const auto& [task, last_ran] : last_ran_) {
    if (now - last_ran < kAfterLastRun + kMaxWait) continue;
    cluster_.AddViolation(jobs::FormatTask(task) + " has not run for " +
                          std::to_string((now - last_ran) / kMillisecond) +
                          " ms, with room for it and without a fault for " +
                          std::to_string(free_of_faults / kMillisecond) + " ms");
  }
}

bool LongRunningWatch::IsRoomTwiceOver() const {
  std::int64_t places = 0;
  for (const auto& [id, worker] : cluster_.workers()) {
    const jobs::WorkerRecord& record = worker.record();
    const bool serves = worker.alive && !worker.vm_down && !worker.departing &&
                        record.phase == jobs::WorkerPhase::kReady &&
                        record.service == kWatchedService;
    if (!serves) continue;
    std::int64_t free = record.capacity.cpu;
    for (const auto& [task, run] : worker.running()) free -= run.size.cpu;
    if (free > 0) places += free / kWatchedCpu;
  }
  return places >= 2;
}

}  // namespace godwitpaddle::testing

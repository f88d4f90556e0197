#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "jobs/near_place.h"
#include "jobs/plan_walk.h"

// The part of a plan that chooses between places near a step's data or group and others.
namespace godwitpaddle::jobs::detail {
namespace {

/// Returns how many tasks of the step have room on the worker.
std::size_t CountPlaces(const Step& step, const WorkerRoom& room) {
  Resources free = room.free;
  std::size_t places = 0;
  const std::size_t most = step.max_per_worker > 0 ? step.max_per_worker : step.count;
  while (places < most && step.footprint().FitsInto(free)) {
    free -= step.footprint();
    ++places;
  }
  return places;
}

}  // namespace

std::string PlanWalk::NearRack(const Candidate& candidate) const {
  const Step& step = candidate.Spec();
  if (input_.far_factor <= 1 || step.long_running) return {};
  if (!step.data_rack.empty()) return step.data_rack;
  return step.same_rack && step.count > 1 ? GroupRack(candidate) : std::string();
}

std::string PlanWalk::GroupRack(const Candidate& candidate) const {
  const Step& step = candidate.Spec();
  const auto& tasks = candidate.Run().tasks;
  std::set<std::string> racks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const WorkerId* id = unapplied_.WorkerOf(candidate.Task(index));
    if (tasks[index].phase == TaskPhase::kAssigned) id = &tasks[index].worker;
    const Worker* worker = id == nullptr ? nullptr : state_.FindWorker(*id);
    if (worker != nullptr) racks.insert(worker->record.rack());
  }
  if (!racks.empty()) return racks.size() == 1 ? *racks.begin() : std::string();
  std::map<std::string, std::size_t> places;
  for (const WorkerRoom& room : candidate.room->workers) {
    if (IsOpenFor(candidate, room)) places[room.worker->record.rack()] += CountPlaces(step, room);
  }
  const auto most =
      std::ranges::max_element(places, {}, [](const auto& entry) { return entry.second; });
  return most == places.end() ? std::string() : most->first;
}

bool PlanWalk::WaitsForRack(const Candidate& candidate, const std::string& rack) {
  const Step& step = candidate.Spec();
  std::size_t running = 0;  // short tasks on the rack, on workers large enough for this one
  for (const WorkerRoom& room : candidate.room->workers) {
    const WorkerRecord& record = room.worker->record;
    if (record.rack() != rack || !IsOpenFor(candidate, room)) continue;
    if (!step.footprint().FitsInto(record.capacity)) continue;
    running += room.worker->tasks.size() + room.starts - room.long_running_tasks;
  }
  const JobTimes times(*candidate.job, input_);
  const double run_ms = times.factor * static_cast<double>(step.estimate_ms);
  const TaskId first = candidate.Task(0);
  const auto known = near_waits_.find(first);
  const Micros since = known == near_waits_.end() ? input_.now : known->second.since;
  std::size_t& ahead = candidate.room->near_waits[rack];
  const bool waits =
      WaitPays({.far_factor = input_.far_factor,
                .run_ms = run_ms,
                .expected_ms = ExpectedWaitMs(ahead, running, run_ms),
                .waited_ms = static_cast<double>(input_.now - since) / kMillisecond,
                .left_ms = static_cast<double>(times.objective_ms - candidate.waited_ms),
                .job_is_idle = candidate.job->assigned == 0});
  if (!waits) return false;
  if (known == near_waits_.end()) ++near_counts_.waits;
  near_waits_[first] = {.since = since, .seen = input_.now};
  ahead += step.gang ? step.count : 1;
  waits_near_ = true;
  return true;
}

}  // namespace godwitpaddle::jobs::detail

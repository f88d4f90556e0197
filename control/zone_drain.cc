#include "control/zone_drain.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "control/availability.h"

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kTickPeriod = 200 * kMillisecond;

}  // namespace

void ZoneDrain::BeginTerm(Outbox& out) {
  reported_.clear();
  next_tick_ = 0;
  if (state_.evacuated_zones().empty()) return;
  for (const auto& [zone, since_ms] : state_.evacuated_zones()) {
    out.Log("zone_evacuated", {{"zone", zone}, {"since_ms", std::to_string(since_ms)}});
  }
}

void ZoneDrain::EndTerm(Outbox& out) { SetGauges(0, 0, out); }

void ZoneDrain::OnOrder(const ZoneOrder& order, Outbox& out) {
  next_tick_ = 0;
  reported_.erase(order.zone);
  const Load load = CountLoads()[order.zone];
  out.Log(order.evacuated ? "zone_evacuated" : "zone_taken_back",
          {{"zone", order.zone},
           {"workers", std::to_string(load.workers)},
           {"tasks", std::to_string(load.tasks)},
           {"long_running", std::to_string(load.long_running_tasks)}});
}

std::map<std::string, ZoneDrain::Load> ZoneDrain::CountLoads() const {
  std::map<std::string, Load> loads;
  for (const auto& [id, worker] : state_.workers()) {
    Load& load = loads[worker.record.zone];
    ++load.workers;
    load.tasks += worker.tasks.size();
    load.long_running_tasks += worker.long_running_tasks;
  }
  return loads;
}

void ZoneDrain::Tick(Micros now, WallMs wall, Outbox& out) {
  if (now < next_tick_) return;
  next_tick_ = now + kTickPeriod;
  if (state_.evacuated_zones().empty()) return SetGauges(0, 0, out);
  std::unordered_set<std::string_view> occupied = withheld_vms_();
  for (const auto& [id, worker] : state_.workers()) {
    const bool concerned = state_.IsEvacuated(worker.record.zone) && worker.long_running_tasks > 0;
    if (concerned) MoveTasks(worker, occupied, now, out);
  }
  std::size_t tasks = 0;
  std::map<std::string, Load> loads = CountLoads();
  for (const auto& [zone, since_ms] : state_.evacuated_zones()) {
    const Load& load = loads[zone];
    tasks += load.tasks;
    const auto [before, is_new] = reported_.try_emplace(zone, load);
    const bool emptied = load.tasks == 0 && (is_new || before->second.tasks > 0);
    before->second = load;
    if (!emptied) continue;
    out.Log("zone_empty", {{"zone", zone},
                           {"workers", std::to_string(load.workers)},
                           {"took_ms", std::to_string(wall - since_ms)}});
  }
  SetGauges(state_.evacuated_zones().size(), tasks, out);
}

void ZoneDrain::MoveTasks(const Worker& worker, std::unordered_set<std::string_view>& occupied,
                          Micros now, Outbox& out) {
  for (const TaskId& task : worker.tasks) {
    if (!MayMove(task)) continue;
    const Worker* target = FindRoom(task, occupied, now);
    if (target == nullptr) continue;
    occupied.insert(target->record.vm);
    out.Log(
        "task_leaves_zone",
        {{"task", FormatTask(task)}, {"zone", worker.record.zone}, {"worker", worker.record.id}});
    out.Count("tasks_moved_from_zones_total");
    fleet_.Stop(task, now, out);
  }
}

bool ZoneDrain::MayMove(const TaskId& task) const {
  const Job* job = state_.FindJob(task.job);
  const Step& step = job->spec.steps[task.step];
  if (!step.long_running || step.gang || !job->active()) return false;
  // One that does not run at full speed has just started, is being stopped, or its worker is
  // silent.
  if (!fleet_.RunsAtFullSpeed(task)) return false;
  const std::uint32_t limit = std::max(1U, step.max_unavailable);
  return CountUnavailableOthers(state_, fleet_, task) < limit;
}

const Worker* ZoneDrain::FindRoom(const TaskId& task,
                                  const std::unordered_set<std::string_view>& occupied,
                                  Micros now) const {
  const Job& job = *state_.FindJob(task.job);
  for (const UsableWorker& one : fleet_.UsableWorkers(State::QueueOf(job).service, now)) {
    if (occupied.contains(one.worker->record.vm)) continue;
    if (HasRoom(job, task, *one.worker)) return one.worker;
  }
  return nullptr;
}

void ZoneDrain::SetGauges(std::size_t zones, std::size_t tasks, Outbox& out) {
  const auto set = [&out](const char* name, std::size_t& shown, std::size_t value) {
    if (shown == value) return;
    out.Count(name, static_cast<double>(value) - static_cast<double>(shown));
    shown = value;
  };
  set("evacuated_zones", gauge_zones_, zones);
  set("evacuated_zone_tasks", gauge_tasks_, tasks);
}

}  // namespace godwitpaddle::jobs

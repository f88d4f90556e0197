#include "control/maintenance.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kTickPeriod = 50 * kMillisecond;
/// Tasks that end by themselves get this long before their VM is taken down.
constexpr Micros kFinishGrace = 1'500 * kMillisecond;
/// A VM that is not back after this many times the announced duration counts no longer as away.
constexpr int kAwayFactor = 4;
constexpr Micros kBusyRetry = 500 * kMillisecond;
/// A VM of a pool that is off is taken as back after the announced time and this.
constexpr Micros kParkedMargin = 500 * kMillisecond;
/// VMs that are emptied ahead, so that the next one is ready when one comes back.
constexpr std::size_t kEmptiedAhead = 1;

}  // namespace

void Maintenance::BeginTerm(Micros now) {
  work_.clear();
  retry_at_.clear();
  FindWorkers();
  // VMs whose maintenance an earlier leader began may still be away.
  for (const auto& [id, wave] : state_.waves()) {
    for (const VmId& vm : wave.begun) {
      if (WorkerOn(vm) == nullptr) {
        work_[vm] = {.wave = id, .step = VmStep::kAway, .since = now};
        desk_.Claim(vm);
      }
    }
  }
}

void Maintenance::FindWorkers() {
  workers_.clear();
  for (const auto& [id, worker] : state_.workers()) {
    const Worker*& newest = workers_[worker.record.vm];
    if (newest == nullptr || worker.record.born_ms > newest->record.born_ms) newest = &worker;
  }
}

const Worker* Maintenance::WorkerOn(const VmId& vm) const {
  const auto found = workers_.find(vm);
  return found == workers_.end() ? nullptr : found->second;
}

bool Maintenance::IsCordoned(const Worker& worker) const {
  return !worker.record.vm.empty() && work_.contains(worker.record.vm) &&
         work_.at(worker.record.vm).step != VmStep::kAway;
}

void Maintenance::Tick(Micros now, Outbox& out) {
  if (now < next_tick_) return;
  next_tick_ = now + kTickPeriod;
  for (const auto& [id, worker] : state_.workers()) {
    if (worker.record.phase == WorkerPhase::kDraining) MoveLastingTasks(id, now, out);
  }
  const bool idle = work_.empty() && std::ranges::all_of(state_.waves(), [](const auto& entry) {
                      return entry.second.completed();
                    });
  if (idle || !desk_.Open(now)) return;
  FindWorkers();
  for (const auto& [id, wave] : state_.waves()) {
    if (!wave.completed()) TickWave(id, wave, now);
  }
  for (auto next = work_.begin(); next != work_.end();) {
    auto current = next++;
    TickVm(current->first, current->second, now, out);
    if (current->second.step == VmStep::kAway && IsBack(current->first, current->second, now)) {
      desk_.Release(current->first);
      work_.erase(current);
    }
  }
}

void Maintenance::TickWave(WaveId id, const Wave& wave, Micros now) {
  const auto in_work = static_cast<std::size_t>(
      std::ranges::count_if(work_, [&](const auto& entry) { return entry.second.wave == id; }));
  if (in_work >= wave.max_down + kEmptiedAhead) return;
  // The VM with the least to lose first.
  std::vector<std::tuple<std::size_t, VmId>> left;
  for (const VmId& vm : wave.vms) {
    if (wave.begun.contains(vm) || work_.contains(vm) || desk_.IsClaimed(vm)) continue;
    const auto retry = retry_at_.find(vm);
    if (retry != retry_at_.end() && now < retry->second) continue;
    const Worker* worker = WorkerOn(vm);
    left.emplace_back(worker == nullptr ? 0 : worker->tasks.size(), vm);
  }
  std::ranges::sort(left);
  for (std::size_t i = 0; i < left.size() && in_work + i < wave.max_down + kEmptiedAhead; ++i) {
    Begin(id, std::get<1>(left[i]), now);
  }
}

void Maintenance::Begin(WaveId id, const VmId& vm, Micros now) {
  const Worker* worker = WorkerOn(vm);
  desk_.Claim(vm);
  work_[vm] = {.wave = id, .worker = worker == nullptr ? "" : worker->record.id, .since = now};
}

bool Maintenance::MayTakeAway(const TaskId& task) const {
  const Job& job = *state_.FindJob(task.job);
  const Step& step = job.spec.steps[task.step];
  if (step.max_unavailable == 0 || !job.active()) return true;
  const StepRun& run = job.At(task.occurrence, task.step);
  std::uint32_t away = 0;
  for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
    const TaskId other{task.job, task.occurrence, task.step, index};
    if (index != task.index && !fleet_.AtWork(other)) ++away;
  }
  return away < step.max_unavailable;
}

void Maintenance::MoveLastingTasks(const WorkerId& id, Micros now, Outbox& out) {
  const Worker* worker = state_.FindWorker(id);
  if (worker == nullptr) return;
  for (const TaskId& task : worker->tasks) {
    const Step& step = state_.FindJob(task.job)->spec.steps[task.step];
    if (step.lasting && MayTakeAway(task)) fleet_.Stop(task, now, out);
  }
}

bool Maintenance::IsEmpty(const VmWork& work) const {
  const Worker* worker = state_.FindWorker(work.worker);
  return worker == nullptr || worker->tasks.empty();
}

/// A VM that is away is back when a worker that is newer than its maintenance reports from it; one
/// of a pool that is off has none, and time tells.
bool Maintenance::IsBack(const VmId& vm, const VmWork& work, Micros now) const {
  // A worker that stays: the order was done before, for an earlier one.
  if (fleet_.AnsweredSince(work.worker, work.since)) return true;
  const Micros away = now - work.since;
  const Micros announced = options_.maintenance_ms * kMillisecond;
  if (away < announced) return false;
  if (work.worker.empty() && away > announced + kParkedMargin) return true;
  if (away > kAwayFactor * announced) return true;
  const Worker* worker = WorkerOn(vm);
  return worker != nullptr && worker->record.id != work.worker &&
         worker->record.born_ms > work.since_wall;
}

void Maintenance::TickVm(const VmId& vm, VmWork& work, Micros now, Outbox& out) {
  if (work.step != VmStep::kEmptying) return;
  MoveLastingTasks(work.worker, now, out);
  const Worker* worker = state_.FindWorker(work.worker);
  const bool lasting = worker != nullptr && std::ranges::any_of(worker->tasks, [&](auto& task) {
                         return state_.FindJob(task.job)->spec.steps[task.step].lasting;
                       });
  if (!IsEmpty(work) && (lasting || now - work.since < kFinishGrace)) return;
  const Wave& wave = state_.waves().at(work.wave);
  const auto down = std::ranges::count_if(work_, [&](const auto& entry) {
    return entry.second.wave == work.wave && entry.second.step != VmStep::kEmptying;
  });
  if (down >= static_cast<std::ptrdiff_t>(wave.max_down)) return;
  work.step = VmStep::kCalling;
  desk_.Order(vm, MaintainVm{.vm = vm, .wave = work.wave},
              [this, vm](VmOutcome outcome, Micros then, WallMs wall, Outbox& reply) {
                OnOutcome(vm, outcome, then, wall, reply);
              });
}

void Maintenance::OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, WallMs wall,
                            Outbox& out) {
  const auto found = work_.find(vm);
  if (found == work_.end()) return;
  VmWork& work = found->second;
  if (outcome == VmOutcome::kDone) {
    propose_(NoteMaintained{.wave = work.wave, .vm = vm});
    fleet_.ExpectGone(work.worker, now, out);
    work.step = VmStep::kAway;
    work.since = now;
    work.since_wall = wall;
  } else if (outcome == VmOutcome::kNoSuchVm || outcome == VmOutcome::kNotInWave) {
    propose_(NoteMaintained{.wave = work.wave, .vm = vm});
    desk_.Release(vm);
    work_.erase(found);
  } else {
    desk_.Release(vm);
    work_.erase(found);  // busy: another VM may come first
    retry_at_[vm] = now + kBusyRetry;
  }
}

}  // namespace godwitpaddle::jobs

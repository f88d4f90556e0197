#include "control/maintenance.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "control/availability.h"

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kTickPeriod = 50 * kMillisecond;
/// Tasks that are not long-running get this time to end before their VM is taken down.
constexpr Micros kFinishGrace = 1'500 * kMillisecond;
/// A VM that has been down for longer than this multiple of `maintenance_ms` counts as back, even
/// if its worker has not answered.
constexpr int kMaxDowntimeFactor = 4;
constexpr Micros kBusyRetry = 500 * kMillisecond;
/// A VM of a standby pool has no worker that could answer: it counts as back after `maintenance_ms`
/// plus this margin.
constexpr Micros kStandbyMargin = 500 * kMillisecond;
/// Number of VMs of a wave that are drained in addition to the `max_down` that may be down, so that
/// the next VM can be taken down as soon as one comes back.
constexpr std::size_t kMaxDrainedAhead = 1;

}  // namespace

void Maintenance::BeginTerm(Micros now) {
  active_.clear();
  retry_at_.clear();
  // A VM whose maintenance an earlier leader started may still be down, although the state still
  // lists the worker that ran on it.
  for (const auto& [id, wave] : state_.waves()) {
    for (const VmId& vm : wave.started_vms) {
      if (!wave.completed() || WorkerOn(vm) == nullptr) {
        active_[vm] = {.wave = id, .step = VmStep::kDown, .since = now};
        orders_.Claim(vm);
      }
    }
  }
}

const Worker* Maintenance::WorkerOn(const VmId& vm) const {
  const Worker* newest = nullptr;
  for (const WorkerId& id : state_.WorkersOnVm(vm)) {
    const Worker* one = state_.FindWorker(id);
    if (newest == nullptr || one->record.incarnation_ms > newest->record.incarnation_ms) {
      newest = one;
    }
  }
  return newest;
}

void Maintenance::AddCordonedVms(std::unordered_set<std::string_view>& vms) const {
  for (const auto& [vm, work] : active_) {
    if (work.step != VmStep::kDown) vms.insert(vm);
  }
}

bool Maintenance::IsCordoned(const Worker& worker) const {
  if (active_.empty() || worker.record.vm.empty()) return false;
  const auto work = active_.find(worker.record.vm);
  return work != active_.end() && work->second.step != VmStep::kDown;
}

void Maintenance::Tick(Micros now, Outbox& out) {
  if (!IsDue(now)) return;
  next_tick_ = now + kTickPeriod;
  for (const WorkerId& id : state_.draining_workers()) MoveLongRunningTasks(id, now, out);
  const bool idle = active_.empty() && std::ranges::all_of(state_.waves(), [](const auto& entry) {
                      return entry.second.completed();
                    });
  if (idle) return;
  ReleaseReturned(now);
  if (!orders_.TakeoverElapsed(now)) return;
  for (const auto& [id, wave] : state_.waves()) {
    if (!wave.completed()) TickWave(id, wave, now);
  }
  CountDown();
  for (auto& [vm, work] : active_) TickVm(vm, work, now, out);
}

void Maintenance::CountDown() {
  down_.clear();
  for (const auto& [vm, work] : active_) {
    if (work.step != VmStep::kDraining) ++down_[work.wave];
  }
}

void Maintenance::TickWave(WaveId id, const Wave& wave, Micros now) {
  const auto active = static_cast<std::size_t>(
      std::ranges::count_if(active_, [&](const auto& entry) { return entry.second.wave == id; }));
  if (active >= wave.max_down + kMaxDrainedAhead) return;
  // VMs with the fewest tasks first.
  std::vector<std::tuple<std::size_t, VmId>> remaining;
  for (const VmId& vm : wave.vms) {
    if (wave.started_vms.contains(vm) || active_.contains(vm) || orders_.IsClaimed(vm)) continue;
    const auto retry = retry_at_.find(vm);
    if (retry != retry_at_.end() && now < retry->second) continue;
    const Worker* worker = WorkerOn(vm);
    remaining.emplace_back(worker == nullptr ? 0 : worker->tasks.size(), vm);
  }
  std::ranges::sort(remaining);
  for (std::size_t i = 0; i < remaining.size() && active + i < wave.max_down + kMaxDrainedAhead;
       ++i) {
    BeginVm(id, std::get<1>(remaining[i]), now);
  }
}

void Maintenance::BeginVm(WaveId id, const VmId& vm, Micros now) {
  const Worker* worker = WorkerOn(vm);
  orders_.Claim(vm);
  active_[vm] = {.wave = id, .worker = worker == nullptr ? "" : worker->record.id, .since = now};
}

void Maintenance::MoveLongRunningTasks(const WorkerId& id, Micros now, Outbox& out) {
  const Worker* worker = state_.FindWorker(id);
  if (worker == nullptr) return;
  for (const TaskId& task : worker->tasks) {
    const Step& step = state_.FindJob(task.job)->spec.steps[task.step];
    const bool may_stop = step.long_running && MayInterrupt(state_, fleet_, task);
    if (may_stop) fleet_.Stop(task, now, out);
  }
}

bool Maintenance::HasNoTasks(const VmMaintenance& work) const {
  const Worker* worker = state_.FindWorker(work.worker);
  return worker == nullptr || worker->tasks.empty();
}

/// A VM that is down is back when its worker, either a new one or the one from before, has answered
/// an order that was given after the VM went down. A VM of a standby pool has no worker and counts
/// as back after a fixed time.
bool Maintenance::HasReturned(const VmId& vm, const VmMaintenance& work, Micros now) const {
  const Worker* worker = WorkerOn(vm);
  if (worker != nullptr && fleet_.AnsweredSince(worker->record.id, work.since)) return true;
  const Micros down_for = now - work.since;
  const Micros announced = options_.maintenance_ms * kMillisecond;
  if (work.worker.empty() && down_for > announced + kStandbyMargin) return true;
  return down_for > kMaxDowntimeFactor * announced;
}

void Maintenance::ReleaseReturned(Micros now) {
  std::erase_if(active_, [&](const auto& entry) {
    const auto& [vm, work] = entry;
    const bool back = work.step == VmStep::kDown && HasReturned(vm, work, now);
    if (back) orders_.Release(vm);
    return back;
  });
}

void Maintenance::TickVm(const VmId& vm, VmMaintenance& work, Micros now, Outbox& out) {
  if (work.step != VmStep::kDraining) return;
  MoveLongRunningTasks(work.worker, now, out);
  const Worker* worker = state_.FindWorker(work.worker);
  // A start that was planned before the VM was drained.
  if (planner_.unapplied().HasStartOn(work.worker)) return;
  const bool long_running = worker != nullptr && worker->long_running_tasks > 0;
  if (!HasNoTasks(work) && (long_running || now - work.since < kFinishGrace)) return;
  std::size_t& down = down_[work.wave];
  if (down >= state_.waves().at(work.wave).max_down) return;
  ++down;
  work.step = VmStep::kOrdered;
  orders_.Order(vm, MaintainVm{.vm = vm, .wave = work.wave},
                [this, vm](VmOutcome outcome, Micros then, WallMs /*wall*/, Outbox& reply) {
                  OnOutcome(vm, outcome, then, reply);
                });
}

void Maintenance::OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, Outbox& out) {
  const auto found = active_.find(vm);
  if (found == active_.end()) return;
  VmMaintenance& work = found->second;
  if (outcome == VmOutcome::kDone) {
    propose_(RecordMaintenance{.wave = work.wave, .vm = vm});
    fleet_.ExpectVmDown(vm, now, out);
    work.step = VmStep::kDown;
    work.since = now;
  } else if (outcome == VmOutcome::kNoSuchVm || outcome == VmOutcome::kNotInWave) {
    propose_(RecordMaintenance{.wave = work.wave, .vm = vm});
    orders_.Release(vm);
    active_.erase(found);
  } else {
    orders_.Release(vm);
    active_.erase(found);  // the VM is busy: another one may be maintained first
    retry_at_[vm] = now + kBusyRetry;
  }
}

}  // namespace godwitpaddle::jobs

#include "control/pool_scaler.h"

#include <algorithm>
#include <utility>

#include "jobs/team_shares.h"

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kTickPeriod = 100 * kMillisecond;
/// Period while more moves are planned than the platform took.
constexpr Micros kShortTickPeriod = 40 * kMillisecond;
/// One in this many VMs of a pool may be withheld at once by moves that the platform has not
/// answered, so that the others are well used before a job waits; kMinUnansweredMoves VMs in any
/// case.
constexpr int kUnansweredShare = 2;
constexpr int kMinUnansweredMoves = 2;
/// Fraction of a pool's cores that expected work may use. The remainder absorbs bursts and steps
/// with many tasks.
constexpr double kTargetUtilisation = 0.7;
/// Time in milliseconds within which the cores of a pool should complete its backlog.
constexpr double kBacklogTargetMs = 2'000;
/// A move is abandoned if the VM's worker has not appeared in the new pool within this many times
/// `move_ms` after the order.
constexpr int kArrivalFactor = 6;
constexpr double kMillicores = 1'000;
/// A task for which no room was found for longer than this is taken to fit on no worker.
constexpr Micros kMinWait = 300 * kMillisecond;

}  // namespace

void PoolScaler::BeginTerm() {
  draining_.clear();
  moving_.clear();
  standby_vms_.clear();
  surplus_since_.clear();
  long_running_waits_.clear();
  arrived_.clear();
  standby_read_ = false;
  outlooks_.clear();
}

void PoolScaler::AddCordonedVms(std::unordered_set<std::string_view>& vms) const {
  for (const auto& [vm, move] : moving_) vms.insert(vm);
}

void PoolScaler::AddLeavingVms(std::unordered_set<std::string_view>& vms) const {
  for (const auto& [vm, to] : draining_) vms.insert(vm);
}

void PoolScaler::Tick(Micros now, WallMs wall, Outbox& out) {
  if (!IsDue(now)) return;
  next_tick_ = now + kTickPeriod;
  if (orders_.vms().empty()) return;
  if (!standby_read_) {
    standby_read_ = true;
    for (const auto& [id, vm] : orders_.vms()) {
      const Service* service = FindService(state_.configuration(), vm.pool);
      if (service != nullptr && service->standby) standby_vms_[id] = vm.pool;
    }
  }
  FinishMoves(now);
  if (fleet_.KnowsWorkers(now)) TrackLongRunningWaits(now, wall);
  std::vector<Pool> pools = DescribePools(now);
  std::map<std::string, int> pool_vms;
  for (const Pool& pool : pools) {
    if (!pool.standby) pool_vms[pool.service] = pool.vms;
  }
  UpdateOutlooks(pools);
  std::vector<PoolMove> moves = PlanMoves(std::move(pools), options_.plan, now);
  AddSwitchOffs(moves, now, wall);
  // A VM whose move is no longer planned gets tasks again. So do all if the platform has no time.
  draining_.clear();
  if (orders_.HasTime(now)) Execute(moves, pool_vms, now, out);
}

void PoolScaler::UpdateOutlooks(const std::vector<Pool>& pools) {
  outlooks_.clear();
  const PoolTargets targets = SetTargets(pools, options_.plan);
  for (const Pool& pool : pools) {
    const Worker* typical = fleet_.AnyWorkerOf(pool.service);
    if (pool.standby || typical == nullptr) continue;
    const int target = targets.vms.at(pool.service);
    outlooks_[pool.service] = {
        .vm = typical->record.capacity,
        .vms = std::max(0.0, std::max(pool.vms, target) - pool.long_running_vms),
        .delay = target > pool.vms ? options_.move_ms * kMillisecond : 0};
  }
}

const RoomOutlook* PoolScaler::OutlookOf(const std::string& service) const {
  const auto found = outlooks_.find(service);
  return found == outlooks_.end() ? nullptr : &found->second;
}

void PoolScaler::Execute(const std::vector<PoolMove>& moves,
                         const std::map<std::string, int>& pool_vms, Micros now, Outbox& out) {
  std::size_t slots = orders_.FreeSlots();
  std::map<std::string, int> unanswered = CountUnanswered();
  for (const PoolMove& move : moves) {
    if (IsBusy(move.vm)) {
      draining_[move.vm] = move.to;  // a later tick moves it, once its tasks have ended
      continue;
    }
    const auto vms = pool_vms.find(move.from);
    int& from_pool = unanswered[move.from];
    const bool too_many =
        vms != pool_vms.end() &&
        from_pool >= std::max(kMinUnansweredMoves, vms->second / kUnansweredShare);
    if (slots == 0 || too_many) {
      draining_[move.vm] = move.to;
      next_tick_ = now + kShortTickPeriod;
      continue;
    }
    --slots;
    ++from_pool;
    Start(move, now, out);
  }
}

std::map<std::string, int> PoolScaler::CountUnanswered() const {
  std::map<std::string, int> counts;
  for (const auto& [vm, move] : moving_) {
    if (move.arrives == 0) ++counts[move.from];
  }
  return counts;
}

bool PoolScaler::IsBusy(const VmId& vm) const {
  return std::ranges::any_of(state_.WorkersOnVm(vm), [this](const WorkerId& id) {
    return !state_.FindWorker(id)->tasks.empty() || planner_.unapplied().HasStartOn(id);
  });
}

/// Whether a worker has answered from the new pool. It is a new one, or the present one if the VM
/// was already in this pool.
bool PoolScaler::HasArrived(const VmId& vm, const VmMove& move) const {
  if (move.arrives == 0) return false;
  return std::ranges::any_of(state_.WorkersOnVm(vm), [&](const WorkerId& id) {
    return state_.FindWorker(id)->record.service == move.to &&
           fleet_.AnsweredSince(id, move.accepted);
  });
}

/// Ends the moves of VMs that have arrived in their new pools or whose arrival timed out.
void PoolScaler::FinishMoves(Micros now) {
  const Micros max_duration = kArrivalFactor * options_.move_ms * kMillisecond;
  std::erase_if(moving_, [&](const auto& entry) {
    const VmMove& moving = entry.second;
    if (HasArrived(entry.first, moving)) {
      arrived_[moving.to] = now;
      orders_.Release(entry.first);
      return true;
    }
    if (moving.arrives == 0) return false;
    const Service* service = FindService(state_.configuration(), moving.to);
    if (service != nullptr && service->standby && now >= moving.arrives) {
      standby_vms_[entry.first] = moving.to;
      orders_.Release(entry.first);
      return true;
    }
    if (now <= moving.ordered + max_duration) return false;
    orders_.Release(entry.first);
    return true;
  });
  // After the moves, so that a VM with a usable worker is in one pool only.
  std::erase_if(standby_vms_, [&](const auto& entry) {
    return std::ranges::any_of(state_.WorkersOnVm(entry.first),
                               [&](const WorkerId& id) { return fleet_.IsUsable(id, now); });
  });
}

double PoolScaler::NeededCores(const std::string& service, double open_core_ms, Micros now) {
  const Micros ahead = options_.move_ms * kMillisecond + kTickPeriod;
  const double arriving = demand_.Forecast(service, now, ahead);
  const double open = open_core_ms * demand_.EstimateFactor(service) / kBacklogTargetMs;
  return std::max(arriving, open) / kTargetUtilisation;
}

std::vector<Pool> PoolScaler::DescribePools(Micros now) {
  std::map<std::string, Pool> pools;
  for (const Service& service : state_.configuration().services) {
    pools[service.name] = {.service = service.name, .standby = service.standby};
  }
  AddWorkers(pools, now);
  AddUnheardWorkers(pools, now);
  AddEvacuatedWorkers(pools, now);
  AddWaitingNeeds(pools, now);
  AddStandby(pools);
  for (const auto& [vm, moving] : moving_) {
    const auto pool = pools.find(moving.to);
    if (pool != pools.end() && !IsInEvacuatedZone(vm)) ++pool->second.vms;
  }
  const std::map<std::string, double> open = state_.OpenCoreMs();
  std::vector<Pool> described;
  for (auto& [name, pool] : pools) {
    const auto work = open.find(name);
    pool.needed_cores += NeededCores(name, work == open.end() ? 0 : work->second, now);
    Micros& since = surplus_since_[name];
    if (pool.vms <= NeededVms(pool, options_.plan) + options_.plan.spare_vms) {
      since = 0;
    } else if (since == 0) {
      since = now;
    }
    pool.surplus_since = since;
    described.push_back(std::move(pool));
  }
  return described;
}

void PoolScaler::TrackLongRunningWaits(Micros now, WallMs wall) {
  std::map<TaskId, Micros> waits;
  const auto track_step = [&](const Job& job, std::uint32_t occurrence, std::uint32_t step) {
    const StepRun& run = job.At(occurrence, step);
    if (!job.spec.steps[step].long_running || run.assigned == run.tasks.size()) return;
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
      if (run.tasks[index].phase != TaskPhase::kWaiting) continue;
      const TaskId task{job.id, occurrence, step, index};
      const auto known = long_running_waits_.find(task);
      waits[task] = known == long_running_waits_.end() ? now : known->second;
    }
  };
  for (const auto& [id, job] : state_.startable_long_running_jobs()) {
    for (std::uint32_t occurrence = 0; occurrence < job->spec.occurrences(); ++occurrence) {
      if (!IsOccurrenceDue(*job, occurrence, wall)) break;
      for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
        track_step(*job, occurrence, step);
      }
    }
  }
  long_running_waits_ = std::move(waits);
}

std::map<std::string, std::vector<WaitingDemand>> PoolScaler::WaitingDemands(Micros now) const {
  std::map<std::pair<JobId, std::uint32_t>, std::uint32_t> counts;  // by job and step
  for (const auto& [task, since] : long_running_waits_) {
    if (now - since > kMinWait) ++counts[{task.job, task.step}];
  }
  std::map<std::string, std::vector<WaitingDemand>> demands;
  for (const auto& [service, unplaceable] : planner_.unplaceable()) {
    const Job* job = state_.FindJob(unplaceable.job);
    const bool waits = job != nullptr && job->active() && unplaceable.waited() > kMinWait;
    if (!waits) continue;
    // A plan may not have used the VM yet that arrived for the step.
    const auto arrived = arrived_.find(service);
    if (arrived != arrived_.end() && unplaceable.seen < arrived->second + kTickPeriod) continue;
    const Step& step = job->spec.steps[unplaceable.step];
    // Short tasks that must not share a worker may run one after the other.
    const std::uint32_t together = step.gang ? step.max_per_worker : 0;
    demands[service].push_back(
        {.count = unplaceable.tasks, .size = step.footprint(), .max_per_worker = together});
  }
  for (const auto& [key, count] : counts) {
    const Job& job = *state_.FindJob(key.first);
    const Step& step = job.spec.steps[key.second];
    demands[State::QueueOf(job).service].push_back(
        {.count = count, .size = step.footprint(), .max_per_worker = step.max_per_worker});
  }
  return demands;
}

void PoolScaler::AddWaitingNeeds(std::map<std::string, Pool>& pools, Micros now) const {
  for (const auto& [service, demands] : WaitingDemands(now)) {
    const auto pool = pools.find(service);
    if (pool == pools.end()) continue;
    const Worker* typical = fleet_.AnyWorkerOf(pool->first);
    const Resources vm = typical == nullptr ? Resources() : typical->record.capacity;
    pool->second.vms_for_waiting = pool->second.vms + VmsForWaiting(demands, vm);
  }
}

void PoolScaler::AddWorkers(std::map<std::string, Pool>& pools, Micros now) const {
  for (const UsableWorker& usable : fleet_.UsableWorkers(now)) {
    const Worker& worker = *usable.worker;
    const auto found = pools.find(worker.record.service);
    const VmId& vm = worker.record.vm;
    if (found == pools.end() || vm.empty() || moving_.contains(vm)) continue;
    Pool& pool = found->second;
    if (maintenance_.IsCordoned(worker)) continue;
    ++pool.vms;
    pool.vm_cores =
        std::max(pool.vm_cores, static_cast<double>(worker.record.capacity.cpu) / kMillicores);
    // A worker with a long-running task is not moved, and the cores of such tasks are not available
    // to arriving work.
    if (worker.long_running_tasks > 0) {
      pool.needed_cores += static_cast<double>(worker.long_running_used.cpu) / kMillicores;
      pool.long_running_vms += InVms(worker.long_running_used, worker.record.capacity);
      continue;
    }
    if (orders_.IsClaimed(vm) || !orders_.MayOrder(vm)) continue;
    pool.movable.push_back(
        {.vm = vm, .tasks = worker.tasks.size(), .draining = draining_.contains(vm)});
  }
}

void PoolScaler::AddUnheardWorkers(std::map<std::string, Pool>& pools, Micros now) const {
  if (fleet_.KnowsWorkers(now)) return;
  for (auto& [name, pool] : pools) {
    for (const ObservedWorker& one : fleet_.WorkersOf(name, now)) {
      const WorkerRecord& record = one.worker->record;
      const bool unheard =
          one.obstacle == WorkerObstacle::kUnconfirmed || one.obstacle == WorkerObstacle::kSilent;
      if (!unheard || record.vm.empty() || moving_.contains(record.vm)) continue;
      if (state_.IsEvacuated(record.zone)) continue;
      ++pool.vms;
      pool.vm_cores =
          std::max(pool.vm_cores, static_cast<double>(record.capacity.cpu) / kMillicores);
      pool.needed_cores += static_cast<double>(one.worker->long_running_used.cpu) / kMillicores;
      // Which of the others can be spared is not known yet.
      pool.movable.clear();
    }
  }
}

void PoolScaler::AddStandby(std::map<std::string, Pool>& pools) const {
  for (const auto& [vm, name] : standby_vms_) {
    const auto pool = pools.find(name);
    if (pool == pools.end() || moving_.contains(vm) || IsInEvacuatedZone(vm)) continue;
    ++pool->second.vms;
    if (!orders_.IsClaimed(vm) && orders_.MayOrder(vm)) pool->second.movable.push_back({.vm = vm});
  }
}

bool PoolScaler::IsInEvacuatedZone(const VmId& vm) const {
  if (state_.evacuated_zones().empty()) return false;
  const auto found = orders_.vms().find(vm);
  return found != orders_.vms().end() && state_.IsEvacuated(found->second.zone);
}

void PoolScaler::AddEvacuatedWorkers(std::map<std::string, Pool>& pools, Micros now) const {
  if (state_.evacuated_zones().empty()) return;
  for (auto& [name, pool] : pools) {
    for (const ObservedWorker& one : fleet_.WorkersOf(name, now)) {
      if (one.obstacle != WorkerObstacle::kEvacuated) continue;
      const Worker& worker = *one.worker;
      const Resources& capacity = worker.record.capacity;
      const double cores = static_cast<double>(capacity.cpu) / kMillicores;
      pool.vm_cores = std::max(pool.vm_cores, cores);
      if (worker.long_running_tasks == 0) continue;
      pool.needed_cores += InVms(worker.long_running_used, capacity) * cores;
    }
  }
}

void PoolScaler::AddSwitchOffs(std::vector<PoolMove>& moves, Micros now, WallMs wall) const {
  if (state_.evacuated_zones().empty()) return;
  const auto& services = state_.configuration().services;
  const auto standby = std::ranges::find_if(services, &Service::standby);
  if (standby == services.end()) return;
  for (const Service& service : services) {
    if (service.standby) continue;
    for (const ObservedWorker& one : fleet_.WorkersOf(service.name, now)) {
      if (one.obstacle != WorkerObstacle::kEvacuated) continue;
      const WorkerRecord& record = one.worker->record;
      const auto zone = state_.evacuated_zones().find(record.zone);
      const bool lasts = (wall - zone->second) * kMillisecond >= options_.plan.surplus_delay;
      const bool may_move = !record.vm.empty() && !moving_.contains(record.vm) &&
                            !orders_.IsClaimed(record.vm) && orders_.MayOrder(record.vm);
      if (!lasts || !may_move || IsBusy(record.vm)) continue;
      moves.push_back({.vm = record.vm, .from = service.name, .to = standby->name});
    }
  }
}

void PoolScaler::Start(const PoolMove& move, Micros now, Outbox& out) {
  moving_[move.vm] = {.from = move.from, .to = move.to, .ordered = now};
  out.Log("vm_moves", {{"vm", move.vm}, {"from", move.from}, {"to", move.to}});
  out.Count("vm_moves_total");
  orders_.Claim(move.vm);
  orders_.Order(move.vm, MoveVm{.vm = move.vm, .pool = move.to},
                [this, vm = move.vm](VmOutcome outcome, Micros then, WallMs /*wall*/,
                                     Outbox& reply) { OnOutcome(vm, outcome, then, reply); });
}

void PoolScaler::OnOutcome(const VmId& vm, VmOutcome outcome, Micros now, Outbox& out) {
  const auto moving = moving_.find(vm);
  if (moving == moving_.end()) return;
  if (outcome != VmOutcome::kDone) {
    moving_.erase(moving);
    orders_.Release(vm);
    return;
  }
  standby_vms_.erase(vm);
  moving->second.accepted = now;
  moving->second.arrives = now + options_.move_ms * kMillisecond;
  fleet_.ExpectVmDown(vm, now, out);
}

}  // namespace godwitpaddle::jobs

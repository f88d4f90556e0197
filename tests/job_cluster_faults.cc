#include <utility>
#include <variant>

#include "tests/job_cluster.h"

// Faults of workers and of the VM service that the platform's documentation allows, beyond crashes
// and lost answers.
namespace godwitpaddle::testing {
namespace {

constexpr Micros kMoveTime = 1'500 * kMillisecond;
constexpr Micros kMaintenanceTime = 2 * kSecond;
constexpr Micros kVmTimeout = 2 * kSecond;  // time-out of a call to the VM service
constexpr Micros kVmAnswer = 5 * kMillisecond;
constexpr Micros kMaxAnswerDelay = 1'500 * kMillisecond;
constexpr Micros kMinDrain = 2 * kSecond;
constexpr Micros kMaxDrain = 6 * kSecond;
constexpr Micros kLeaveTimeout = kSecond;
/// Longest time until a worker ends whose leave call was not answered.
constexpr Micros kMaxEndDelay = 5 * kSecond;
/// A lower capacity counts from this time on: time to reach the leader and one heartbeat.
constexpr Micros kShrinkNotice = 2'500 * kMillisecond;
/// Time from the start of a deadly task to the crash of its worker.
constexpr Micros kTimeToCrash = 10 * kMillisecond;
/// A task is known to be deadly after this many crashes, and may be started this many times more.
constexpr std::size_t kProvingCrashes = 3;
constexpr std::size_t kMaxFutileStarts = 2;

}  // namespace

void JobCluster::Log(const std::string& text) {
  log_.push_back(std::to_string(now_ / kMillisecond) + " " + text);
}

// ---- answers of workers ----

/// Delivers an answer, which may be delayed: it then arrives after newer answers or after the
/// call's time-out.
void JobCluster::ReplyInTime(const OrderInTransit& transit, jobs::OrderReply reply) {
  if (!transit.answered) return;
  reply.connection =
      ConnectionTo(transit.node, transit.incarnation, transit.order.worker, transit.incarnation_ms);
  Micros delay = RandomDelay();
  if (options_.delayed_answers > 0 && Chance(options_.delayed_answers)) {
    delay += RandomBetween(1, kMaxAnswerDelay);
    const Micros timeout = transit.sent + transit.order.timeout_ms * kMillisecond - now_;
    Reply(transit.node, transit.incarnation, transit.order.token,
          {.outcome = jobs::OrderOutcome::kUnknown}, std::max<Micros>(timeout, 0));
  }
  Reply(transit.node, transit.incarnation, transit.order.token, std::move(reply), delay);
}

/// Answers an order that no process of the worker receives: the call times out, the connection is
/// refused, or another worker answers at the address.
void JobCluster::ReplyWithoutWorker(std::size_t node, const jobs::OrderEffect& order,
                                    bool disconnected) {
  jobs::OrderOutcome outcome = jobs::OrderOutcome::kUnknown;
  if (options_.refused_connections && !disconnected) {
    outcome = jobs::OrderOutcome::kNotSent;
    for (const auto& [id, other] : workers_) {
      if (id == order.worker || !other.alive || other.record().address != order.address) continue;
      outcome = jobs::OrderOutcome::kOtherInstance;
    }
  }
  const Micros delay =
      outcome == jobs::OrderOutcome::kUnknown ? order.timeout_ms * kMillisecond : RandomDelay();
  Reply(node, slots_[node].incarnation, order.token, {.outcome = outcome}, delay);
}

// ---- departing and replaced workers ----

void JobCluster::DrainWorker(const jobs::WorkerId& id) {
  FakeWorker& worker = workers_.at(id);
  if (!worker.alive || worker.departing) return;
  worker.departing = true;
  worker.record().phase = jobs::WorkerPhase::kDraining;
  Log(id + " drains");
  After(RandomBetween(kMinDrain, kMaxDrain),
        [this, id, incarnation_ms = worker.record().incarnation_ms] {
          SendLeave(id, incarnation_ms);
        });
}

void JobCluster::SendLeave(const jobs::WorkerId& id, std::int64_t incarnation_ms) {
  const FakeWorker& worker = workers_.at(id);
  if (!worker.alive || worker.record().incarnation_ms != incarnation_ms) return;
  const Micros later = RandomBetween(kSecond, kMaxEndDelay);
  if (cut_workers_[id] > now_) {
    After(later, [this, id, incarnation_ms] { EndDepartingWorker(id, incarnation_ms); });
    return;
  }
  Log(id + " sends a leave call");
  const auto send = [this, id](OnAnswer done) {
    Call(UniformBelow(rng_, options_.cores), jobs::LeaveCall{.worker = id}, std::move(done),
         kLeaveTimeout / kMillisecond);
  };
  send([this, id, incarnation_ms, later](const jobs::Answer& answer) {
    const bool answered = answer.code == jobs::AnswerCode::kOk;
    After(answered ? RandomDelay() : later,
          [this, id, incarnation_ms] { EndDepartingWorker(id, incarnation_ms); });
  });
  if (options_.late_leave_calls > 0 && Chance(options_.late_leave_calls)) {
    After(RandomBetween(kSecond, 10 * kSecond), [this, id, send] {
      Log("a late leave call of " + id + " arrives");
      send([](const jobs::Answer&) {});
    });
  }
}

void JobCluster::EndDepartingWorker(const jobs::WorkerId& id, std::int64_t incarnation_ms) {
  FakeWorker& worker = workers_.at(id);
  if (!worker.alive || worker.record().incarnation_ms != incarnation_ms) return;
  worker.alive = false;
  Log(id + " ended after its leave call");
  const Micros away = RandomBetween(500 * kMillisecond, 3 * kSecond);
  if (UniformBelow(rng_, 2) == 0) {
    After(away, [this, id] { RestartWorker(id); });
  } else {
    ReplaceWorker(id, away);
  }
}

void JobCluster::ReplaceWorker(const jobs::WorkerId& id, Micros away) {
  FakeWorker& worker = workers_.at(id);
  if (worker.vm_down) return;
  worker.alive = false;
  worker.vm_down = true;
  const jobs::WorkerRecord old = worker.record();
  vms_[old.vm].phase = jobs::VmPhase::kDown;
  Log(id + " ended; another worker will start on " + old.vm);
  After(away, [this, old] {
    FakeWorker& next = AddWorker(old.service, old.capacity, old.vm);
    next.record().address = old.address;
    Log(next.record().id + " joins on " + old.vm + " at the address of " + old.id);
  });
}

// ---- capacity ----

void JobCluster::ResizeWorker(const jobs::WorkerId& id, jobs::Resources capacity) {
  FakeWorker& worker = workers_.at(id);
  if (!worker.record().capacity.FitsInto(capacity)) worker.shrunk_at = now_;
  worker.record().capacity = capacity;
  Log(id + " has " + std::to_string(capacity.cpu) + " millicores");
}

void JobCluster::CheckCapacity(const FakeWorker& worker, const jobs::StartOrder& order) {
  if (worker.guards_capacity || now_ < worker.shrunk_at + kShrinkNotice) return;
  jobs::Resources used;
  for (const auto& [task, run] : worker.running()) used += run.size;
  if (used.FitsInto(worker.record().capacity)) return;
  AddViolation(jobs::FormatTask(order.task) + " run " + std::to_string(order.run) +
               " exceeds the capacity of " + worker.record().id);
}

// ---- tasks that crash their workers ----

void JobCluster::CrashUnder(const FakeWorker& worker, const jobs::TaskId& task) {
  const jobs::WorkerRecord& record = worker.record();
  After(kTimeToCrash, [this, task, id = record.id, incarnation_ms = record.incarnation_ms] {
    const FakeWorker& crashed = workers_.at(id);
    if (!crashed.alive || crashed.record().incarnation_ms != incarnation_ms) return;
    ++crashes_[task];
    Log(id + " crashes under " + jobs::FormatTask(task));
    if (options_.crash_renames) return ReplaceWorker(id, options_.crash_away);
    CrashWorker(id);
    After(options_.crash_away, [this, id] { RestartWorker(id); });
  });
}

void JobCluster::CheckDeadlyStart(const jobs::StartOrder& order) {
  if (CrashesUnder(order.task) < kProvingCrashes) return;
  const std::size_t futile = ++futile_starts_[order.task];
  if (futile <= kMaxFutileStarts) return;
  AddViolation(jobs::FormatTask(order.task) + " run " + std::to_string(order.run) + " is start " +
               std::to_string(futile) + " after three workers have crashed under it");
}

std::size_t JobCluster::CrashesUnder(const jobs::TaskId& task) const {
  const auto found = crashes_.find(task);
  return found == crashes_.end() ? 0 : found->second;
}

bool JobCluster::HasEndedDone(const jobs::TaskId& task) { return ended_done_.contains(task); }

// ---- the VM service ----

void JobCluster::AddStandbyVm(const std::string& pool, jobs::Resources capacity, std::string zone) {
  const std::string number = std::to_string(vms_.size());
  vms_["vm-parked-" + number] = {.pool = pool, .zone = std::move(zone), .capacity = capacity};
}

void JobCluster::ExecuteVmOrder(std::size_t node, std::uint64_t incarnation,
                                const jobs::VmEffect& effect, Micros wait) {
  using jobs::VmOutcome;
  const auto answer = [&](jobs::VmReply reply, Micros delay) {
    AnswerVmOrder(node, incarnation, effect.token, std::move(reply), delay);
  };
  if (wait == 0 && Chance(options_.throttled_vm_calls)) {
    return answer({.outcome = VmOutcome::kThrottled}, kVmAnswer);
  }
  if (wait == 0 && options_.silent_vm_calls > 0 && Chance(options_.silent_vm_calls)) {
    return answer({.outcome = VmOutcome::kUnknown}, kVmTimeout);
  }
  if (wait == 0 && Chance(options_.reset_vm_calls)) {
    const std::uint64_t kind = UniformBelow(rng_, 3);
    if (kind == 2) ApplyVmOrder(effect.order);
    return answer({.outcome = kind == 0 ? VmOutcome::kNotSent : VmOutcome::kUnknown}, kVmAnswer);
  }
  if (wait == 0 && Chance(options_.late_vm_answers)) {
    // The order is executed now and answered late, or executed late.
    if (UniformBelow(rng_, 2) == 0) {
      jobs::VmReply reply = ApplyVmOrder(effect.order);
      const Micros delay = RandomBetween(100 * kMillisecond, kVmTimeout + kSecond);
      if (delay >= kVmTimeout) reply = {.outcome = VmOutcome::kUnknown};
      return answer(std::move(reply), std::min(delay, kVmTimeout));
    }
    const Micros moment = RandomBetween(kMillisecond, kVmTimeout);
    return After(moment, [this, node, incarnation, effect, moment] {
      ExecuteVmOrder(node, incarnation, effect, moment);
    });
  }
  jobs::VmReply reply = ApplyVmOrder(effect.order);
  if (Chance(options_.lost_vm_answers)) {
    return answer({.outcome = VmOutcome::kUnknown}, kVmTimeout - wait);
  }
  answer(std::move(reply), kVmAnswer);
}

void JobCluster::AnswerVmOrder(std::size_t node, std::uint64_t incarnation, std::uint64_t token,
                               jobs::VmReply reply, Micros delay) {
  After(delay, [this, node, incarnation, token, reply = std::move(reply)] {
    Deliver(node, incarnation, jobs::VmEvent{.token = token, .reply = reply});
  });
}

jobs::VmReply JobCluster::ApplyVmOrder(const jobs::VmOrder& order) {
  if (const auto* move = std::get_if<jobs::MoveVm>(&order)) return {.outcome = Move(*move)};
  if (const auto* maintain = std::get_if<jobs::MaintainVm>(&order)) {
    return {.outcome = Maintain(*maintain)};
  }
  return ListAll();
}

jobs::VmReply JobCluster::ListAll() const {
  jobs::VmReply reply{.outcome = jobs::VmOutcome::kDone};
  for (const auto& [name, vm] : vms_) {
    reply.vms.push_back({.vm = name,
                         .pool = vm.pool,
                         .zone = vm.zone,
                         .phase = vm.phase,
                         .capacity = vm.capacity,
                         .worker = vm.worker});
  }
  return reply;
}

bool JobCluster::IsBusy(const Vm& vm) const {
  if (vm.phase != jobs::VmPhase::kUp) return true;
  if (vm.worker.empty()) return false;  // in a standby pool
  const FakeWorker& worker = workers_.at(vm.worker);
  return !worker.alive || worker.departing;
}

void JobCluster::TakeDown(const jobs::VmId& vm) {
  const jobs::WorkerId id = std::exchange(vms_.at(vm).worker, {});
  if (id.empty()) return;
  FakeWorker& worker = workers_.at(id);
  worker.alive = false;
  worker.vm_down = true;
  Log(id + " is taken down with " + vm);
}

/// Idempotent: also kDone if the VM is already in the pool.
jobs::VmOutcome JobCluster::Move(const jobs::MoveVm& order) {
  const auto found = vms_.find(order.vm);
  if (found == vms_.end()) return jobs::VmOutcome::kNoSuchVm;
  Vm& vm = found->second;
  if (vm.pool == order.pool) return jobs::VmOutcome::kDone;
  if (IsBusy(vm)) return jobs::VmOutcome::kBusy;
  ++moved;
  TakeDown(order.vm);
  vm.pool = order.pool;
  vm.phase = jobs::VmPhase::kMoving;
  After(kMoveTime, [this, order] {
    Vm& arrived = vms_.at(order.vm);
    arrived.phase = jobs::VmPhase::kUp;
    if (!standby_pools.contains(order.pool)) AddWorker(order.pool, arrived.capacity, order.vm);
  });
  return jobs::VmOutcome::kDone;
}

jobs::VmOutcome JobCluster::Maintain(const jobs::MaintainVm& order) {
  const auto found = vms_.find(order.vm);
  if (found == vms_.end()) return jobs::VmOutcome::kNoSuchVm;
  if (maintained_.contains({order.wave, order.vm})) return jobs::VmOutcome::kDone;
  if (IsBusy(found->second)) return jobs::VmOutcome::kBusy;
  RecordMaintenance(order);
  TakeDown(order.vm);
  found->second.phase = jobs::VmPhase::kInMaintenance;
  After(kMaintenanceTime, [this, name = order.vm] {
    Vm& back = vms_.at(name);
    back.phase = jobs::VmPhase::kUp;
    if (!standby_pools.contains(back.pool)) AddWorker(back.pool, back.capacity, name);
  });
  return jobs::VmOutcome::kDone;
}

}  // namespace godwitpaddle::testing

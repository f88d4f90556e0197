#include "tests/job_cluster.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "tests/virtual_cluster.h"

namespace godwitpaddle::testing {
namespace {

constexpr Micros kCoreTick = 20 * kMillisecond;
constexpr Micros kEdgeTick = 50 * kMillisecond;
constexpr Micros kHeartbeat = 1'500 * kMillisecond;
constexpr Micros kMaintenanceTime = 2 * kSecond;
constexpr Micros kStopTime = 200 * kMillisecond;
constexpr Micros kDiskRetry = 300 * kMillisecond;
constexpr std::size_t kSeeds = 3;
constexpr std::size_t kMaxLogLines = 8'000;

}  // namespace

JobCluster::JobCluster(JobClusterOptions options) : options_(options), rng_(options.seed) {
  slots_.resize(options_.cores + options_.edges);
  for (std::size_t node = 0; node < slots_.size(); ++node) by_address_[Address(node)] = node;
  std::vector<std::string> seeds;
  for (std::size_t node = 0; node < std::min(kSeeds, options_.cores); ++node) {
    seeds.push_back(Address(node));
  }
  for (std::size_t node = 0; node < options_.cores; ++node) {
    const bool is_seed = node < seeds.size();
    slots_[node].replica =
        is_seed ? jobs::InitialReplicaId(Address(node)) : "late-" + std::to_string(node);
    if (is_seed) slots_[node].disk = jobs::InitialGroup(seeds);
  }
  for (std::size_t node = 0; node < slots_.size(); ++node) Start(node);
}

void JobCluster::At(Micros time, std::function<void()> action) {
  queue_.push({.time = time, .order = next_order_++, .action = std::move(action)});
}

void JobCluster::RunFor(Micros time) {
  const Micros end = now_ + time;
  while (!queue_.empty() && queue_.top().time <= end) {
    const ScheduledAction item = queue_.top();
    queue_.pop();
    now_ = std::max(now_, item.time);
    item.action();
  }
  now_ = end;
}

bool JobCluster::RunUntilTrue(const std::function<bool()>& condition, Micros limit) {
  const Micros end = now_ + limit;
  while (now_ < end) {
    if (condition()) return true;
    RunFor(5 * kMillisecond);
  }
  return condition();
}

Micros JobCluster::RandomDelay() {
  return 1 +
         static_cast<Micros>(UniformBelow(rng_, static_cast<std::uint64_t>(options_.max_delay)));
}

void JobCluster::AddViolation(std::string what) {
  violations.push_back(std::to_string(now_ / kMillisecond) + " ms: " + std::move(what));
}

// ---- nodes ----

void JobCluster::Start(std::size_t node) {
  Slot& slot = slots_[node];
  if (alive(node)) return;
  ++slot.incarnation;
  slot.work = {};
  const std::uint64_t seed = rng_() >> 1U;
  std::vector<std::string> seeds;
  for (std::size_t one = 0; one < std::min(kSeeds, options_.cores); ++one) {
    seeds.push_back(Address(one));
  }
  if (node < options_.cores) {
    slot.core = std::make_unique<jobs::CoreNode>(
        jobs::CoreNodeOptions{
            .node = Address(node),
            .zone = "zone-" + std::to_string(node % 3),
            .peer_address = Address(node),
            .seeds = seeds,
            .seed = seed,
            .leader = {.node = Address(node),
                       .fleet = {.lease_ms = 4'000, .stop_ms = kStopTime / kMillisecond},
                       .vm_orders = {.holder = Address(node)}},
            .relay_min_workers = options_.relay_min_workers},
        slot.replica, slot.disk, now_);
  } else {
    slot.edge = std::make_unique<jobs::EdgeNode>(
        jobs::GatewayOptions{.own_address = Address(node), .seeds = seeds, .first_call = seed});
  }
  ScheduleTick(node, slot.incarnation);
}

void JobCluster::ScheduleTick(std::size_t node, std::uint64_t incarnation) {
  After(node < options_.cores ? kCoreTick : kEdgeTick, [this, node, incarnation] {
    if (slots_[node].incarnation != incarnation || !alive(node)) return;
    Deliver(node, incarnation, TickEvent{});
    ScheduleTick(node, incarnation);
  });
}

void JobCluster::EndProcess(Slot& slot) {
  slot.core.reset();
  slot.edge.reset();
  ++slot.incarnation;
  slot.frozen_until = 0;
  slot.mailbox = {};
  slot.busy = false;
  for (auto& [connection, done] : std::exchange(slot.waiting, {})) {
    done({.code = jobs::AnswerCode::kUnknown});
  }
}

void JobCluster::Kill(std::size_t node) {
  Slot& slot = slots_[node];
  // The kernel still writes what the process passed to it before it was killed.
  const bool full = slot.disk_full_until > now_;
  for (const auto& batch : std::exchange(slot.unsynced, {})) {
    if (!full) WriteBatch(slot.disk, batch);
  }
  EndProcess(slot);
}

void JobCluster::Shutdown(std::size_t node) {
  Deliver(node, slots_[node].incarnation, ShutdownEvent{});
}

void JobCluster::LosePower(std::size_t node) {
  slots_[node].unsynced.clear();
  EndProcess(slots_[node]);
}

void JobCluster::LoseDisk(std::size_t node) {
  LosePower(node);
  slots_[node].disk = {};
  slots_[node].replica = "new-" + std::to_string(rng_());
}

void JobCluster::FillDisk(std::size_t node, Micros duration) {
  slots_[node].disk_full_until = std::max(slots_[node].disk_full_until, now_ + duration);
}

void JobCluster::FinishWrite(std::size_t node, std::uint64_t incarnation) {
  Slot& slot = slots_[node];
  if (slot.incarnation != incarnation || slot.unsynced.empty()) return;
  if (slot.disk_full_until > now_) {
    return After(kDiskRetry, [this, node, incarnation] { FinishWrite(node, incarnation); });
  }
  const auto batch = slot.unsynced.front();
  slot.unsynced.erase(slot.unsynced.begin());
  WriteBatch(slot.disk, batch);
  Deliver(node, incarnation, SyncedEvent{.token = batch.token});
}

void JobCluster::Freeze(std::size_t node, Micros duration) {
  slots_[node].frozen_until = std::max(slots_[node].frozen_until, now_ + duration);
}

void JobCluster::Isolate(std::size_t node, Micros duration) {
  isolated_[node] = std::max(isolated_[node], now_ + duration);
}

std::optional<std::size_t> JobCluster::Leader() const {
  for (std::size_t node = 0; node < options_.cores; ++node) {
    const Slot& slot = slots_[node];
    if (slot.core && slot.frozen_until <= now_ && slot.core->Serving()) return node;
  }
  return std::nullopt;
}

void JobCluster::Deliver(std::size_t node, std::uint64_t incarnation, jobs::Event event) {
  Slot& slot = slots_[node];
  if (slot.incarnation != incarnation || !alive(node)) return;
  if (slot.frozen_until > now_) {
    At(slot.frozen_until + 1, [this, node, incarnation, event = std::move(event)]() mutable {
      Deliver(node, incarnation, std::move(event));
    });
    return;
  }
  if (!options_.processor.on() || !slot.core) return Step(node, event);
  slot.mailbox.Push({.event = std::move(event), .queued = now_});
  if (!slot.busy) Work(node, incarnation);
}

void JobCluster::Work(std::size_t node, std::uint64_t incarnation) {
  Slot& slot = slots_[node];
  if (slot.incarnation != incarnation || !alive(node)) return;
  slot.busy = !slot.mailbox.empty();
  if (!slot.busy) return;
  After(StepAndCount(node, slot.mailbox.Pop(now_)),
        [this, node, incarnation] { Work(node, incarnation); });
}

Micros JobCluster::StepAndCount(std::size_t node, const jobs::QueuedEvent& queued) {
  Slot& slot = slots_[node];
  const std::uint64_t scanned = slot.core->state().scanned();
  std::vector<jobs::Effect> effects =
      slot.core->Step(queued.event, now_, wall(), now_ - queued.queued);
  const auto sends = std::ranges::count_if(effects, [](const jobs::Effect& effect) {
    return std::holds_alternative<SendEffect>(effect) ||
           std::holds_alternative<jobs::OrderEffect>(effect) ||
           std::holds_alternative<jobs::VmEffect>(effect);
  });
  const ProcessorModel& model = options_.processor;
  const double time =
      model.step_us + model.effect_us * static_cast<double>(sends) +
      model.scanned_us * static_cast<double>(slot.core->state().scanned() - scanned);
  CountWork(node, effects);
  for (jobs::Effect& effect : effects) ExecuteEffect(node, effect);
  return static_cast<Micros>(time);
}

void JobCluster::Step(std::size_t node, const jobs::Event& event) {
  Slot& slot = slots_[node];
  const WallMs wall_now = wall();
  std::vector<jobs::Effect> effects =
      slot.core ? slot.core->Step(event, now_, wall_now) : slot.edge->Step(event, now_, wall_now);
  CountWork(node, effects);
  for (jobs::Effect& effect : effects) ExecuteEffect(node, effect);
}

void JobCluster::CountWork(std::size_t node, const std::vector<jobs::Effect>& effects) {
  NodeWork& work = slots_[node].work;
  ++work.events;
  for (const jobs::Effect& effect : effects) {
    if (std::holds_alternative<SendEffect>(effect)) ++work.messages;
    if (std::holds_alternative<jobs::OrderEffect>(effect)) ++work.orders;
  }
}

void JobCluster::ExecuteEffect(std::size_t node, jobs::Effect& effect) {
  Slot& slot = slots_[node];
  if (auto* send = std::get_if<SendEffect>(&effect)) {
    const auto to = by_address_.find(send->address);
    if (to == by_address_.end() || isolated_[node] > now_ || isolated_[to->second] > now_) return;
    if (Chance(options_.loss)) return;
    After(RandomDelay(), [this, to = to->second, incarnation = slots_[to->second].incarnation,
                          message = std::move(send->message)]() mutable {
      Deliver(to, incarnation, PeerEvent{.message = std::move(message)});
    });
  } else if (auto* persist = std::get_if<PersistEffect>(&effect)) {
    slot.unsynced.push_back(std::move(persist->batch));
    const Micros sync_time = options_.fast_disk == node ? 0 : options_.sync_time;
    After(sync_time + RandomDelay(),
          [this, node, incarnation = slot.incarnation] { FinishWrite(node, incarnation); });
  } else if (auto* answer = std::get_if<jobs::AnswerEffect>(&effect)) {
    const auto found = slot.waiting.find(answer->connection);
    if (found == slot.waiting.end()) return;
    const OnAnswer done = std::move(found->second);
    slot.waiting.erase(found);
    done(answer->answer);
  } else if (auto* order = std::get_if<jobs::OrderEffect>(&effect)) {
    SendOrder(node, *order);
  } else if (auto* vm = std::get_if<jobs::VmEffect>(&effect)) {
    SendVmOrder(node, *vm);
  } else if (std::holds_alternative<ExitEffect>(effect)) {
    After(1, [this, node, incarnation = slot.incarnation] {
      if (slots_[node].incarnation == incarnation) Kill(node);
    });
  } else if (auto* line = std::get_if<LogEffect>(&effect)) {
    std::string text =
        std::to_string(now_ / kMillisecond) + " " + Address(node) + " " + line->event;
    for (const auto& [key, value] : line->fields) {
      text.append(" ").append(key).append("=").append(value);
    }
    const bool is_fault = line->event == "invariant_violated" || line->event == "run_mismatch";
    if (is_fault) AddViolation(text);
    log_.push_back(std::move(text));
    if (log_.size() > kMaxLogLines) log_.pop_front();
  }
}

void JobCluster::Call(std::size_t node, jobs::Call call, OnAnswer done, std::int64_t timeout_ms) {
  Slot& slot = slots_[node];
  if (!alive(node)) return done({.code = jobs::AnswerCode::kUnknown});
  const std::uint64_t connection = next_connection_++;
  slot.waiting[connection] = std::move(done);
  Deliver(
      node, slot.incarnation,
      jobs::CallEvent{.connection = connection, .call = std::move(call), .timeout_ms = timeout_ms});
}

jobs::Answer JobCluster::CallAndWait(std::size_t node, jobs::Call call, std::int64_t timeout_ms) {
  std::optional<jobs::Answer> answer;
  Call(
      node, std::move(call), [&](const jobs::Answer& one) { answer = one; }, timeout_ms);
  RunUntilTrue([&] { return answer.has_value(); }, (timeout_ms + 1'000) * kMillisecond);
  return answer.value_or(jobs::Answer{.code = jobs::AnswerCode::kUnknown});
}

// ---- workers ----

FakeWorker& JobCluster::AddWorker(const std::string& service, jobs::Resources capacity,
                                  jobs::VmId vm) {
  const std::uint64_t number = next_worker_++;
  const jobs::WorkerId id = "worker-" + std::to_string(number);
  if (vm.empty()) vm = "vm-" + std::to_string(number);
  Vm& host = vms_[vm];
  if (host.zone.empty()) host.zone = "zone-" + std::to_string(number % 3);
  jobs::WorkerRecord record{.id = id,
                            .incarnation_ms = wall(),
                            .address = id,
                            .service = service,
                            .zone = host.zone,
                            .vm = std::move(vm),
                            .labels = {"a", "rack-" + std::to_string(number % 3)},
                            .capacity = capacity};
  FakeWorker& worker = workers_.emplace(id, FakeWorker(std::move(record), now_)).first->second;
  worker.clock_rate = 0.98 + 0.02 * UniformUnit(rng_);
  worker.done_tasks = &ended_done_;
  host = {.pool = service, .zone = host.zone, .capacity = capacity, .worker = id};
  ScheduleHeartbeat(id);
  return worker;
}

void JobCluster::ScheduleHeartbeat(const jobs::WorkerId& id) {
  const auto found = workers_.find(id);
  if (found != workers_.end() && found->second.alive && cut_workers_[id] <= now_) {
    FakeWorker& worker = found->second;
    const jobs::HeartbeatCall call{
        .record = worker.record(), .sequence = ++worker.sequence, .clock_ms = worker.Clock(now_)};
    const auto send = [this, call] {
      Call(
          UniformBelow(rng_, options_.cores), call, [](const jobs::Answer&) {}, 900);
    };
    send();
    if (options_.late_heartbeats > 0 && Chance(options_.late_heartbeats)) {
      After(RandomBetween(kSecond, 10 * kSecond), send);
    }
  }
  After(kHeartbeat, [this, id] { ScheduleHeartbeat(id); });
}

void JobCluster::CrashWorker(const jobs::WorkerId& id) {
  workers_.at(id).alive = false;
  log_.push_back(std::to_string(now_ / kMillisecond) + " " + id + " crashed");
}

void JobCluster::RestartWorker(const jobs::WorkerId& id) {
  FakeWorker& worker = workers_.at(id);
  if (worker.vm_down) return;  // another worker runs on its VM
  worker.Restart(wall(), now_);
  log_.push_back(std::to_string(now_ / kMillisecond) + " " + id + " restarted");
}

void JobCluster::CutWorker(const jobs::WorkerId& id, Micros duration) {
  cut_workers_[id] = std::max(cut_workers_[id], now_ + duration);
  log_.push_back(std::to_string(now_ / kMillisecond) + " " + id + " disconnected for " +
                 std::to_string(duration / kMillisecond) + " ms");
}

jobs::ConnectionId JobCluster::ConnectionTo(std::size_t node, std::uint64_t incarnation,
                                            const jobs::WorkerId& worker,
                                            std::int64_t incarnation_ms) {
  const auto [entry, is_new] =
      connections_.try_emplace({node, incarnation, worker, incarnation_ms}, 0);
  if (is_new) entry->second = connections_.size();
  return entry->second;
}

void JobCluster::SendOrder(std::size_t node, const jobs::OrderEffect& order) {
  const auto timeout = order.timeout_ms * kMillisecond;
  const bool disconnected = cut_workers_[order.worker] > now_ || isolated_[node] > now_;
  const auto worker = workers_.find(order.worker);
  if (worker == workers_.end() || !worker->second.alive || disconnected) {
    return ReplyWithoutWorker(node, order, disconnected);
  }
  // An order in transit to a worker's process, or queued in it, is lost when that process ends.
  OrderInTransit transit{.node = node,
                         .incarnation = slots_[node].incarnation,
                         .order = order,
                         .incarnation_ms = worker->second.record().incarnation_ms,
                         .sent = now_};
  const jobs::ConnectionId connection =
      ConnectionTo(node, transit.incarnation, order.worker, transit.incarnation_ms);
  if (order.newest_connection != 0 && connection > order.newest_connection) {
    return Reply(node, transit.incarnation, order.token, {.outcome = jobs::OrderOutcome::kNotSent},
                 RandomDelay());
  }
  const auto unknown = [&] {
    Reply(node, transit.incarnation, order.token, {.outcome = jobs::OrderOutcome::kUnknown},
          timeout);
  };
  if (Chance(options_.late_orders)) {
    const Micros late = (2 + static_cast<Micros>(UniformBelow(rng_, 10))) * kSecond;
    transit.answered = false;
    transit.late = true;
    After(late, [this, transit] { ExecuteOrder(transit); });
    return unknown();
  }
  transit.answered = !Chance(options_.lost_answers);
  if (!transit.answered) unknown();
  After(RandomDelay(), [this, transit] { ExecuteOrder(transit); });
}

void JobCluster::ExecuteOrder(const OrderInTransit& transit) {
  const jobs::OrderEffect& order = transit.order;
  const auto found = workers_.find(order.worker);
  const bool unreachable = found == workers_.end() || !found->second.alive;
  const bool survives_restart = transit.late && options_.late_after_restart;
  if (unreachable ||
      (found->second.record().incarnation_ms != transit.incarnation_ms && !survives_restart)) {
    if (!transit.answered) return;
    return Reply(transit.node, transit.incarnation, order.token,
                 {.outcome = jobs::OrderOutcome::kUnknown}, RandomDelay());
  }
  FakeWorker& worker = found->second;
  jobs::Resources size;
  Micros duration = 300 * kMillisecond;
  const auto* start = std::get_if<jobs::StartOrder>(&order.order);
  if (start != nullptr) {
    if (options_.unhealthy > 0 && Chance(options_.unhealthy)) {
      return ReplyInTime(transit, {.outcome = jobs::OrderOutcome::kUnhealthy});
    }
    // The payload of a test's job is "cpu duration_ms" or "cpu duration_ms deadly".
    const std::size_t blank = start->payload.find(' ');
    size.cpu = std::stoll(start->payload);
    duration = std::stoll(start->payload.substr(blank + 1)) * kMillisecond;
  }
  const auto* renewal = std::get_if<jobs::RenewLeaseOrder>(&order.order);
  if (renewal != nullptr && worker.AcceptsToken(order.fencing_token)) {
    worker.Advance(now_);
    for (const jobs::EndedRun& end : worker.ended()) {
      if (end.number <= renewal->acknowledged_ends && end.kind == jobs::EndKind::kDone &&
          !worker.LeaseExpiredSince(end.number)) {
        CheckAcknowledgedEnd(worker, end);
        done_.insert(end.task);
      }
    }
  }
  const std::uint64_t acknowledged = worker.acknowledged();
  if (options_.slow_stops) worker.stop_time = RandomBetween(1, kStopTime);
  const jobs::OrderReply reply =
      worker.Execute(order.order, order.fencing_token, size, duration, now_);
  const bool discarded = worker.acknowledged() > acknowledged;
  if (discarded && options_.power_loss_after_ack > 0 && Chance(options_.power_loss_after_ack)) {
    return LoseAllPower();
  }
  if (start != nullptr && worker.started) {
    CheckStart(worker, transit, *start);
    CheckCapacity(worker, *start);
    if (start->payload.ends_with("deadly")) {
      CheckDeadlyStart(*start);
      CrashUnder(worker, start->task);
    }
  }
  const bool waits = renewal != nullptr && renewal->max_wait_ms > 0 && reply.ended.empty();
  if (waits && transit.answered) {
    // The worker answers after a part of the wait, with its run lists of that time.
    OrderInTransit next = transit;
    std::get<jobs::RenewLeaseOrder>(next.order.order).max_wait_ms = 0;
    std::get<jobs::RenewLeaseOrder>(next.order.order).lease_until_ms.reset();
    // The worker discards acknowledged ends when the order arrives, not when it answers.
    if (options_.model_vms) std::get<jobs::RenewLeaseOrder>(next.order.order).acknowledged_ends = 0;
    After(std::min<Micros>(renewal->max_wait_ms, 100) * kMillisecond,
          [this, next] { ExecuteOrder(next); });
    return;
  }
  ReplyInTime(transit, reply);
}

void JobCluster::Reply(std::size_t node, std::uint64_t incarnation, std::uint64_t token,
                       jobs::OrderReply reply, Micros delay) {
  After(delay, [this, node, incarnation, token, reply = std::move(reply)]() mutable {
    Deliver(node, incarnation, jobs::OrderEvent{.token = token, .reply = std::move(reply)});
  });
}

void JobCluster::CheckStart(const FakeWorker& worker, const OrderInTransit& transit,
                            const jobs::StartOrder& order) {
  const std::string task = jobs::FormatTask(order.task) + " run " + std::to_string(order.run);
  const std::string late =
      transit.late ? ", sent at " + std::to_string(transit.sent / kMillisecond) : "";
  Log(worker.record().id + " starts " + task + late);
  for (auto& [id, other] : workers_) {
    if (&other == &worker || !other.alive) continue;
    other.Advance(now_);
    if (other.running().contains(order.task)) {
      std::string what = task;
      what.append(" on ").append(worker.record().id).append(" runs on ").append(id).append(" too");
      AddViolation(std::move(what));
    }
  }
  if (done_.contains(order.task)) AddViolation(task + " starts after it was acknowledged as done");
  const auto closed = closed_jobs_.find(order.task.job);
  if (closed != closed_jobs_.end() && transit.sent > closed->second + kSecond) {
    AddViolation(task +
                 " is sent over a second after its job was reported as completed or cancelled");
  }
  const auto zone = closed_zones.find(worker.record().zone);
  if (zone != closed_zones.end() && transit.sent > zone->second) {
    AddViolation(task + " is sent to " + worker.record().id + " in " + zone->first +
                 ", which is evacuated");
  }
  starts_[order.task][order.run] = now_;
}

void JobCluster::CheckAcknowledgedEnd(const FakeWorker& worker, const jobs::EndedRun& end) {
  Log(worker.record().id + " receives the acknowledgement that " + jobs::FormatTask(end.task) +
      " run " + std::to_string(end.run) + " is done");
  for (const auto& [run, time] : starts_[end.task]) {
    if (run == end.run || time <= worker.EndTime(end.number)) continue;
    AddViolation(jobs::FormatTask(end.task) + " run " + std::to_string(end.run) + " on " +
                 worker.record().id + " is acknowledged as done after run " + std::to_string(run) +
                 " began");
  }
}

void JobCluster::SendVmOrder(std::size_t node, const jobs::VmEffect& effect) {
  const std::uint64_t incarnation = slots_[node].incarnation;
  if (options_.model_vms) return ExecuteVmOrder(node, incarnation, effect, 0);
  jobs::VmReply reply{.outcome = jobs::VmOutcome::kDone};
  if (const auto* maintain = std::get_if<jobs::MaintainVm>(&effect.order)) {
    MaintainOnce(*maintain);
  } else {
    for (const auto& [id, worker] : workers_) {
      if (!worker.alive) continue;
      reply.vms.push_back({.vm = worker.record().vm,
                           .pool = worker.record().service,
                           .zone = worker.record().zone,
                           .capacity = worker.record().capacity,
                           .worker = id});
    }
  }
  if (options_.lost_vm_answers > 0 && Chance(options_.lost_vm_answers)) {
    reply = {.outcome = jobs::VmOutcome::kUnknown};
  }
  After(5 * kMillisecond,
        [this, node, incarnation, token = effect.token, reply = std::move(reply)] {
          Deliver(node, incarnation, jobs::VmEvent{.token = token, .reply = reply});
        });
}

void JobCluster::MaintainOnce(const jobs::MaintainVm& order) {
  if (maintained_.contains({order.wave, order.vm})) return;  // already maintained in this wave
  RecordMaintenance(order);
  for (auto& [id, worker] : workers_) {
    if (worker.record().vm != order.vm || worker.vm_down) continue;
    worker.alive = false;
    worker.vm_down = true;
    const jobs::WorkerRecord old = worker.record();
    After(kMaintenanceTime, [this, old] { AddWorker(old.service, old.capacity, old.vm); });
    break;
  }
}

void JobCluster::RecordMaintenance(const jobs::MaintainVm& order) {
  maintained_.emplace(order.wave, order.vm);
  maintained.push_back(order.vm);
  const auto bound = wave_bounds.find(order.wave);
  if (bound != wave_bounds.end() && being_maintained_[order.wave] >= bound->second) {
    AddViolation("maintenance of " + order.vm + " begins while " + std::to_string(bound->second) +
                 " VMs of its wave are down");
  }
  ++being_maintained_[order.wave];
  After(kMaintenanceTime, [this, wave = order.wave] { --being_maintained_[wave]; });
}

void JobCluster::LoseAllPower() {
  ++power_losses;
  log_.push_back(std::to_string(now_ / kMillisecond) + " all core nodes lose power");
  for (std::size_t node = 0; node < options_.cores; ++node) {
    LosePower(node);
    After(500 * kMillisecond, [this, node] { Start(node); });
  }
}

}  // namespace godwitpaddle::testing

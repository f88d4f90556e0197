#include "tests/fake_backend.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace godwitpaddle::testing {
namespace {

constexpr Micros kAnnouncePeriod = 1 * kSecond;
constexpr Micros kAnnounceRetry = 100 * kMillisecond;  // after a refusal or without an answer
constexpr Micros kNetworkDelay = 1 * kMillisecond;
// Specified bound on new tasks for a server after it has announced that it leaves.
constexpr Micros kLeavingGrace = 2 * kSecond;

}  // namespace

std::string Job::Body() const {
  return nlohmann::json{{"id", id}, {"team", team}, {"once", once}, {"run_ms", run_ms}}.dump();
}

Job Job::FromBody(const std::string& body) {
  const auto json = nlohmann::json::parse(body);
  return {.id = json.at("id"),
          .team = json.at("team"),
          .once = json.at("once"),
          .run_ms = json.at("run_ms")};
}

void FakeBackend::AddServer(const VmId& vm, const PoolId& pool, const std::string& rack,
                            const std::string& zone, int slots) {
  servers_[vm] = {.vm = vm, .pool = pool, .rack = rack, .zone = zone, .slots = slots};
  cluster_.After(static_cast<Micros>(UniformBelow(cluster_.rng(), kAnnouncePeriod)),
                 [this, vm] { Announce(vm); });
}

void FakeBackend::Announce(const VmId& vm) {
  FakeServer& server = servers_.at(vm);
  const std::uint64_t sequence = ++server.announcements;
  cluster_.After(kAnnouncePeriod, [this, vm, sequence] {
    if (servers_.at(vm).announcements == sequence) Announce(vm);
  });
  if (!server.up || server.silent_until > cluster_.now()) return;
  const bool leaving = server.leaving_since > 0;
  nlohmann::json tasks = nlohmann::json::array();
  for (const auto& [id, task] : server.tasks) {
    tasks.push_back({{"id", id}, {"cores", 1}, {"memory_mb", 100}});
  }
  const nlohmann::json body = {{"server", vm},
                               {"incarnation", vm + "-" + std::to_string(server.incarnation)},
                               {"sequence", sequence},
                               {"vm", vm},
                               {"rack", server.rack},
                               {"zone", server.zone},
                               {"service", server.pool},
                               {"address", server.address()},
                               {"slots", server.slots},
                               {"connections", 64},
                               {"cores", 64},
                               {"memory_mb", 128'000},
                               {"accelerators", 0},
                               {"state", leaving ? "leaving" : "ready"},
                               {"tasks", tasks}};
  const std::size_t node = UniformBelow(cluster_.rng(), cluster_.size());
  cluster_.Http(node, {.method = "POST", .path = "/v1/servers", .body = body.dump()},
                [this, vm, leaving, sequence](const std::optional<RespondEffect>& response) {
                  FakeServer& announced = servers_.at(vm);
                  if (!response || response->status != 200) {
                    cluster_.After(kAnnounceRetry, [this, vm, sequence] {
                      if (servers_.at(vm).announcements == sequence) Announce(vm);
                    });
                    return;
                  }
                  if (leaving && announced.leaving_since > 0 && announced.leave_accepted == 0) {
                    announced.leave_accepted = cluster_.now();
                  }
                  const auto json = nlohmann::json::parse(response->body);
                  announced.epoch =
                      std::max(announced.epoch, json.at("epoch").get<std::uint64_t>());
                  const Micros lease = json.at("lease_ms").get<Micros>() * kMillisecond;
                  for (const std::string id : json.at("renewed")) {
                    const auto task = announced.tasks.find(id);
                    if (task == announced.tasks.end()) continue;
                    task->second.lease_until = cluster_.now() + lease;
                    cluster_.After(lease, [this, vm, id] { ExpireLease(vm, id); });
                  }
                });
}

void FakeBackend::StartTask(std::size_t node, const StartTaskEffect& start) {
  const std::uint64_t incarnation = cluster_.incarnation(node);
  const auto delay =
      kNetworkDelay + static_cast<Micros>(UniformBelow(cluster_.rng(), kNetworkDelay));
  cluster_.After(delay,
                 [this, node, incarnation, start] { ReceiveStart(node, incarnation, start); });
  cluster_.After(start.timeout_ms * kMillisecond, [this, node, incarnation, id = start.task_id] {
    cluster_.Deliver(node, incarnation,
                     TaskEvent{.task_id = id, .end = TransferEnd::kBroken, .error = "timeout"});
  });
}

void FakeBackend::ReportEnd(std::size_t node, std::uint64_t incarnation, TaskEvent event) {
  cluster_.After(kNetworkDelay, [this, node, incarnation, event = std::move(event)] {
    cluster_.Deliver(node, incarnation, event);
  });
}

void FakeBackend::ReceiveStart(std::size_t node, std::uint64_t incarnation,
                               const StartTaskEffect& start) {
  const auto found = std::find_if(servers_.begin(), servers_.end(), [&start](const auto& entry) {
    return entry.second.address() == start.address;
  });
  FakeServer& server = found->second;
  TaskEvent event{.task_id = start.task_id};
  if (!server.up) {
    event.end = TransferEnd::kNotSent;
    event.error = "connection refused";
    return ReportEnd(node, incarnation, event);
  }
  const std::uint64_t epoch = std::stoull(start.headers.at("X-Epoch"));
  if (epoch < server.epoch || server.refuses_everything) {
    event.status = 409;
    event.not_run = true;
    return ReportEnd(node, incarnation, event);
  }
  const Job job = Job::FromBody(start.body);
  CheckStart(server, job, start.task_id);
  ++starts_[job.id];
  start_log_[job.id] += " " + start.task_id + "@" + std::to_string(cluster_.now());
  ++total_starts_;
  if (server.fails_everything) {
    event.status = 500;
    return ReportEnd(node, incarnation, event);
  }
  ++running_[job.team];
  const Micros lease = std::stoll(start.headers.at("X-Lease-Ms")) * kMillisecond;
  server.tasks[start.task_id] = {
      .job = job, .node = node, .incarnation = incarnation, .lease_until = cluster_.now() + lease};
  cluster_.After(lease, [this, vm = server.vm, id = start.task_id] { ExpireLease(vm, id); });
  cluster_.After(job.run_ms * kMillisecond, [this, vm = server.vm, id = start.task_id,
                                             body = start.body] {
    EndTask(servers_.at(vm), id,
            {.task_id = id, .status = 200, .content_type = "text/plain", .body = "answer " + body});
  });
}

void FakeBackend::CheckStart(const FakeServer& server, const Job& job, const std::string& task_id) {
  const std::string detail = " (task " + task_id + " at " + std::to_string(cluster_.now()) + ")";
  const auto limit = limits_.find(job.team);
  if (limit != limits_.end() && RunningOf(job.team) + 1 > limit->second) {
    AddViolation("team " + job.team + " is over its limit at " + std::to_string(cluster_.now()));
  }
  if (static_cast<int>(server.tasks.size()) + 1 > server.slots) {
    AddViolation("server " + server.vm + " is over its slots at " + std::to_string(cluster_.now()));
  }
  if (job.once && StartsOf(job.id) > 0) AddViolation("request " + job.id + " started twice");
  // If the announcements of a leaving server are lost, owners notice only its silence.
  const bool accepted =
      server.leave_accepted > 0 && cluster_.now() > server.leave_accepted + kLeavingGrace;
  const bool silent = server.leaving_since > 0 &&
                      cluster_.now() > server.leaving_since + kServerSilence + kLeavingGrace;
  if (accepted || silent) {
    AddViolation("leaving server " + server.vm + " got a new task" + detail + " accepted " +
                 std::to_string(server.leave_accepted) + " since " +
                 std::to_string(server.leaving_since));
  }
}

void FakeBackend::EndTask(FakeServer& server, const std::string& task_id, TaskEvent event) {
  const auto task = server.tasks.find(task_id);
  if (task == server.tasks.end()) return;
  --running_[task->second.job.team];
  ReportEnd(task->second.node, task->second.incarnation, std::move(event));
  server.tasks.erase(task);
}

void FakeBackend::ExpireLease(const VmId& vm, const std::string& task_id) {
  FakeServer& server = servers_.at(vm);
  const auto task = server.tasks.find(task_id);
  if (task == server.tasks.end() || task->second.lease_until > cluster_.now()) return;
  EndTask(server, task_id,
          {.task_id = task_id, .end = TransferEnd::kBroken, .error = "lease expired"});
}

void FakeBackend::OrderTask(std::size_t /*node*/, const OrderTaskEffect& order) {
  cluster_.After(kNetworkDelay, [this, order] {
    for (auto& [vm, server] : servers_) {
      if (server.address() != order.address) continue;
      if (order.kind == TaskOrderKind::kStop) {
        EndTask(server, order.task_id,
                {.task_id = order.task_id, .end = TransferEnd::kBroken, .error = "stopped"});
      } else if (order.kind == TaskOrderKind::kCheckpoint) {
        EndTask(server, order.task_id,
                {.task_id = order.task_id, .status = 202, .checkpointed = true});
      }
    }
  });
}

void FakeBackend::Crash(const VmId& vm, Micros down) {
  FakeServer& server = servers_.at(vm);
  std::vector<std::string> tasks;
  for (const auto& [id, task] : server.tasks) tasks.push_back(id);
  for (const std::string& id : tasks) {
    EndTask(server, id, {.task_id = id, .end = TransferEnd::kBroken, .error = "connection reset"});
  }
  server.up = false;
  ++server.incarnation;
  const int incarnation = server.incarnation;
  cluster_.After(down, [this, vm, incarnation] {
    FakeServer& back = servers_.at(vm);
    if (back.incarnation == incarnation) back.up = true;
  });
}

void FakeBackend::CallPlatform(std::size_t node, const PlatformCall& call) {
  const std::uint64_t incarnation = cluster_.incarnation(node);
  PlatformEvent event{.operation_id = call.operation_id, .state = PlatformState::kUnreachable};
  if (UniformUnit(cluster_.rng()) >= platform_failures_) {
    const auto [operation, inserted] =
        operations_.try_emplace(call.operation_id, Operation{.call = call});
    if (inserted) StartOperation(call);
    event.state = operation->second.state;
  }
  cluster_.After(5 * kMillisecond,
                 [this, node, incarnation, event] { cluster_.Deliver(node, incarnation, event); });
}

void FakeBackend::StartOperation(const PlatformCall& call) {
  FakeServer& server = servers_.at(call.vm);
  if (!server.tasks.empty()) AddViolation("planned stop of " + call.vm + " interrupts a request");
  int pool_size = 0;
  int stopped = 0;
  for (const auto& [vm, other] : servers_) {
    pool_size += other.pool == server.pool ? 1 : 0;
  }
  for (const auto& [id, operation] : operations_) {
    const bool running = operation.state == PlatformState::kRunning;
    stopped += running && servers_.at(operation.call.vm).pool == server.pool ? 1 : 0;
  }
  if (pool_size - stopped < min_available_[server.pool]) {
    std::string detail = " size=" + std::to_string(pool_size) + " stopping=" + call.operation_id;
    for (const auto& [id, operation] : operations_) {
      if (operation.state == PlatformState::kRunning) {
        detail += " running=" + id + "@" + operation.call.vm;
      }
    }
    AddViolation("planned stops take pool " + server.pool + " below min_available at " +
                 std::to_string(cluster_.now()) + detail);
  }
  ++reboots_;
  const auto down = 2 * kSecond + static_cast<Micros>(UniformBelow(cluster_.rng(), 3 * kSecond));
  Crash(call.vm, down);
  cluster_.After(down, [this, call] {
    FakeServer& back = servers_.at(call.vm);
    if (call.action == "move") back.pool = call.pool;
    back.leaving_since = back.leave_accepted = 0;
    operations_.at(call.operation_id).state = PlatformState::kDone;
  });
}

int FakeBackend::StartsOf(const std::string& job) const {
  const auto starts = starts_.find(job);
  return starts == starts_.end() ? 0 : starts->second;
}

int FakeBackend::RunningOf(const TeamId& team) const {
  const auto running = running_.find(team);
  return running == running_.end() ? 0 : running->second;
}

}  // namespace godwitpaddle::testing

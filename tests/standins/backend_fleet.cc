#include "tests/standins/backend_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace godwitpaddle::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMailboxCapacity = 65'536;
constexpr Micros kAnnounceRetryDelay = 200 * kMillisecond;
constexpr std::int64_t kAnnounceTimeoutMs = 1'000;
constexpr Micros kMinAnnounceDelay = 20 * kMillisecond;
constexpr Micros kLeaveCheckPeriod = 20 * kMillisecond;
constexpr std::int64_t kDefaultLeaseMs = 5'000;

std::int64_t HeaderNumber(const HttpEvent& request, const std::string& name,
                          std::int64_t fallback) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? fallback : std::stoll(found->second);
}

std::string HeaderText(const HttpEvent& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

RespondEffect NotRunResponse(int status, const std::string& error) {
  return {.status = status,
          .headers = {{"X-Not-Run", "true"}},
          .body = Json({{"error", error}}).dump()};
}

RespondEffect JsonResponse(int status, const Json& body) {
  return {.status = status, .body = body.dump() + "\n"};
}

}  // namespace

struct BackendFleet::RunningTask {
  std::uint64_t connection = 0;
  std::size_t record_index = 0;
  Json body;
  std::string raw_body;
  std::string failure_mode;
  Micros ends_at = 0;
  Timers::Id finish_timer = 0;
  Timers::Id lease_timer = 0;
};

struct BackendFleet::Backend {
  BackendSpec spec;
  std::uint64_t incarnation_number = 0;
  std::string incarnation;
  std::unique_ptr<HttpServer> server;  // null while the VM is down
  std::uint64_t epoch = 0;
  bool leaving = false;
  bool leave_accepted = false;  // a gateway accepted the announcement that the server leaves
  bool silent = false;
  std::string failure_mode;
  std::size_t gateway_index = 0;
  Timers::Id announce_timer = 0;
  std::map<std::string, RunningTask> tasks;
};

BackendFleet::BackendFleet(BackendFleetOptions options)
    : Task("backends", kMailboxCapacity),
      options_(std::move(options)),
      records_(options_.record_file) {
  client_.Start();
  for (const BackendSpec& spec : options_.specs) {
    backends_.push_back(std::make_unique<Backend>());
    backends_.back()->spec = spec;
    // Servers begin with different gateways, so that their announcements spread over all of them.
    backends_.back()->gateway_index = backends_.size();
    StartServer(*backends_.back());
  }
  control_ = std::make_unique<HttpServer>(
      HttpServerOptions{.address = options_.control_address},
      HttpServer::Handlers{.deliver = [this](HttpEvent event) {
        return mailbox().TryPush([this, event = std::move(event)] { Control(event); });
      }});
}

BackendFleet::~BackendFleet() {
  control_->Stop(0);
  Stop();
  client_.Stop();
}

void BackendFleet::StartServer(Backend& backend) {
  ++backend.incarnation_number;
  backend.incarnation = backend.spec.server + "-" + std::to_string(options_.seed) + "-" +
                        std::to_string(backend.incarnation_number);
  backend.epoch = 0;
  backend.server = std::make_unique<HttpServer>(
      HttpServerOptions{.address = backend.spec.address},
      HttpServer::Handlers{
          .deliver = [this, &backend, number = backend.incarnation_number](HttpEvent event) {
            return mailbox().TryPush([this, &backend, number, event = std::move(event)] {
              if (backend.incarnation_number == number && backend.server) Serve(backend, event);
            });
          }});
  ScheduleAnnouncement(backend, 0);
}

void BackendFleet::StopServer(Backend& backend) {
  while (!backend.tasks.empty()) {
    records_.AddViolation("cut_off");
    const std::string task = backend.tasks.begin()->first;
    EndTask(backend, task, "cut_off", {.status = kCloseWithoutResponse});
  }
  timers().Cancel(backend.announce_timer);
  backend.server.reset();
}

void BackendFleet::TakeDown(Backend& backend, Micros duration) {
  if (backend.server) StopServer(backend);
  timers().Schedule(MonotonicNow() + duration, [this, &backend] {
    if (!backend.server) StartServer(backend);
  });
}

// ---- announcements ----

void BackendFleet::ScheduleAnnouncement(Backend& backend, Micros delay) {
  timers().Cancel(backend.announce_timer);
  backend.announce_timer =
      timers().Schedule(MonotonicNow() + delay, [this, &backend] { Announce(backend); });
}

void BackendFleet::Announce(Backend& backend) {
  if (options_.gateways.empty() || backend.silent) {
    ScheduleAnnouncement(backend, kSecond);
    return;
  }
  const BackendSpec& spec = backend.spec;
  Json tasks = Json::array();
  for (const auto& [id, running] : backend.tasks) {
    tasks.push_back({{"id", id},
                     {"cores", running.body.value("cores", 0.0)},
                     {"memory_mb", running.body.value("memory_mb", 0)}});
  }
  const Json body = {{"server", spec.server},
                     {"incarnation", backend.incarnation},
                     {"vm", spec.vm},
                     {"rack", spec.rack},
                     {"zone", spec.zone},
                     {"service", spec.service},
                     {"address", spec.address},
                     {"slots", spec.slots},
                     {"connections", spec.connections},
                     {"cores", spec.cores},
                     {"memory_mb", spec.memory_mb},
                     {"accelerators", spec.accelerators},
                     {"state", backend.leaving ? "leaving" : "ready"},
                     {"tasks", tasks}};
  const std::string& gateway = options_.gateways[backend.gateway_index % options_.gateways.size()];
  const auto done = [this, &backend, number = backend.incarnation_number,
                     leaving = backend.leaving](HttpResult result) {
    mailbox().ForcePush([this, &backend, number, leaving, result = std::move(result)] {
      if (backend.incarnation_number != number || !backend.server) return;
      backend.leave_accepted = backend.leave_accepted || (leaving && result.status == 200);
      OnAnnounceReply(backend, result);
    });
  };
  client_.mailbox().Push({.method = "POST",
                          .url = "http://" + gateway + "/v1/servers",
                          .headers = {{"Content-Type", "application/json"}},
                          .body = body.dump(),
                          .timeout_ms = kAnnounceTimeoutMs,
                          .done = done});
}

void BackendFleet::OnAnnounceReply(Backend& backend, const HttpResult& result) {
  const Json reply = Json::parse(result.body, nullptr, false);
  if (result.status != 200 || !reply.is_object()) {
    ++backend.gateway_index;
    ScheduleAnnouncement(backend, kAnnounceRetryDelay);
    return;
  }
  backend.epoch = std::max(backend.epoch, reply.value("epoch", std::uint64_t{0}));
  const Micros lease = reply.value("lease_ms", kDefaultLeaseMs) * kMillisecond;
  for (const Json& task : reply.value("renewed", Json::array())) {
    RenewLease(backend, task.get<std::string>(), lease);
  }
  const Micros after = reply.value("announce_after_ms", std::int64_t{1'000}) * kMillisecond;
  ScheduleAnnouncement(backend, std::max(kMinAnnounceDelay, after));
}

void BackendFleet::RenewLease(Backend& backend, const std::string& task, Micros lease) {
  const auto found = backend.tasks.find(task);
  if (found == backend.tasks.end()) return;
  timers().Cancel(found->second.lease_timer);
  found->second.lease_timer = timers().Schedule(MonotonicNow() + lease, [this, &backend, task] {
    EndTask(backend, task, "lapsed", {.status = kCloseWithoutResponse});
  });
}

// ---- tasks ----

void BackendFleet::Serve(Backend& backend, const HttpEvent& request) {
  const std::string prefix = "/tasks/";
  std::string task;
  std::string order;
  if (request.path.starts_with(prefix)) {
    task = request.path.substr(prefix.size());
    if (const auto slash = task.find('/'); slash != std::string::npos) {
      order = task.substr(slash + 1);
      task.resize(slash);
    }
  }
  if (request.method == "DELETE") order = "stop";
  if (task.empty()) {
    RespondEffect response = JsonResponse(404, {{"error", "no such path"}});
    response.connection = request.connection;
    backend.server->Respond(std::move(response));
  } else if (order.empty()) {
    StartTask(backend, task, request);
  } else {
    OrderTask(backend, task, order, request.connection);
  }
}

std::optional<RespondEffect> BackendFleet::RefuseTask(Backend& backend, const std::string& task,
                                                      const HttpEvent& request) {
  const auto epoch = static_cast<std::uint64_t>(HeaderNumber(request, "x-epoch", 0));
  if (epoch < backend.epoch) return NotRunResponse(409, "old_epoch");
  backend.epoch = epoch;
  if (backend.tasks.contains(task)) {
    records_.AddViolation("task_sent_twice");
    return NotRunResponse(409, "running");
  }
  if (backend.leaving) return NotRunResponse(503, "leaving");
  if (backend.tasks.size() >= static_cast<std::size_t>(backend.spec.slots)) {
    records_.AddViolation("more_tasks_than_slots");
    return NotRunResponse(503, "full");
  }
  return std::nullopt;
}

void BackendFleet::StartTask(Backend& backend, const std::string& task, const HttpEvent& request) {
  if (auto refusal = RefuseTask(backend, task, request)) {
    records_.AddRefusal(Json::parse(refusal->body)["error"]);
    refusal->connection = request.connection;
    backend.server->Respond(std::move(*refusal));
    return;
  }
  RunningTask running{.connection = request.connection, .raw_body = request.body};
  running.body = Json::parse(request.body, nullptr, false);
  if (!running.body.is_object()) running.body = Json::object();
  running.failure_mode =
      backend.failure_mode.empty() ? running.body.value("fail", "") : backend.failure_mode;
  running.ends_at = MonotonicNow() + running.body.value("run_ms", 0) * kMillisecond;
  running.record_index = records_.AddStart({.task = task,
                                            .request = HeaderText(request, "x-request-id"),
                                            .server = backend.spec.server,
                                            .incarnation = backend.incarnation,
                                            .started = WallNow()});
  if (running.failure_mode != "hang") {
    running.finish_timer =
        timers().Schedule(running.ends_at, [this, &backend, task] { FinishTask(backend, task); });
  }
  backend.tasks.emplace(task, std::move(running));
  RenewLease(backend, task, HeaderNumber(request, "x-lease-ms", kDefaultLeaseMs) * kMillisecond);
}

void BackendFleet::FinishTask(Backend& backend, const std::string& task) {
  const RunningTask& running = backend.tasks.at(task);
  if (running.failure_mode == "500") {
    EndTask(backend, task, "failed", JsonResponse(500, {{"error", "injected failure"}}));
  } else if (running.failure_mode == "reset") {
    EndTask(backend, task, "reset", {.status = kCloseWithoutResponse});
  } else {
    // The answer contains the request's body as text, since it may not be valid JSON.
    const Json answer = {
        {"task_id", task}, {"server", backend.spec.server}, {"body", running.raw_body}};
    EndTask(backend, task, "done",
            {.body = answer.dump(-1, ' ', false, Json::error_handler_t::replace)});
  }
}

void BackendFleet::EndTask(Backend& backend, const std::string& task, const std::string& end,
                           RespondEffect response) {
  const auto found = backend.tasks.find(task);
  if (found == backend.tasks.end()) return;
  timers().Cancel(found->second.finish_timer);
  timers().Cancel(found->second.lease_timer);
  records_.RecordEnd(found->second.record_index, end, WallNow());
  response.connection = found->second.connection;
  backend.tasks.erase(found);
  backend.server->Respond(std::move(response));
}

void BackendFleet::OrderTask(Backend& backend, const std::string& task, const std::string& order,
                             std::uint64_t connection) {
  RespondEffect answer = JsonResponse(200, {{"order", order}});
  answer.connection = connection;
  const auto found = backend.tasks.find(task);
  if (found == backend.tasks.end()) {
    answer.status = 404;
  } else if (order == "stop") {
    EndTask(backend, task, "stopped", JsonResponse(503, {{"error", "stopped"}}));
  } else if (order == "checkpoint") {
    RespondEffect checkpointed = JsonResponse(503, {{"error", "checkpointed"}});
    checkpointed.headers["X-Checkpointed"] = "true";
    EndTask(backend, task, "checkpointed", std::move(checkpointed));
  } else if (order == "throttle" && found->second.finish_timer != 0) {
    // Halves the speed for the remaining run time.
    RunningTask& running = found->second;
    const Micros now = MonotonicNow();
    timers().Cancel(running.finish_timer);
    running.ends_at = now + 2 * std::max<Micros>(0, running.ends_at - now);
    running.finish_timer =
        timers().Schedule(running.ends_at, [this, &backend, task] { FinishTask(backend, task); });
  }
  backend.server->Respond(std::move(answer));
}

// ---- control ----

void BackendFleet::Control(const HttpEvent& request) {
  RespondEffect response;
  try {
    response = AnswerControl(request);
  } catch (const std::exception& error) {
    response = JsonResponse(400, {{"error", error.what()}});
  }
  response.connection = request.connection;
  control_->Respond(std::move(response));
}

RespondEffect BackendFleet::AnswerControl(const HttpEvent& request) {
  if (request.path == "/stats") return {.body = records_.Report(false)};
  if (request.path == "/starts") return {.body = records_.Report(true)};
  const Json order = Json::parse(request.body);
  int changed = 0;
  for (const auto& backend : backends_) {
    if (request.path == "/control/vms" && backend->spec.vm == order.at("vm")) {
      if (order.contains("service")) backend->spec.service = order.at("service");
      TakeDown(*backend, order.value("away_ms", 500) * kMillisecond);
      ++changed;
    } else if (request.path == "/control/failing" && backend->spec.server == order.at("server")) {
      backend->failure_mode = order.at("mode");
      ++changed;
    } else if (request.path == "/control/silent" && backend->spec.server == order.at("server")) {
      backend->silent = order.at("silent");
      ++changed;
    }
  }
  return JsonResponse(changed > 0 ? 200 : 404, {{"changed", changed}});
}

void BackendFleet::Leave(std::function<void()> on_left) {
  mailbox().ForcePush([this, on_left = std::move(on_left)] {
    on_left_ = on_left;
    for (const auto& backend : backends_) {
      backend->leaving = true;
      if (backend->server) ScheduleAnnouncement(*backend, 0);
    }
    CheckLeaveComplete();
  });
}

void BackendFleet::CheckLeaveComplete() {
  const bool complete = std::ranges::all_of(backends_, [](const auto& backend) {
    return !backend->server || (backend->leave_accepted && backend->tasks.empty());
  });
  if (complete) {
    on_left_();
  } else {
    timers().Schedule(MonotonicNow() + kLeaveCheckPeriod, [this] { CheckLeaveComplete(); });
  }
}

}  // namespace godwitpaddle::standins

#include "tests/standins/backend_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace godwitpaddle::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMailboxCapacity = 65'536;
constexpr Micros kAnnounceRetry = 200 * kMillisecond;
constexpr std::int64_t kAnnounceTimeoutMs = 1'000;
constexpr Micros kShortestAnnounce = 20 * kMillisecond;
constexpr Micros kCheckLeftPeriod = 20 * kMillisecond;
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

RespondEffect NotRun(int status, const std::string& error) {
  return {.status = status,
          .headers = {{"X-Not-Run", "true"}},
          .body = Json({{"error", error}}).dump()};
}

RespondEffect Plain(int status, const Json& body) {
  return {.status = status, .body = body.dump() + "\n"};
}

}  // namespace

struct BackendFleet::Running {
  std::uint64_t connection = 0;
  std::size_t record = 0;
  Json body;
  std::string text;
  std::string fail;
  Micros ends_at = 0;
  Timers::Id finish = 0;
  Timers::Id lapse = 0;
};

struct BackendFleet::Backend {
  BackendSpec spec;
  std::uint64_t life = 0;
  std::string incarnation;
  std::unique_ptr<HttpServer> server;  // empty while the VM is away
  std::uint64_t epoch = 0;
  bool leaving = false;
  bool left = false;  // a gateway took the leaving announcement
  bool silent = false;
  std::string failing;
  std::size_t gateway = 0;
  Timers::Id announce = 0;
  std::map<std::string, Running> tasks;
};

BackendFleet::BackendFleet(BackendFleetOptions options)
    : Task("backends", kMailboxCapacity),
      options_(std::move(options)),
      records_(options_.record_file) {
  client_.Start();
  for (const BackendSpec& spec : options_.specs) {
    backends_.push_back(std::make_unique<Backend>());
    backends_.back()->spec = spec;
    // Servers start at different gateways, and spread their announcements over the second.
    backends_.back()->gateway = backends_.size();
    Open(*backends_.back());
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

void BackendFleet::Open(Backend& backend) {
  ++backend.life;
  backend.incarnation = backend.spec.server + "-" + std::to_string(options_.seed) + "-" +
                        std::to_string(backend.life);
  backend.epoch = 0;
  backend.server = std::make_unique<HttpServer>(
      HttpServerOptions{.address = backend.spec.address},
      HttpServer::Handlers{.deliver = [this, &backend, life = backend.life](HttpEvent event) {
        return mailbox().TryPush([this, &backend, life, event = std::move(event)] {
          if (backend.life == life && backend.server) Serve(backend, event);
        });
      }});
  AnnounceAfter(backend, 0);
}

void BackendFleet::Close(Backend& backend) {
  while (!backend.tasks.empty()) {
    records_.Violation("cut_off");
    const std::string task = backend.tasks.begin()->first;
    End(backend, task, "cut_off", {.status = kCloseWithoutResponse});
  }
  timers().Cancel(backend.announce);
  backend.server.reset();
}

void BackendFleet::Away(Backend& backend, Micros duration) {
  if (backend.server) Close(backend);
  timers().At(MonotonicNow() + duration, [this, &backend] {
    if (!backend.server) Open(backend);
  });
}

// ---- announcements ----

void BackendFleet::AnnounceAfter(Backend& backend, Micros delay) {
  timers().Cancel(backend.announce);
  backend.announce = timers().At(MonotonicNow() + delay, [this, &backend] { Announce(backend); });
}

void BackendFleet::Announce(Backend& backend) {
  if (options_.gateways.empty() || backend.silent) {
    AnnounceAfter(backend, kSecond);
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
  const std::string& gateway = options_.gateways[backend.gateway % options_.gateways.size()];
  const auto done = [this, &backend, life = backend.life,
                     leaving = backend.leaving](HttpResult result) {
    mailbox().ForcePush([this, &backend, life, leaving, result = std::move(result)] {
      if (backend.life != life || !backend.server) return;
      backend.left = backend.left || (leaving && result.status == 200);
      Announced(backend, result);
    });
  };
  client_.mailbox().Push({.method = "POST",
                          .url = "http://" + gateway + "/v1/servers",
                          .headers = {{"Content-Type", "application/json"}},
                          .body = body.dump(),
                          .timeout_ms = kAnnounceTimeoutMs,
                          .done = done});
}

void BackendFleet::Announced(Backend& backend, const HttpResult& result) {
  const Json reply = Json::parse(result.body, nullptr, false);
  if (result.status != 200 || !reply.is_object()) {
    ++backend.gateway;
    AnnounceAfter(backend, kAnnounceRetry);
    return;
  }
  backend.epoch = std::max(backend.epoch, reply.value("epoch", std::uint64_t{0}));
  const Micros lease = reply.value("lease_ms", kDefaultLeaseMs) * kMillisecond;
  for (const Json& task : reply.value("renewed", Json::array())) {
    Renew(backend, task.get<std::string>(), lease);
  }
  const Micros after = reply.value("announce_after_ms", std::int64_t{1'000}) * kMillisecond;
  AnnounceAfter(backend, std::max(kShortestAnnounce, after));
}

void BackendFleet::Renew(Backend& backend, const std::string& task, Micros lease) {
  const auto found = backend.tasks.find(task);
  if (found == backend.tasks.end()) return;
  timers().Cancel(found->second.lapse);
  found->second.lapse = timers().At(MonotonicNow() + lease, [this, &backend, task] {
    End(backend, task, "lapsed", {.status = kCloseWithoutResponse});
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
    RespondEffect response = Plain(404, {{"error", "no such path"}});
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
  if (epoch < backend.epoch) return NotRun(409, "old_epoch");
  backend.epoch = epoch;
  if (backend.tasks.contains(task)) {
    records_.Violation("task_sent_twice");
    return NotRun(409, "running");
  }
  if (backend.leaving) return NotRun(503, "leaving");
  if (backend.tasks.size() >= static_cast<std::size_t>(backend.spec.slots)) {
    records_.Violation("more_tasks_than_slots");
    return NotRun(503, "full");
  }
  return std::nullopt;
}

void BackendFleet::StartTask(Backend& backend, const std::string& task, const HttpEvent& request) {
  if (auto refusal = RefuseTask(backend, task, request)) {
    records_.Refused(Json::parse(refusal->body)["error"]);
    refusal->connection = request.connection;
    backend.server->Respond(std::move(*refusal));
    return;
  }
  Running running{.connection = request.connection, .text = request.body};
  running.body = Json::parse(request.body, nullptr, false);
  if (!running.body.is_object()) running.body = Json::object();
  running.fail = backend.failing.empty() ? running.body.value("fail", "") : backend.failing;
  running.ends_at = MonotonicNow() + running.body.value("run_ms", 0) * kMillisecond;
  running.record = records_.Start({.task = task,
                                   .request = HeaderText(request, "x-request-id"),
                                   .server = backend.spec.server,
                                   .incarnation = backend.incarnation,
                                   .started = WallNow()});
  if (running.fail != "hang") {
    running.finish =
        timers().At(running.ends_at, [this, &backend, task] { Finish(backend, task); });
  }
  backend.tasks.emplace(task, std::move(running));
  Renew(backend, task, HeaderNumber(request, "x-lease-ms", kDefaultLeaseMs) * kMillisecond);
}

void BackendFleet::Finish(Backend& backend, const std::string& task) {
  const Running& running = backend.tasks.at(task);
  if (running.fail == "500") {
    End(backend, task, "failed", Plain(500, {{"error", "failed as told"}}));
  } else if (running.fail == "reset") {
    End(backend, task, "reset", {.status = kCloseWithoutResponse});
  } else {
    // The body goes back as text: it need not be JSON.
    const Json answer = {
        {"task_id", task}, {"server", backend.spec.server}, {"body", running.text}};
    End(backend, task, "done",
        {.body = answer.dump(-1, ' ', false, Json::error_handler_t::replace)});
  }
}

void BackendFleet::End(Backend& backend, const std::string& task, const std::string& end,
                       RespondEffect response) {
  const auto found = backend.tasks.find(task);
  if (found == backend.tasks.end()) return;
  timers().Cancel(found->second.finish);
  timers().Cancel(found->second.lapse);
  records_.End(found->second.record, end, WallNow());
  response.connection = found->second.connection;
  backend.tasks.erase(found);
  backend.server->Respond(std::move(response));
}

void BackendFleet::OrderTask(Backend& backend, const std::string& task, const std::string& order,
                             std::uint64_t connection) {
  RespondEffect answer = Plain(200, {{"order", order}});
  answer.connection = connection;
  const auto found = backend.tasks.find(task);
  if (found == backend.tasks.end()) {
    answer.status = 404;
  } else if (order == "stop") {
    End(backend, task, "stopped", Plain(503, {{"error", "stopped"}}));
  } else if (order == "checkpoint") {
    RespondEffect kept = Plain(503, {{"error", "checkpointed"}});
    kept.headers["X-Checkpointed"] = "true";
    End(backend, task, "checkpointed", std::move(kept));
  } else if (order == "throttle" && found->second.finish != 0) {
    // Half the speed for the rest.
    Running& running = found->second;
    const Micros now = MonotonicNow();
    timers().Cancel(running.finish);
    running.ends_at = now + 2 * std::max<Micros>(0, running.ends_at - now);
    running.finish =
        timers().At(running.ends_at, [this, &backend, task] { Finish(backend, task); });
  }
  backend.server->Respond(std::move(answer));
}

// ---- control ----

void BackendFleet::Control(const HttpEvent& request) {
  RespondEffect response;
  try {
    response = AnswerControl(request);
  } catch (const std::exception& error) {
    response = Plain(400, {{"error", error.what()}});
  }
  response.connection = request.connection;
  control_->Respond(std::move(response));
}

RespondEffect BackendFleet::AnswerControl(const HttpEvent& request) {
  if (request.path == "/stats") return {.body = records_.Json(false)};
  if (request.path == "/starts") return {.body = records_.Json(true)};
  const Json order = Json::parse(request.body);
  int changed = 0;
  for (const auto& backend : backends_) {
    if (request.path == "/control/vms" && backend->spec.vm == order.at("vm")) {
      if (order.contains("service")) backend->spec.service = order.at("service");
      Away(*backend, order.value("away_ms", 500) * kMillisecond);
      ++changed;
    } else if (request.path == "/control/failing" && backend->spec.server == order.at("server")) {
      backend->failing = order.at("mode");
      ++changed;
    } else if (request.path == "/control/silent" && backend->spec.server == order.at("server")) {
      backend->silent = order.at("silent");
      ++changed;
    }
  }
  return Plain(changed > 0 ? 200 : 404, {{"changed", changed}});
}

void BackendFleet::Leave(std::function<void()> left) {
  mailbox().ForcePush([this, left = std::move(left)] {
    left_ = left;
    for (const auto& backend : backends_) {
      backend->leaving = true;
      if (backend->server) AnnounceAfter(*backend, 0);
    }
    CheckLeft();
  });
}

void BackendFleet::CheckLeft() {
  const bool gone = std::ranges::all_of(backends_, [](const auto& backend) {
    return !backend->server || (backend->left && backend->tasks.empty());
  });
  if (gone) {
    left_();
  } else {
    timers().At(MonotonicNow() + kCheckLeftPeriod, [this] { CheckLeft(); });
  }
}

}  // namespace godwitpaddle::standins

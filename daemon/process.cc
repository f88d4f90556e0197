#include "daemon/process.h"

#include <sys/eventfd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>

#include "node/node.h"
#include "replication/storage.h"
#include "runtime/file_descriptor.h"
#include "runtime/http_client.h"
#include "runtime/http_platform.h"
#include "runtime/http_server.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/node_driver.h"
#include "runtime/peer_link.h"
#include "runtime/platform_adapter.h"
#include "runtime/storage_task.h"

namespace godwitpaddle {
namespace {

constexpr std::int64_t kOrderTimeoutMs = 3'000;
constexpr Micros kShutdownGrace = 2 * kSecond;

std::uint64_t RandomBits() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string RandomReplicaId() {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(RandomBits()),
                static_cast<unsigned long long>(RandomBits()));
  return text.data();
}

NodeOptions MakeNodeOptions(const Settings& settings) {
  return {.node = settings.node,
          .region = settings.region,
          .zone = settings.zone,
          .peer_address = settings.peer_address,
          .seed_addresses = settings.seeds,
          .has_disk = settings.data_folder.has_value(),
          .seed = RandomBits(),
          .voter_target = static_cast<int>(settings.voter_target),
          .max_inflight = static_cast<std::size_t>(settings.limits.max_inflight),
          .answer_cache_bytes = static_cast<std::size_t>(settings.limits.answer_cache_mb) << 20U,
          .max_body_bytes = static_cast<std::size_t>(settings.limits.max_body_kb) << 10U,
          .max_deadline_ms = settings.limits.max_deadline_ms};
}

HttpServerOptions MakeServerOptions(const Settings& settings) {
  return {.address = settings.http_address,
          .max_body_bytes = static_cast<std::size_t>(settings.limits.max_body_kb) << 10U,
          .max_buffered_bytes = static_cast<std::size_t>(settings.limits.max_buffered_mb) << 20U,
          .max_connections = static_cast<unsigned>(settings.limits.max_connections)};
}

HttpTransfer MakeTransfer(StartTaskEffect effect) {
  return {.method = "POST",
          .url = "http://" + effect.address + "/tasks/" + effect.task_id,
          .headers = std::move(effect.headers),
          .body = std::move(effect.body),
          .timeout_ms = effect.timeout_ms};
}

HttpTransfer MakeTransfer(const OrderTaskEffect& effect) {
  const bool stop = effect.kind == TaskOrderKind::kStop;
  std::string url = "http://" + effect.address + "/tasks/" + effect.task_id;
  if (!stop) url += "/" + std::string(NameOf(kTaskOrderKindNames, effect.kind));
  return {.method = stop ? "DELETE" : "POST", .url = std::move(url), .timeout_ms = kOrderTimeoutMs};
}

std::string HeaderOf(const HttpResult& result, const std::string& name) {
  const auto found = result.headers.find(name);
  return found == result.headers.end() ? "" : found->second;
}

TaskEvent MakeTaskEvent(const std::string& task, HttpResult result) {
  return {.task_id = task,
          .end = result.end,
          .status = result.status,
          .content_type = HeaderOf(result, "content-type"),
          .not_run = HeaderOf(result, "x-not-run") == "true",
          .checkpointed = HeaderOf(result, "x-checkpointed") == "true",
          .body = std::move(result.body),
          .error = std::move(result.error)};
}

[[noreturn]] void ExitOnStorageError(const std::string& reason) {
  LogEvent(Severity::kError, "storage_failed", {{"reason", reason}});
  FlushLog();
  std::_Exit(EXIT_FAILURE);
}

}  // namespace

struct Process::Impl {
  Metrics metrics;
  FileDescriptor exit_event{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
  std::atomic<int> exit_status{0};
  std::unique_ptr<replication::FileStorage> files;
  std::unique_ptr<Node> node;
  HttpClient client;
  std::unique_ptr<PlatformAdapter> platform;
  std::unique_ptr<StorageTask> storage;
  std::unique_ptr<PeerLink> peers;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<NodeDriver> driver;

  explicit Impl(const Settings& settings);
  void MakeNode(const Settings& settings);
  void MakePlatform(const Settings& settings);
  void MakeStorage();
  void MakeServer(const Settings& settings);
  void AddGauges();
  EffectSinks MakeSinks();
  void Exit(const ExitEffect& effect);
  std::optional<RespondEffect> AnswerMetrics(const HttpEvent& request) const;
};

Process::Impl::Impl(const Settings& settings) {
  MakePlatform(settings);
  MakeNode(settings);
  driver = std::make_unique<NodeDriver>(
      [this](const Event& event, Micros now, WallMs wall) { return node->Step(event, now, wall); },
      MakeSinks());
  MakeStorage();
  peers = std::make_unique<PeerLink>(
      PeerLinkOptions{.address = settings.peer_address,
                      .header = {.group = kFirstGroup, .sender = settings.node},
                      .seed = RandomBits()},
      [this](PeerMessage message) {
        driver->mailbox().Push(PeerEvent{.message = std::move(message)});
      });
  MakeServer(settings);
  AddGauges();
}

void Process::Impl::MakeNode(const Settings& settings) {
  replication::StoredState stored;
  replication::ReplicaId replica;
  if (settings.data_folder) {
    files = std::make_unique<replication::FileStorage>(*settings.data_folder);
    stored = files->TakeStored();
    replica = files->replica_id();
  } else {
    replica = RandomReplicaId();
  }
  node = std::make_unique<Node>(MakeNodeOptions(settings), replica, std::move(stored),
                                MonotonicNow(), WallNow());
}

void Process::Impl::MakePlatform(const Settings& settings) {
  LinkHttpPlatform();
  if (settings.platform.adapter.empty()) return;
  platform = PlatformRegistry::Instance().Create(
      settings.platform.adapter, {.address = settings.platform.address, .client = &client});
}

void Process::Impl::MakeStorage() {
  if (!files) return;
  storage = std::make_unique<StorageTask>(StorageTask::Handlers{
      .write = [this](const replication::PersistBatch& batch) { files->Write(batch); },
      .synced =
          [this](std::uint64_t token) { driver->mailbox().ForcePush(SyncedEvent{.token = token}); },
      .failed = ExitOnStorageError});
}

void Process::Impl::MakeServer(const Settings& settings) {
  server = std::make_unique<HttpServer>(
      MakeServerOptions(settings),
      HttpServer::Handlers{
          .deliver =
              [this](HttpEvent event) { return driver->mailbox().TryPush(std::move(event)); },
          .client_closed =
              [this](std::uint64_t connection) {
                driver->mailbox().ForcePush(HttpClosedEvent{.connection = connection});
              },
          .respond_locally = [this](const HttpEvent& request) { return AnswerMetrics(request); }});
}

void Process::Impl::AddGauges() {
  AddProcessGauges(metrics);
  const auto count = [this](const char* name, const std::atomic<std::uint64_t>& value) {
    metrics.AddGauge(name, [&value] { return static_cast<double>(value.load()); });
  };
  const PeerLinkCounters& counters = peers->counters();
  count("peer_sent_frames_total", counters.sent_frames);
  count("peer_sent_bytes_total", counters.sent_bytes);
  count("peer_received_frames_total", counters.received_frames);
  count("peer_received_bytes_total", counters.received_bytes);
  count("peer_dropped_frames_total", counters.dropped_frames);
  count("peer_malformed_frames_total", counters.malformed_frames);
  metrics.AddGauge("node_mailbox_messages",
                   [this] { return static_cast<double>(driver->mailbox().size()); });
  metrics.AddGauge("node_mailbox_dropped_total",
                   [this] { return static_cast<double>(driver->mailbox().dropped()); });
  metrics.AddGauge("peer_mailbox_dropped_total",
                   [this] { return static_cast<double>(peers->mailbox().dropped()); });
}

EffectSinks Process::Impl::MakeSinks() {
  EffectSinks sinks;
  sinks.send = [this](SendEffect effect) { peers->mailbox().TryPush(std::move(effect)); };
  if (files) {
    sinks.persist = [this](replication::PersistBatch batch) {
      storage->mailbox().Push(std::move(batch));
    };
  }
  sinks.respond = [this](RespondEffect effect) { server->Respond(std::move(effect)); };
  sinks.start_task = [this](StartTaskEffect effect) {
    const std::string task = effect.task_id;
    HttpTransfer transfer = MakeTransfer(std::move(effect));
    transfer.done = [this, task](HttpResult result) {
      driver->mailbox().ForcePush(MakeTaskEvent(task, std::move(result)));
    };
    client.mailbox().Push(std::move(transfer));
  };
  sinks.order_task = [this](const OrderTaskEffect& effect) {
    client.mailbox().Push(MakeTransfer(effect));
  };
  sinks.call_platform = [this](const PlatformEffect& effect) {
    const auto done = [this](PlatformEvent event) {
      driver->mailbox().ForcePush(std::move(event));
    };
    if (platform) {
      platform->Call(effect.call, done);
    } else {
      done({.operation_id = effect.call.operation_id,
            .state = PlatformState::kUnreachable,
            .error = "platform.adapter is not set"});
    }
  };
  sinks.log = [](const LogEffect& effect) {
    LogEvent(effect.severity, effect.event, effect.fields);
  };
  sinks.metric = [this](const MetricEffect& effect) { metrics.Add(effect.name, effect.value); };
  sinks.exit = [this](const ExitEffect& effect) { Exit(effect); };
  return sinks;
}

void Process::Impl::Exit(const ExitEffect& effect) {
  LogEvent(effect.status == 0 ? Severity::kInfo : Severity::kError, "exit",
           {{"status", std::to_string(effect.status)}, {"reason", effect.reason}});
  exit_status = effect.status;
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(exit_event.get(), &one, sizeof(one));
}

std::optional<RespondEffect> Process::Impl::AnswerMetrics(const HttpEvent& request) const {
  if (request.method != "GET" || request.path != "/metrics") return std::nullopt;
  return RespondEffect{.content_type = "text/plain; version=0.0.4", .body = metrics.Text()};
}

Process::Process(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}

Process::~Process() { Finish(); }

void Process::Start() {
  impl_->client.Start();
  if (impl_->storage) impl_->storage->Start();
  impl_->driver->Start();
  impl_->peers->Start();
}

void Process::BeginShutdown() { impl_->driver->mailbox().ForcePush(ShutdownEvent{}); }

int Process::exit_fd() const { return impl_->exit_event.get(); }

int Process::Finish() {
  impl_->server->Stop(kShutdownGrace);
  impl_->driver->Stop();
  impl_->client.Stop();
  impl_->peers->Stop();
  if (impl_->storage) impl_->storage->Stop();
  return impl_->exit_status;
}

}  // namespace godwitpaddle

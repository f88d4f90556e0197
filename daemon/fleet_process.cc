#include "daemon/fleet_process.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>
#include <variant>

#include "control/core_node.h"
#include "control/edge_node.h"
#include "daemon/job_driver.h"
#include "platform/wire.h"
#include "runtime/data_folder.h"
#include "runtime/file_descriptor.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/listen_retry.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/peer_link.h"
#include "runtime/storage_task.h"

namespace godwitpaddle {
namespace {

constexpr Micros kCoreTick = 20 * kMillisecond;
constexpr Micros kEdgeTick = 50 * kMillisecond;
constexpr Micros kShutdownGrace = kSecond;
/// Lease that the leader grants to workers for their tasks. It outlasts an election plus one lease
/// renewal to every worker, so tasks survive a change of leader.
constexpr std::int64_t kTaskLeaseMs = 4'000;
/// Each worker has one connection on which a lease renewal waits for ended runs and two for other
/// orders. Connections stay open for as long as the worker lives.
constexpr HttpClientOptions kOrderClientOptions = {
    .max_idle_s = 60, .max_idle_connections = 2'200, .connections_per_server = 3};
constexpr std::size_t kMaxBodyBytes = 4U << 20U;  // the largest report of a worker fits
constexpr std::size_t kMaxBufferedBytes = 24U << 20U;
constexpr unsigned kMaxConnections = 1'500;
constexpr std::size_t kMaxHeaderBytes = 16U << 10U;

std::uint64_t RandomBits() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

jobs::CoreNodeOptions MakeCoreOptions(const FleetSettings& settings) {
  const FleetTiming& timing = settings.timing;
  return {.node = settings.node,
          .zone = settings.zone,
          .peer_address = settings.peer_address(),
          .seeds = settings.peer_seeds(),
          .seed = RandomBits() >> 1U,
          .state = {.ended_retention_ms = timing.keep_ended_s * 1'000},
          .leader = {.node = settings.node,
                     .section_clock = MonotonicNow,
                     .fleet = {.lease_ms = std::min(timing.longest_lease_ms, kTaskLeaseMs),
                               .longest_lease_ms = timing.longest_lease_ms,
                               .heartbeat_ms = timing.heartbeat_ms,
                               .stop_ms = timing.stop_ms},
                     .vm_orders = {.holder = settings.node,
                                   .takeover_ms = timing.holder_lease_ms,
                                   .orders_per_s = settings.vm_orders_per_s},
                     .maintenance = {.maintenance_ms =
                                         static_cast<std::int64_t>(timing.maintenance_s * 1'000)},
                     .pools = {.move_ms = static_cast<std::int64_t>(timing.move_s * 1'000)},
                     .zones = settings.zones,
                     .far_factor = timing.far_factor}};
}

DataFolderOptions MakeDataFolderOptions(const FleetSettings& settings) {
  const std::vector<std::string> seeds = settings.peer_seeds();
  const std::string own = settings.peer_address();
  const bool is_initial = settings.forms_group && std::ranges::find(seeds, own) != seeds.end();
  if (!is_initial) return {.folder = settings.data_folder};
  return {.folder = settings.data_folder,
          .initial_id = jobs::InitialReplicaId(own),
          .initial = jobs::InitialGroup(seeds)};
}

/// Opens a listener, and tries again for a while if its port is taken.
template <typename Listener, typename Options, typename... Arguments>
std::unique_ptr<Listener> Listen(const Options& options, const Arguments&... arguments) {
  std::unique_ptr<Listener> listener;
  RetryListening(options.address,
                 [&] { listener = std::make_unique<Listener>(options, arguments...); },
                 {.should_give_up = IsTerminationPending});
  return listener;
}

HttpServerOptions MakeServerOptions(const std::string& address) {
  return {.address = address,
          .max_body_bytes = kMaxBodyBytes,
          .max_header_bytes = kMaxHeaderBytes,
          .max_buffered_bytes = kMaxBufferedBytes,
          .max_connections = kMaxConnections};
}

}  // namespace

struct FleetProcess::Impl {
  FleetSettings settings;
  std::string settings_file;
  Metrics metrics;
  FileDescriptor exit_event{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
  std::atomic<int> exit_status{0};
  std::atomic<bool> ready{false};
  std::unique_ptr<DataFolder> data_folder;
  std::unique_ptr<jobs::CoreNode> core;
  std::unique_ptr<jobs::EdgeNode> edge;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<StorageTask> storage;
  std::unique_ptr<PeerLink> peers;
  std::unique_ptr<HttpServer> http_server;  // edge: clients; core: workers and operators
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::unique_ptr<JobDriver> driver;

  Impl(const FleetSettings& initial, std::string file);
  void MakeCore();
  void MakeEdge();
  void MakePeers();
  void MakeServers();
  JobSinks MakeSinks();
  void SendOrder(const jobs::OrderEffect& effect);
  void SendVmOrder(const jobs::VmEffect& effect);
  void Exit(const ExitEffect& effect);
  bool Deliver(const HttpEvent& request);
};

FleetProcess::Impl::Impl(const FleetSettings& initial, std::string file)
    : settings(initial), settings_file(std::move(file)) {
  if (settings.role == FleetRole::kCore) {
    MakeCore();
  } else {
    MakeEdge();
  }
  MakePeers();
  MakeServers();
  AddProcessGauges(metrics);
}

void FleetProcess::Impl::MakeCore() {
  data_folder = std::make_unique<DataFolder>(MakeDataFolderOptions(settings));
  client = std::make_unique<HttpClient>(kOrderClientOptions);
  core = std::make_unique<jobs::CoreNode>(MakeCoreOptions(settings), data_folder->replica_id(),
                                          data_folder->TakeStored(), MonotonicNow());
  driver = std::make_unique<JobDriver>(
      [this](const jobs::Event& event, Micros now, WallMs wall, Micros waited) {
        return core->Step(event, now, wall, waited);
      },
      MakeSinks(), kCoreTick);
  storage = std::make_unique<StorageTask>(StorageTask::Handlers{
      .write = [this](const replication::PersistBatch& batch) { data_folder->Write(batch); },
      .synced =
          [this](std::uint64_t token) { driver->mailbox().ForcePush(SyncedEvent{.token = token}); },
      .failed =
          [](const std::string& reason) {
            LogEvent(Severity::kError, "storage_failed", {{"reason", reason}});
          }});
}

void FleetProcess::Impl::MakeEdge() {
  edge =
      std::make_unique<jobs::EdgeNode>(jobs::GatewayOptions{.own_address = settings.peer_address(),
                                                            .seeds = settings.peer_seeds(),
                                                            .first_call = RandomBits() >> 1U});
  driver = std::make_unique<JobDriver>(
      [this](const jobs::Event& event, Micros now, WallMs wall, Micros /*waited*/) {
        auto effects = edge->Step(event, now, wall);
        ready = edge->Ready(now);
        return effects;
      },
      MakeSinks(), kEdgeTick);
}

void FleetProcess::Impl::MakePeers() {
  peers =
      Listen<PeerLink>(PeerLinkOptions{.address = settings.peer_address(),
                                       .header = {.group = kFirstGroup, .sender = settings.node},
                                       .seed = RandomBits()},
                       [this](PeerMessage message) {
                         driver->mailbox().Push(PeerEvent{.message = std::move(message)});
                       });
}

void FleetProcess::Impl::MakeServers() {
  const std::string& address =
      settings.role == FleetRole::kCore ? settings.control_address : settings.client_address;
  if (!address.empty()) {
    http_server = Listen<HttpServer>(
        MakeServerOptions(address),
        HttpServer::Handlers{.deliver = [this](const HttpEvent& event) { return Deliver(event); },
                             .client_closed =
                                 [this](std::uint64_t connection) {
                                   driver->mailbox().ForcePush(
                                       HttpClosedEvent{.connection = connection});
                                 }});
  }
  if (!settings.readiness_address.empty()) {
    readiness_server = Listen<HttpServer>(
        MakeServerOptions(settings.readiness_address),
        HttpServer::Handlers{.respond_locally = [this](const HttpEvent& request) {
          const bool is_ready = ready && platform::IsReadinessRequest(request);
          return std::optional(RespondEffect{.status = is_ready ? 200 : 503});
        }});
  }
  metrics_server = Listen<HttpServer>(
      MakeServerOptions(settings.metrics_address()),
      HttpServer::Handlers{.respond_locally = [this](const HttpEvent& request) {
        if (request.path != "/metrics") return std::optional(RespondEffect{.status = 404});
        return std::optional(
            RespondEffect{.content_type = "text/plain; version=0.0.4", .body = metrics.Text()});
      }});
}

bool FleetProcess::Impl::Deliver(const HttpEvent& request) {
  auto decoded = settings.role == FleetRole::kCore ? platform::DecodeControlRequest(request)
                                                   : platform::DecodeClientRequest(request);
  if (auto* response = std::get_if<RespondEffect>(&decoded)) {
    http_server->Respond(std::move(*response));
    return true;
  }
  return driver->mailbox().TryPush(std::get<jobs::CallEvent>(std::move(decoded)));
}

JobSinks FleetProcess::Impl::MakeSinks() {
  return {
      .send = [this](SendEffect effect) { peers->mailbox().TryPush(std::move(effect)); },
      .persist = [this](PersistEffect effect) { storage->mailbox().Push(std::move(effect.batch)); },
      .answer =
          [this](const jobs::AnswerEffect& effect) {
            http_server->Respond(platform::EncodeAnswer(effect.connection, effect.answer));
          },
      .order = [this](const jobs::OrderEffect& effect) { SendOrder(effect); },
      .vm_order = [this](const jobs::VmEffect& effect) { SendVmOrder(effect); },
      .metric = [this](const std::string& name, double value) { metrics.Add(name, value); },
      .exit = [this](const ExitEffect& effect) { Exit(effect); }};
}

void FleetProcess::Impl::SendOrder(const jobs::OrderEffect& effect) {
  HttpTransfer transfer = platform::EncodeOrder(effect);
  transfer.newest_connection = effect.newest_connection;
  transfer.done = [this, token = effect.token, order = effect.order](const HttpResult& result) {
    driver->mailbox().ForcePush(
        jobs::OrderEvent{.token = token, .reply = platform::DecodeOrderReply(order, result)});
  };
  client->mailbox().Push(std::move(transfer));
}

void FleetProcess::Impl::SendVmOrder(const jobs::VmEffect& effect) {
  if (settings.platform_address.empty()) {
    driver->mailbox().ForcePush(
        jobs::VmEvent{.token = effect.token, .reply = {.outcome = jobs::VmOutcome::kNotSent}});
    return;
  }
  HttpTransfer transfer = platform::EncodeVmOrder(effect, settings.platform_address);
  transfer.done = [this, token = effect.token, order = effect.order](const HttpResult& result) {
    driver->mailbox().ForcePush(
        jobs::VmEvent{.token = token, .reply = platform::DecodeVmReply(order, result)});
  };
  client->mailbox().Push(std::move(transfer));
}

void FleetProcess::Impl::Exit(const ExitEffect& effect) {
  LogEvent(Severity::kInfo, "exit", {{"reason", effect.reason}});
  exit_status = effect.status;
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(exit_event.get(), &one, sizeof(one));
}

FleetProcess::FleetProcess(const FleetSettings& settings, std::string settings_file)
    : impl_(std::make_unique<Impl>(settings, std::move(settings_file))) {}

FleetProcess::~FleetProcess() { Finish(); }

void FleetProcess::Start() {
  if (impl_->client) impl_->client->Start();
  if (impl_->storage) impl_->storage->Start();
  impl_->driver->Start();
  impl_->peers->Start();
}

void FleetProcess::BeginShutdown() { impl_->driver->mailbox().ForcePush(ShutdownEvent{}); }

void FleetProcess::Reload() {
  try {
    const FleetSettings settings = ReadFleetSettings(impl_->settings_file);
    if (settings.seeds == impl_->settings.seeds) return;
    impl_->settings.seeds = settings.seeds;
    LogEvent(Severity::kInfo, "settings_reloaded",
             {{"seeds", std::to_string(settings.seeds.size())}});
    impl_->driver->mailbox().ForcePush(jobs::SeedsEvent{.seeds = settings.peer_seeds()});
  } catch (const SettingsError& error) {
    LogEvent(Severity::kError, "settings_unusable", {{"reason", error.what()}});
  }
}

int FleetProcess::exit_fd() const { return impl_->exit_event.get(); }

int FleetProcess::Finish() {
  if (impl_->http_server) impl_->http_server->Stop(kShutdownGrace);
  if (impl_->readiness_server) impl_->readiness_server->Stop(0);
  impl_->metrics_server->Stop(0);
  impl_->driver->Stop();
  if (impl_->client) impl_->client->Stop();
  impl_->peers->Stop();
  if (impl_->data_folder) impl_->data_folder->Close();
  if (impl_->storage) impl_->storage->Stop();
  return impl_->exit_status;
}

}  // namespace godwitpaddle

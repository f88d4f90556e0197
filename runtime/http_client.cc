#include "runtime/http_client.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <stdexcept>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include "runtime/file_descriptor.h"
#include "runtime/http_connection.h"
#include "runtime/wake_event.h"

namespace godwitpaddle {
namespace {

constexpr Micros kConnectTimeout = 1 * kSecond;
constexpr std::size_t kMaxEvents = 64;

/// A transfer that has not completed.
struct PendingTransfer {
  HttpTransfer transfer;
  HttpTarget target;
  std::string request;  // encoded request; empty once a connection has taken it
  Timers::Id deadline = 0;
  int fd = -1;  // socket of its connection; -1: queued for a connection
};

struct Connection {
  explicit Connection(const std::string& address) : server(address), http(address) {}

  std::string server;
  HttpConnection http;
  std::uint64_t number = 0;    // see HttpResult::connection
  std::uint64_t transfer = 0;  // id of the transfer in progress; 0: idle
  Timers::Id connect_deadline = 0;
  Micros idle_since = 0;
  bool watches_writing = false;
};

struct Server {
  std::vector<int> idle;  // sockets of idle connections, the most recently used one last
  std::int64_t open = 0;  // connections, idle ones included
  std::deque<std::uint64_t> waiting;  // ids of queued transfers
};

}  // namespace

struct HttpClient::Impl {
  HttpClientOptions options;
  Timers& timers;
  WakeEvent wake;
  FileDescriptor poll{epoll_create1(EPOLL_CLOEXEC)};
  std::uint64_t last_transfer = 0;
  std::uint64_t last_connection = 0;
  std::unordered_map<std::uint64_t, PendingTransfer> pending;
  std::unordered_map<int, Connection> connections;
  std::map<std::string, Server> servers;
  std::size_t idle_connections = 0;

  Impl(HttpClientOptions client_options, Timers& task_timers);
  void Start(HttpTransfer transfer);
  void Poll(Micros until);
  void ServeSocket(int fd, std::uint32_t events);

  void Assign(std::uint64_t id);
  bool AssignIdle(std::uint64_t id, Server& server);
  void AssignOldest(std::uint64_t id, Server& server);
  void Open(std::uint64_t id, Server& server);
  void AssignTo(std::uint64_t id, Connection& connection);
  void Write(int fd, Connection& connection);
  void Watch(int fd, Connection& connection, int operation) const;
  void HandleProgress(int fd, HttpConnection::Progress progress);
  void HandleDeadline(std::uint64_t id);
  void Finish(int fd, Connection& connection);
  void KeepIdle(int fd, Connection& connection);
  void Close(int fd);
  void AssignNext(const std::string& address);
  void Fail(std::uint64_t id, const std::string& error);
  void Complete(std::uint64_t id, HttpResult result);
};

HttpClient::Impl::Impl(HttpClientOptions client_options, Timers& task_timers)
    : options(client_options), timers(task_timers) {
  epoll_event event{.events = EPOLLIN, .data = {.fd = wake.fd()}};
  if (!poll.valid() || epoll_ctl(poll.get(), EPOLL_CTL_ADD, wake.fd(), &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "cannot create the epoll set");
  }
}

void HttpClient::Impl::Start(HttpTransfer transfer) {
  const std::uint64_t id = ++last_transfer;
  PendingTransfer& entry = pending[id];
  entry.transfer = std::move(transfer);
  try {
    entry.target = ParseHttpUrl(entry.transfer.url);
    entry.request = EncodeHttpRequest(entry.transfer, entry.target);
    ParseAddress(entry.target.server);
  } catch (const std::invalid_argument& error) {
    return Fail(id, error.what());
  }
  const Micros timeout = std::max<Micros>(1, entry.transfer.timeout_ms) * kMillisecond;
  entry.deadline = timers.Schedule(MonotonicNow() + timeout, [this, id] { HandleDeadline(id); });
  Assign(id);
}

/// Assigns the transfer to an idle connection or a new one, or queues it if the server already has
/// the maximum number of connections.
void HttpClient::Impl::Assign(std::uint64_t id) {
  Server& server = servers[pending.at(id).target.server];
  if (pending.at(id).transfer.newest_connection != 0) return AssignOldest(id, server);
  if (AssignIdle(id, server)) return;
  const std::int64_t wanted = pending.at(id).transfer.connections_per_server;
  const std::int64_t limit = wanted > 0 ? wanted : options.connections_per_server;
  if (limit > 0 && server.open >= limit) {
    server.waiting.push_back(id);
  } else {
    Open(id, server);
  }
}

bool HttpClient::Impl::AssignIdle(std::uint64_t id, Server& server) {
  while (!server.idle.empty()) {
    const int fd = server.idle.back();
    Connection& connection = connections.at(fd);
    if (MonotonicNow() - connection.idle_since <= options.max_idle_s * kSecond) {
      server.idle.pop_back();
      --idle_connections;
      AssignTo(id, connection);
      return true;
    }
    Close(fd);
  }
  return false;
}

/// Assigns the transfer to the idle connection that was opened first, or fails it if even that one
/// was opened too late.
void HttpClient::Impl::AssignOldest(std::uint64_t id, Server& server) {
  const auto number_of = [this](int fd) { return connections.at(fd).number; };
  const auto oldest = std::ranges::min_element(server.idle, {}, number_of);
  if (oldest == server.idle.end() ||
      number_of(*oldest) > pending.at(id).transfer.newest_connection) {
    return Fail(id, "not sent: no free connection was opened early enough");
  }
  const int fd = *oldest;
  server.idle.erase(oldest);
  --idle_connections;
  AssignTo(id, connections.at(fd));
}

void HttpClient::Impl::Open(std::uint64_t id, Server& server) {
  Connection created(pending.at(id).target.server);
  if (!created.http.Connect()) return Fail(id, created.http.error());
  const int fd = created.http.fd();
  ++server.open;
  created.number = ++last_connection;
  Connection& connection = connections.emplace(fd, std::move(created)).first->second;
  connection.watches_writing = true;
  Watch(fd, connection, EPOLL_CTL_ADD);
  connection.connect_deadline = timers.Schedule(MonotonicNow() + kConnectTimeout,
                                                [this, id] { Fail(id, "connecting timed out"); });
  AssignTo(id, connection);
}

void HttpClient::Impl::AssignTo(std::uint64_t id, Connection& connection) {
  PendingTransfer& entry = pending.at(id);
  const int fd = connection.http.fd();
  entry.fd = fd;
  connection.transfer = id;
  connection.http.BeginRequest(std::move(entry.request), entry.transfer.max_response_bytes);
  if (connection.http.connected()) Write(fd, connection);
}

/// Writes the request, or drops it if its send_before time has passed. This check prevents a
/// process that was suspended from sending requests that it decided on long before.
void HttpClient::Impl::Write(int fd, Connection& connection) {
  const bool begins = connection.transfer != 0 && !connection.http.has_sent();
  if (begins && MonotonicNow() > pending.at(connection.transfer).transfer.send_before) {
    return Fail(connection.transfer, "not sent: the time limit for sending has passed");
  }
  HandleProgress(fd, connection.http.Write());
}

void HttpClient::Impl::Watch(int fd, Connection& connection, int operation) const {
  epoll_event event{.events = EPOLLIN, .data = {.fd = fd}};
  if (connection.watches_writing) event.events |= EPOLLOUT;
  epoll_ctl(poll.get(), operation, fd, &event);
}

void HttpClient::Impl::Poll(Micros until) {
  std::array<epoll_event, kMaxEvents> events{};
  // Rounded up: if the poll ended before the timer is due, the task would busy-loop until then.
  const Micros remaining = std::max<Micros>(0, until - MonotonicNow());
  const int timeout =
      until == kNever ? -1 : static_cast<int>((remaining + kMillisecond - 1) / kMillisecond);
  const int count = epoll_wait(poll.get(), events.data(), static_cast<int>(events.size()), timeout);
  for (int i = 0; i < count; ++i) ServeSocket(events.at(i).data.fd, events.at(i).events);
}

void HttpClient::Impl::ServeSocket(int fd, std::uint32_t events) {
  if (fd == wake.fd()) return wake.Clear();
  const auto found = connections.find(fd);
  if (found == connections.end()) return;  // closed while an earlier event was handled
  HttpConnection& http = found->second.http;
  const bool writable = (events & EPOLLOUT) != 0 || !http.connected();
  if (writable && http.wants_to_write()) return Write(fd, found->second);
  HandleProgress(fd, http.Read());
}

/// Handles the result of a read or a write: completes or fails the transfer, or updates the events
/// that the socket is polled for.
void HttpClient::Impl::HandleProgress(int fd, HttpConnection::Progress progress) {
  Connection& connection = connections.at(fd);
  if (connection.http.connected() && connection.connect_deadline != 0) {
    timers.Cancel(std::exchange(connection.connect_deadline, 0));
  }
  if (progress == HttpConnection::Progress::kDone) return Finish(fd, connection);
  if (progress == HttpConnection::Progress::kBroken) {
    if (connection.transfer == 0) return Close(fd);
    return Fail(connection.transfer, std::string(connection.http.error()));
  }
  const bool writing = connection.http.wants_to_write();
  if (writing == connection.watches_writing) return;
  connection.watches_writing = writing;
  Watch(fd, connection, EPOLL_CTL_MOD);
}

/// Fails the transfer, unless its response has arrived and was not read yet. That happens if the
/// process was suspended or short of processor time: timers run before all sockets were served.
void HttpClient::Impl::HandleDeadline(std::uint64_t id) {
  const int fd = pending.at(id).fd;
  if (fd >= 0) {
    HttpConnection& http = connections.at(fd).http;
    if (http.has_sent()) {
      const HttpConnection::Progress progress = http.ReadArrived();
      if (progress != HttpConnection::Progress::kWaiting) return HandleProgress(fd, progress);
    }
  }
  Fail(id, "the request timed out");
}

void HttpClient::Impl::Finish(int fd, Connection& connection) {
  const std::uint64_t id = std::exchange(connection.transfer, 0);
  HttpResult result = connection.http.TakeResponse();
  result.connection = connection.number;
  const std::string address = connection.server;
  if (connection.http.reusable() &&
      idle_connections < static_cast<std::size_t>(options.max_idle_connections)) {
    KeepIdle(fd, connection);
  } else {
    Close(fd);
  }
  AssignNext(address);
  Complete(id, std::move(result));
}

void HttpClient::Impl::KeepIdle(int fd, Connection& connection) {
  connection.idle_since = MonotonicNow();
  servers.at(connection.server).idle.push_back(fd);
  ++idle_connections;
}

void HttpClient::Impl::Close(int fd) {
  const auto found = connections.find(fd);
  timers.Cancel(found->second.connect_deadline);
  Server& server = servers.at(found->second.server);
  --server.open;
  idle_connections -= std::erase(server.idle, fd);
  connections.erase(found);
}

/// Starts the next queued transfer to the server, after one of its connections became idle or
/// closed.
void HttpClient::Impl::AssignNext(const std::string& address) {
  const auto server = servers.find(address);
  if (server == servers.end()) return;
  if (!server->second.waiting.empty()) {
    const std::uint64_t next = server->second.waiting.front();
    server->second.waiting.pop_front();
    Assign(next);
  } else if (server->second.open == 0) {
    servers.erase(server);
  }
}

void HttpClient::Impl::Fail(std::uint64_t id, const std::string& error) {
  const auto found = pending.find(id);
  if (found == pending.end()) return;
  const PendingTransfer& entry = found->second;
  HttpResult result{.end = TransferEnd::kNotSent, .error = error};
  const std::string address = entry.target.server;
  if (entry.fd >= 0) {
    HttpConnection& http = connections.at(entry.fd).http;
    if (http.has_sent()) result.end = TransferEnd::kBroken;
    http.DiscardUnsent();
    Close(entry.fd);
  } else if (const auto server = servers.find(address); server != servers.end()) {
    std::erase(server->second.waiting, id);
  }
  AssignNext(address);
  Complete(id, std::move(result));
}

void HttpClient::Impl::Complete(std::uint64_t id, HttpResult result) {
  const auto found = pending.find(id);
  timers.Cancel(found->second.deadline);
  const auto done = std::move(found->second.transfer.done);
  pending.erase(found);
  if (done) done(std::move(result));
}

HttpClient::HttpClient(HttpClientOptions options)
    : Task("http-client", 4'096), impl_(std::make_unique<Impl>(options, timers())) {}

HttpClient::~HttpClient() { Stop(); }

void HttpClient::Handle(HttpTransfer transfer) { impl_->Start(std::move(transfer)); }

void HttpClient::WaitForWork(Micros until) { impl_->Poll(until); }

void HttpClient::Wake() { impl_->wake.Signal(); }

}  // namespace godwitpaddle

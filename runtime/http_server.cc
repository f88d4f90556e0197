#include "runtime/http_server.h"

#include <microhttpd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "runtime/address.h"
#include "runtime/close_watcher.h"

namespace godwitpaddle {
namespace {

constexpr int kPayloadTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// A body above max_body_bytes is read and discarded up to this multiple of max_body_bytes: a
// response that is sent before the body was read is lost when the connection is reset. A connection
// with an even larger body is closed.
constexpr std::size_t kMaxDiscardFactor = 16;
constexpr Micros kFlushTimeout = 2 * kSecond;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
  return lower;
}

RespondEffect MakeRefusal(int status, const std::string& error, const std::string& message,
                          bool not_run) {
  RespondEffect response{.status = status};
  response.body = R"({"error":")" + error + R"(","message":")" + message + R"(","not_run":)" +
                  (not_run ? "true" : "false") + "}\n";
  if (status == kUnavailable) response.headers["Retry-After"] = "1";
  return response;
}

MHD_Result AddValue(void* values, MHD_ValueKind kind, const char* name, const char* value) {
  auto& map = *static_cast<std::map<std::string, std::string>*>(values);
  const std::string key = kind == MHD_HEADER_KIND ? LowerCase(name) : std::string(name);
  map[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result Send(MHD_Connection* connection, const RespondEffect& effect) {
  if (effect.status == kCloseWithoutResponse) return MHD_NO;
  // The libmicrohttpd function takes a pointer to non-const but only copies the body.
  MHD_Response* response = MHD_create_response_from_buffer(
      effect.body.size(), const_cast<char*>(effect.body.data()), MHD_RESPMEM_MUST_COPY);
  if (response == nullptr) return MHD_NO;
  if (!effect.content_type.empty()) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, effect.content_type.c_str());
  }
  for (const auto& [name, value] : effect.headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(effect.status), response);
  MHD_destroy_response(response);
  return result;
}

std::size_t DeclaredLength(MHD_Connection* connection) {
  const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
  if (text == nullptr) return 0;
  std::size_t length = 0;
  const std::string_view digits = text;
  std::from_chars(digits.data(), digits.data() + digits.size(), length);
  return length;
}

}  // namespace

struct HttpServer::Impl {
  /// One request, from its request line to the end of its response.
  struct Exchange {
    enum class Stage : std::uint8_t { kReading, kWaiting, kResponded };
    Stage stage = Stage::kReading;
    HttpEvent event;
    std::size_t received = 0;  // bytes of the body
    std::size_t buffered = 0;  // bytes of the body that count in buffered_bytes
    RespondEffect response;
    MHD_Connection* connection = nullptr;
    int fd = -1;
  };

  HttpServerOptions options;
  Handlers handlers;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::uint64_t, Exchange*> waiting;  // by connection number; suspended
  std::size_t exchanges = 0;
  bool stopping = false;
  std::atomic<std::uint64_t> last_number{0};
  std::atomic<std::size_t> buffered_bytes{0};
  MHD_Daemon* daemon = nullptr;
  CloseWatcher watcher;

  Impl(HttpServerOptions server_options, Handlers callbacks)
      : options(std::move(server_options)),
        handlers(std::move(callbacks)),
        watcher([this](std::uint64_t number) { ClientClosed(number); }) {
    Listen();
  }

  void Listen();
  MHD_Result Access(MHD_Connection* connection, const char* url, const char* method,
                    const char* data, std::size_t* size, Exchange** context);
  MHD_Result Begin(MHD_Connection* connection, const char* url, const char* method,
                   Exchange** context);
  MHD_Result Receive(Exchange& exchange, std::string_view data);
  MHD_Result Finish(Exchange& exchange);
  void Deliver(Exchange& exchange);
  bool Resume(RespondEffect response);
  void ClientClosed(std::uint64_t number);
  void End(Exchange* exchange);
  void Stop(Micros grace);
};

void HttpServer::Impl::Listen() {
  const SocketAddress address = ParseAddress(options.address);
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  if (address.storage.ss_family == AF_INET6) flags |= MHD_USE_IPv6;
  const MHD_AccessHandlerCallback access = [](void* self, MHD_Connection* connection,
                                              const char* url, const char* method, const char*,
                                              const char* data, std::size_t* size, void** context) {
    return static_cast<Impl*>(self)->Access(connection, url, method, data, size,
                                            reinterpret_cast<Exchange**>(context));
  };
  const MHD_RequestCompletedCallback completed = [](void* self, MHD_Connection*, void** context,
                                                    MHD_RequestTerminationCode) {
    static_cast<Impl*>(self)->End(static_cast<Exchange*>(*context));
    *context = nullptr;
  };
  daemon =
      MHD_start_daemon(flags, 0, nullptr, nullptr, access, this,              //
                       MHD_OPTION_SOCK_ADDR, address.get(),                   //
                       MHD_OPTION_NOTIFY_COMPLETED, completed, this,          //
                       MHD_OPTION_CONNECTION_LIMIT, options.max_connections,  //
                       MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.max_header_bytes,
                       MHD_OPTION_CONNECTION_TIMEOUT, options.idle_timeout_seconds, MHD_OPTION_END);
  if (daemon == nullptr) throw std::runtime_error("cannot listen for HTTP on " + options.address);
}

MHD_Result HttpServer::Impl::Access(MHD_Connection* connection, const char* url, const char* method,
                                    const char* data, std::size_t* size, Exchange** context) {
  if (*context == nullptr) return Begin(connection, url, method, context);
  Exchange& exchange = **context;
  if (*size > 0) {
    const std::string_view bytes(data, *size);
    *size = 0;
    return Receive(exchange, bytes);
  }
  return Finish(exchange);
}

MHD_Result HttpServer::Impl::Begin(MHD_Connection* connection, const char* url, const char* method,
                                   Exchange** context) {
  auto* exchange = new Exchange;
  *context = exchange;
  {
    const std::lock_guard lock(mutex);
    ++exchanges;
  }
  exchange->connection = connection;
  exchange->event.connection = ++last_number;
  exchange->event.method = method;
  exchange->event.path = url;
  auto& event = exchange->event;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, AddValue, &event.headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, AddValue, &event.query);
  exchange->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  const std::size_t length = DeclaredLength(connection);
  const bool expects_continue = event.headers.contains("expect");
  if (length > options.max_body_bytes &&
      (expects_continue || length > kMaxDiscardFactor * options.max_body_bytes)) {
    return Send(connection,
                MakeRefusal(kPayloadTooLarge, "too_large", "the request body is too large", true));
  }
  return MHD_YES;
}

MHD_Result HttpServer::Impl::Receive(Exchange& exchange, std::string_view data) {
  exchange.received += data.size();
  if (exchange.received > kMaxDiscardFactor * options.max_body_bytes) return MHD_NO;
  if (exchange.response.status >= 400) return MHD_YES;  // already rejected
  const bool too_large = exchange.received > options.max_body_bytes;
  exchange.buffered += data.size();
  const bool full = (buffered_bytes += data.size()) > options.max_buffered_bytes;
  if (too_large) {
    exchange.response =
        MakeRefusal(kPayloadTooLarge, "too_large", "the request body is too large", true);
  } else if (full) {
    exchange.response =
        MakeRefusal(kUnavailable, "overloaded", "the buffer for request bodies is full", true);
  } else {
    exchange.event.body.append(data);
    return MHD_YES;
  }
  buffered_bytes -= std::exchange(exchange.buffered, 0);
  exchange.event.body = std::string();
  return MHD_YES;
}

MHD_Result HttpServer::Impl::Finish(Exchange& exchange) {
  {
    const std::lock_guard lock(mutex);
    if (exchange.stage == Exchange::Stage::kResponded || exchange.response.status >= 400) {
      return Send(exchange.connection, exchange.response);
    }
    if (stopping) {
      return Send(exchange.connection,
                  MakeRefusal(kUnavailable, "stopping", "the process is stopping", true));
    }
  }
  if (handlers.respond_locally) {
    if (const auto response = handlers.respond_locally(exchange.event)) {
      return Send(exchange.connection, *response);
    }
  }
  Deliver(exchange);
  return MHD_YES;
}

void HttpServer::Impl::Deliver(Exchange& exchange) {
  HttpEvent event = std::move(exchange.event);
  const std::uint64_t number = event.connection;
  {
    const std::lock_guard lock(mutex);
    exchange.stage = Exchange::Stage::kWaiting;
    waiting[number] = &exchange;
    MHD_suspend_connection(exchange.connection);
    watcher.Add(exchange.fd, number);
  }
  // From here on another thread may respond and destroy the exchange.
  if (handlers.deliver(std::move(event))) return;
  RespondEffect refusal =
      MakeRefusal(kUnavailable, "overloaded", "too many requests are waiting", true);
  refusal.connection = number;
  Resume(std::move(refusal));
}

bool HttpServer::Impl::Resume(RespondEffect response) {
  const std::lock_guard lock(mutex);
  const auto found = waiting.find(response.connection);
  if (found == waiting.end()) return false;
  Exchange& exchange = *found->second;
  waiting.erase(found);
  watcher.Remove(exchange.fd);
  exchange.response = std::move(response);
  exchange.stage = Exchange::Stage::kResponded;
  MHD_resume_connection(exchange.connection);
  changed.notify_all();
  return true;
}

void HttpServer::Impl::ClientClosed(std::uint64_t number) {
  const bool was_waiting = Resume({.connection = number, .status = kCloseWithoutResponse});
  if (was_waiting && handlers.client_closed) handlers.client_closed(number);
}

void HttpServer::Impl::End(Exchange* exchange) {
  if (exchange == nullptr) return;
  buffered_bytes -= exchange->buffered;
  delete exchange;
  const std::lock_guard lock(mutex);
  --exchanges;
  changed.notify_all();
}

void HttpServer::Impl::Stop(Micros grace) {
  std::unique_lock lock(mutex);
  if (daemon == nullptr) return;
  stopping = true;
  lock.unlock();
  const MHD_socket listener = MHD_quiesce_daemon(daemon);
  if (listener != MHD_INVALID_SOCKET) close(listener);
  lock.lock();
  changed.wait_for(lock, std::chrono::microseconds(grace), [this] { return waiting.empty(); });
  while (!waiting.empty()) {
    RespondEffect response =
        MakeRefusal(kGatewayTimeout, "stopping", "the process is stopping", false);
    response.connection = waiting.begin()->first;
    lock.unlock();
    Resume(std::move(response));
    lock.lock();
  }
  changed.wait_for(lock, std::chrono::microseconds(kFlushTimeout),
                   [this] { return exchanges == 0; });
  MHD_Daemon* stopped = std::exchange(daemon, nullptr);
  lock.unlock();
  MHD_stop_daemon(stopped);
  watcher.Stop();
}

HttpServer::HttpServer(HttpServerOptions options, Handlers handlers)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handlers))) {}

HttpServer::~HttpServer() { Stop(0); }

void HttpServer::Respond(RespondEffect response) { impl_->Resume(std::move(response)); }

void HttpServer::Stop(Micros grace) { impl_->Stop(grace); }

std::uint16_t HttpServer::port() const {
  const MHD_DaemonInfo* info = MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == nullptr ? 0 : info->port;
}

}  // namespace godwitpaddle

#ifndef GODWITPADDLE_RUNTIME_HTTP_SERVER_H_
#define GODWITPADDLE_RUNTIME_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "node/node.h"

namespace godwitpaddle {

struct HttpServerOptions {
  std::string address;                        // "IP:port"; port 0: any free port
  std::size_t max_body_bytes = 4U << 20U;     // a larger body gets status 413
  std::size_t max_header_bytes = 32U << 10U;  // larger headers get status 431
  /// Limit of all request bodies in memory; a request that exceeds it gets status 503.
  std::size_t max_buffered_bytes = 64U << 20U;
  unsigned max_connections = 4'096;     // further connections are closed at once
  unsigned idle_timeout_seconds = 120;  // a connection without traffic for this long is closed
};

/// Status of a RespondEffect that closes the connection without a response.
inline constexpr int kCloseWithoutResponse = 0;

/// HTTP/1.1 server. It passes each complete request to a handler with a connection number that is
/// unique per request. Any thread may send the response later, under that number.
class HttpServer {
 public:
  struct Handlers {
    /// Receives a complete request. Returns false if it cannot accept the request; the server then
    /// responds with 503 and "not_run": true.
    std::function<bool(HttpEvent)> deliver;
    /// Called when the client has closed the connection before the response; a later response is
    /// ignored.
    std::function<void(std::uint64_t connection)> client_closed;
    /// Optional: returns the response to requests that are handled in the server's thread, such as
    /// GET /metrics; for other requests returns nothing.
    std::function<std::optional<RespondEffect>(const HttpEvent&)> respond_locally;
  };

  /// Starts to listen. Throws std::runtime_error or std::invalid_argument.
  HttpServer(HttpServerOptions options, Handlers handlers);
  ~HttpServer();

  /// Sends the response to a request. Does nothing if the client has closed the connection.
  void Respond(RespondEffect response);

  /// Stops listening, waits up to `grace` microseconds for the responses to pending requests, and
  /// closes all connections. Requests without a response get status 504. Idempotent.
  void Stop(Micros grace);

  std::uint16_t port() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_SERVER_H_

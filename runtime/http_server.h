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
  std::string address;                          // port 0 takes a free one
  std::size_t max_body_bytes = 4U << 20U;       // a larger body is answered 413
  std::size_t max_header_bytes = 32U << 10U;    // larger headers are answered 431
  std::size_t max_buffered_bytes = 64U << 20U;  // bodies held at once; beyond it 503
  unsigned max_connections = 4'096;             // further ones are closed
  unsigned idle_timeout_seconds = 120;          // of a connection without a request
};

/// Status of a RespondEffect that closes the connection without an answer.
inline constexpr int kCloseWithoutResponse = 0;

/// HTTP/1.1 server. Whole requests are handed over with a connection number, unique per request;
/// the answer comes later by that number, from any thread.
class HttpServer {
 public:
  struct Handlers {
    /// Takes a whole request. Returns false when it cannot, which is answered with 503 not run.
    std::function<bool(HttpEvent)> deliver;
    /// The caller closed the connection before the answer. No answer is expected any more.
    std::function<void(std::uint64_t connection)> client_closed;
    /// Optional: answers a request at once in the server's thread, such as GET /metrics.
    std::function<std::optional<RespondEffect>(const HttpEvent&)> respond_locally;
  };

  /// Listens at once. Throws std::runtime_error or std::invalid_argument.
  HttpServer(HttpServerOptions options, Handlers handlers);
  ~HttpServer();

  /// Answers a request. Ignored when the caller has gone.
  void Respond(RespondEffect response);

  /// Stops listening, waits up to `grace` for the requests that are being answered, and closes.
  /// Those left over get 504. Idempotent.
  void Stop(Micros grace);

  std::uint16_t port() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_SERVER_H_

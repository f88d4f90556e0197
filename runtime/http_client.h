#ifndef GODWITPADDLE_RUNTIME_HTTP_CLIENT_H_
#define GODWITPADDLE_RUNTIME_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/node.h"
#include "runtime/clock.h"
#include "runtime/task.h"

namespace godwitpaddle {

/// Result of one transfer. `status`, `headers` and `body` are set only if `end` is kAnswered.
struct HttpResult {
  TransferEnd end = TransferEnd::kBroken;
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::uint64_t connection = 0;  // number of its connection, from 1 in the order of opening
  std::string error;             // description of the failure
};

struct HttpTransfer {
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Limit of the whole transfer, including the wait for a connection.
  std::int64_t timeout_ms = 10'000;
  Micros send_before = kNever;  // a request not begun by this time ends with kNotSent
  std::size_t max_response_bytes = 16U << 20U;
  /// Sent only on an idle connection whose number is at most this one; ends with kNotSent if there
  /// is none. 0: any connection.
  std::uint64_t newest_connection = 0;
  /// Connections to the server up to which this transfer opens one instead of waiting; 0: the limit
  /// of the client.
  std::int64_t connections_per_server = 0;
  std::function<void(HttpResult)> done;  // optional; called in the client's thread
};

struct HttpClientOptions {
  // Many HTTP servers close a connection after 5 s without a request. If a request is sent while
  // the server closes the connection, its outcome is unknown. Connections that have been idle for
  // nearly 5 s are therefore not reused.
  std::int64_t max_idle_s = 4;
  std::int64_t max_idle_connections = 512;
  std::int64_t connections_per_server = 0;  // further requests are queued; 0: no limit
};

/// HTTP client that performs all transfers in one task and reuses connections. It never retries a
/// request: kNotSent means that no byte of the request was sent, kBroken that the transfer failed
/// after the first byte was sent. Host names are not resolved: URLs have the form
/// "http://ADDRESS:PORT/PATH".
class HttpClient : public Task<HttpTransfer> {
 public:
  explicit HttpClient(HttpClientOptions options = {});
  ~HttpClient() override;

 private:
  struct Impl;

  void Handle(HttpTransfer transfer) override;
  void WaitForWork(Micros until) override;
  void Wake() override;

  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_CLIENT_H_

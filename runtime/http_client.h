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

/// Result of one transfer.
struct HttpResult {
  TransferEnd end = TransferEnd::kBroken;
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string error;
};

struct HttpTransfer {
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  std::int64_t timeout_ms = 10'000;  // of the whole transfer
  Micros send_before = kNever;       // a request that has not begun to leave by then never does
  std::size_t max_response_bytes = 16U << 20U;
  std::function<void(HttpResult)> done;  // runs in the client's thread; optional
};

struct HttpClientOptions {
  // Many HTTP servers close a connection after 5 s without a request. A request that meets this
  // close has an unknown outcome, so connections that were idle for nearly as long are not used
  // again.
  std::int64_t max_idle_s = 4;
  std::int64_t max_idle_connections = 512;
  std::int64_t connections_per_server = 0;  // further requests wait; 0: no limit
};

/// HTTP client that carries out all transfers in one task and reuses connections. Nothing is ever
/// sent twice: kNotSent means that no byte of the request has left, kBroken anything after. Names
/// are not resolved: URLs have the form "http://ADDRESS:PORT/PATH".
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

#ifndef GODWITPADDLE_RUNTIME_HTTP_CONNECTION_H_
#define GODWITPADDLE_RUNTIME_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/file_descriptor.h"
#include "runtime/http_client.h"

namespace godwitpaddle {

/// Parts of a URL "http://ADDRESS:PORT/PATH".
struct HttpTarget {
  std::string server;  // "ADDRESS:PORT"
  std::string path;    // with its query
};

/// Throws std::invalid_argument when the URL is not of this form.
HttpTarget ParseHttpUrl(const std::string& url);

/// The bytes of a request. Throws std::invalid_argument when a header cannot be written.
std::string EncodeHttpRequest(const HttpTransfer& transfer, const HttpTarget& target);

/// One connection of the HTTP client, without blocking; it carries one request at a time.
/// Boost.Beast parses the answers.
class HttpConnection {
 public:
  enum class Progress : std::uint8_t {
    kWaiting,  // for the socket
    kDone,     // the answer is there
    kBroken,   // the connection cannot be used any more; error() says why
  };

  explicit HttpConnection(const std::string& server);
  ~HttpConnection();
  HttpConnection(HttpConnection&& other) noexcept;
  HttpConnection& operator=(HttpConnection&& other) noexcept;

  /// Begins to connect. Returns false when that fails at once.
  bool Connect();
  /// Gives the connection its next request.
  void BeginRequest(std::string request, std::size_t max_response_bytes);
  /// The socket is writable.
  Progress Write();
  /// The socket is readable.
  Progress Read();
  /// Bytes that are still on their way out are dropped when the connection closes, so that a
  /// request that was given up is not carried out once a partition ends.
  void DiscardUnsent() const;
  /// Status, headers and body, after kDone.
  HttpResult TakeResponse();

  int fd() const { return socket_.get(); }
  bool connected() const { return connected_; }
  /// Whether the present request has left in part.
  bool has_sent() const { return written_ > 0; }
  bool wants_to_write() const { return !connected_ || written_ < request_.size(); }
  /// Whether another request may follow.
  bool reusable() const { return reusable_; }
  const std::string& error() const { return error_; }

 private:
  struct Response;

  Progress Fail(std::string error);
  Progress Parse();
  bool IsTooLarge() const;
  Progress Finish();
  Progress ParseEof();

  SocketAddress address_;
  FileDescriptor socket_;
  bool connected_ = false;
  bool reusable_ = true;
  std::string request_;
  std::size_t written_ = 0;
  std::size_t max_response_bytes_ = 0;
  std::string input_;  // read and not parsed yet
  std::unique_ptr<Response> response_;
  std::string error_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_CONNECTION_H_

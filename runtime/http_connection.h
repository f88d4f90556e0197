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
  std::string path;    // including the query
};

/// Throws std::invalid_argument if the URL does not have this form.
HttpTarget ParseHttpUrl(const std::string& url);

/// Returns the bytes of a request. Throws std::invalid_argument if a header has no name or contains
/// a line break.
std::string EncodeHttpRequest(const HttpTransfer& transfer, const HttpTarget& target);

/// One non-blocking connection of the HTTP client. It handles one request at a time; Boost.Beast
/// parses the responses.
class HttpConnection {
 public:
  enum class Progress : std::uint8_t {
    kWaiting,  // the socket must become readable or writable first
    kDone,     // the response is complete
    kBroken,   // the connection has failed; error() gives the reason
  };

  explicit HttpConnection(const std::string& server);
  ~HttpConnection();
  HttpConnection(HttpConnection&& other) noexcept;
  HttpConnection& operator=(HttpConnection&& other) noexcept;

  /// Starts to connect. Returns false on an immediate failure.
  bool Connect();
  /// Sets the next request and the size limit of its response.
  void BeginRequest(std::string request, std::size_t max_response_bytes);
  /// Call when the socket is writable: completes the connection and writes the request.
  Progress Write();
  /// Call when the socket is readable: reads and parses the response.
  Progress Read();
  /// Like Read, but reads all bytes that have arrived, up to the size of a complete response.
  Progress ReadArrived();
  /// Makes the close of the connection drop the bytes that the kernel has not sent yet, so that an
  /// abandoned request does not reach the server after a network partition ends.
  void DiscardUnsent() const;
  /// Returns the status, headers and body. Call once after kDone.
  HttpResult TakeResponse();

  int fd() const { return socket_.get(); }
  bool connected() const { return connected_; }
  /// Whether at least one byte of the current request was sent.
  bool has_sent() const { return written_ > 0; }
  bool wants_to_write() const { return !connected_ || written_ < request_.size(); }
  /// Whether the connection may be used for another request.
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
  std::string input_;  // bytes that were read but not parsed yet
  std::unique_ptr<Response> response_;
  std::string error_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_HTTP_CONNECTION_H_

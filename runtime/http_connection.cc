#include "runtime/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <cerrno>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <utility>

namespace godwitpaddle {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kScheme = "http://";
constexpr std::size_t kReadBytes = 32U << 10U;
constexpr std::size_t kMaxResponseHeaderBytes = 64U << 10U;
constexpr unsigned kFirstFinalStatus = 200;  // 1xx responses are followed by another response

std::string ErrnoText(int error) { return std::generic_category().message(error); }

bool HasLineEnd(std::string_view text) { return text.find_first_of("\r\n") != text.npos; }

void AppendHeader(std::string& request, std::string_view name, std::string_view value) {
  if (name.empty() || HasLineEnd(name) || HasLineEnd(value)) {
    throw std::invalid_argument("a header has no name or contains a line break");
  }
  request.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

HttpTarget ParseHttpUrl(const std::string& url) {
  if (!url.starts_with(kScheme)) throw std::invalid_argument("not an http:// URL: " + url);
  const std::size_t path = std::min(url.find('/', kScheme.size()), url.size());
  HttpTarget target{.server = url.substr(kScheme.size(), path - kScheme.size()),
                    .path = path == url.size() ? "/" : url.substr(path)};
  if (target.path.find_first_of(" \r\n") != std::string::npos) {
    throw std::invalid_argument("the URL contains a space or a line break: " + url);
  }
  return target;
}

std::string EncodeHttpRequest(const HttpTransfer& transfer, const HttpTarget& target) {
  std::string request;
  request.append(transfer.method).append(" ").append(target.path).append(" HTTP/1.1\r\n");
  AppendHeader(request, "Host", target.server);
  for (const auto& [name, value] : transfer.headers) AppendHeader(request, name, value);
  const bool may_have_body = transfer.method == "POST" || transfer.method == "PUT";
  if (may_have_body || !transfer.body.empty()) {
    AppendHeader(request, "Content-Length", std::to_string(transfer.body.size()));
  }
  request.append("\r\n").append(transfer.body);
  return request;
}

struct HttpConnection::Response {
  http::response_parser<http::string_body> parser;

  explicit Response(std::size_t max_bytes) {
    parser.eager(true);
    parser.body_limit(max_bytes);
    parser.header_limit(static_cast<std::uint32_t>(kMaxResponseHeaderBytes));
  }
};

HttpConnection::HttpConnection(const std::string& server) : address_(ParseAddress(server)) {}

HttpConnection::~HttpConnection() = default;

HttpConnection::HttpConnection(HttpConnection&& other) noexcept = default;

HttpConnection& HttpConnection::operator=(HttpConnection&& other) noexcept = default;

bool HttpConnection::Connect() {
  socket_ = FileDescriptor(
      socket(address_.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_.valid()) {
    error_ = ErrnoText(errno);
    return false;
  }
  const int on = 1;
  setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(socket_.get(), address_.get(), address_.length) == 0 || errno == EINPROGRESS) {
    return true;
  }
  error_ = ErrnoText(errno);
  return false;
}

void HttpConnection::BeginRequest(std::string request, std::size_t max_response_bytes) {
  request_ = std::move(request);
  written_ = 0;
  max_response_bytes_ = max_response_bytes;
  response_ = std::make_unique<Response>(max_response_bytes);
}

HttpConnection::Progress HttpConnection::Fail(std::string error) {
  reusable_ = false;
  error_ = std::move(error);
  return Progress::kBroken;
}

void HttpConnection::DiscardUnsent() const {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

HttpConnection::Progress HttpConnection::Write() {
  if (!connected_) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) return Fail(ErrnoText(error));
    connected_ = true;
  }
  while (written_ < request_.size()) {
    const ssize_t sent =
        send(socket_.get(), request_.data() + written_, request_.size() - written_, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EAGAIN || errno == EINTR) return Progress::kWaiting;
      return Fail(ErrnoText(errno));
    }
    written_ += static_cast<std::size_t>(sent);
  }
  return Progress::kWaiting;
}

HttpConnection::Progress HttpConnection::Read() {
  std::array<char, kReadBytes> bytes;  // NOLINT(cppcoreguidelines-pro-type-member-init): large
  const ssize_t count = recv(socket_.get(), bytes.data(), bytes.size(), 0);
  if (count < 0) {
    if (errno == EAGAIN || errno == EINTR) return Progress::kWaiting;
    return Fail(ErrnoText(errno));
  }
  if (!response_) return Fail("the server closed an idle connection");
  if (count == 0) return ParseEof();
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return Parse();
}

HttpConnection::Progress HttpConnection::ReadArrived() {
  // A server that sends without end must not keep the caller here.
  const std::size_t max_reads = (max_response_bytes_ + kMaxResponseHeaderBytes) / kReadBytes + 1;
  pollfd readable{.fd = socket_.get(), .events = POLLIN};
  Progress progress = Progress::kWaiting;
  for (std::size_t i = 0; i < max_reads && progress == Progress::kWaiting; ++i) {
    if (poll(&readable, 1, 0) != 1) break;
    progress = Read();
  }
  return progress;
}

HttpConnection::Progress HttpConnection::Parse() {
  while (!input_.empty()) {
    auto& parser = response_->parser;
    boost::system::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(input_), error);
    input_.erase(0, used);
    if (error == http::error::need_more) return Progress::kWaiting;
    if (error == http::error::body_limit || IsTooLarge()) return Fail("the response is too large");
    if (error) return Fail("the response is malformed: " + error.message());
    if (parser.is_done()) {
      if (parser.get().result_int() >= kFirstFinalStatus) return Finish();
      response_ = std::make_unique<Response>(max_response_bytes_);
    } else if (used == 0) {
      return Progress::kWaiting;
    }
  }
  return Progress::kWaiting;
}

/// Checks the declared length, which the parser itself checks only if the header arrives without a
/// part of the body.
bool HttpConnection::IsTooLarge() const {
  const auto& parser = response_->parser;
  if (!parser.is_header_done()) return false;
  const auto declared = parser.content_length();
  return declared && *declared > max_response_bytes_;
}

HttpConnection::Progress HttpConnection::Finish() {
  // Bytes after the response belong to no request, so the connection cannot be reused.
  reusable_ = reusable_ && response_->parser.keep_alive() && input_.empty() && !wants_to_write();
  return Progress::kDone;
}

/// Handles the close by the server, which marks the end of a response without a declared length.
HttpConnection::Progress HttpConnection::ParseEof() {
  auto& parser = response_->parser;
  reusable_ = false;
  boost::system::error_code error;
  if (parser.is_header_done()) parser.put_eof(error);
  if (error || !parser.is_done()) return Fail("the server closed the connection");
  return Progress::kDone;
}

HttpResult HttpConnection::TakeResponse() {
  const std::unique_ptr<Response> response = std::move(response_);
  auto message = response->parser.release();
  HttpResult result{.end = TransferEnd::kAnswered,
                    .status = static_cast<int>(message.result_int()),
                    .body = std::move(message.body())};
  for (const auto& field : message) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto value = field.value();
    result.headers[name].assign(value.data(), value.size());
  }
  return result;
}

}  // namespace godwitpaddle

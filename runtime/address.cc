#include "runtime/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstdint>
#include <cstring>
#include <optional>
#include <stdexcept>

namespace godwitpaddle {
namespace {

std::optional<std::uint16_t> ParsePort(const std::string& text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  return port;
}

template <typename Address>
SocketAddress Store(const Address& address) {
  SocketAddress result;
  std::memcpy(&result.storage, &address, sizeof(address));
  result.length = sizeof(address);
  return result;
}

}  // namespace

SocketAddress ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  const auto port = colon == std::string::npos ? std::nullopt : ParsePort(text.substr(colon + 1));
  if (port) {
    const std::string host = text.substr(0, colon);
    sockaddr_in v4{.sin_family = AF_INET, .sin_port = htons(*port)};
    if (inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1) return Store(v4);
    sockaddr_in6 v6{.sin6_family = AF_INET6, .sin6_port = htons(*port)};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']' &&
        inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6.sin6_addr) == 1) {
      return Store(v6);
    }
  }
  throw std::invalid_argument("not an IP address and port: \"" + text + "\"");
}

}  // namespace godwitpaddle

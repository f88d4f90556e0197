#ifndef GODWITPADDLE_RUNTIME_ADDRESS_H_
#define GODWITPADDLE_RUNTIME_ADDRESS_H_

#include <sys/socket.h>

#include <string>

namespace godwitpaddle {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Parses an IPv4 or IPv6 address with a port, such as "1.2.3.4:80" or "[::1]:80". Host names are
/// not resolved. Throws std::invalid_argument.
SocketAddress ParseAddress(const std::string& text);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_ADDRESS_H_

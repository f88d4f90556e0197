#include <sodium.h>
#include <strings.h>

#include "node/admin.h"

namespace godwitpaddle {
namespace {

constexpr std::size_t kHashBytes = 32;
constexpr std::size_t kMaxSecretBytes = 256;

// Returns KEY of "Bearer KEY", or an empty string for any other header value.
std::string BearerSecret(const std::string& authorization) {
  static constexpr std::string_view kScheme = "Bearer ";
  if (authorization.size() <= kScheme.size() ||
      authorization.size() > kScheme.size() + kMaxSecretBytes ||
      strncasecmp(authorization.data(), kScheme.data(), kScheme.size()) != 0) {
    return "";
  }
  return authorization.substr(kScheme.size());
}

}  // namespace

std::string HashKey(const std::string& secret) {
  std::string hash(kHashBytes, '\0');
  crypto_generichash(reinterpret_cast<unsigned char*>(hash.data()), hash.size(),
                     reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), nullptr,
                     0);
  return hash;
}

const KeyRecord* FindKey(const FleetState& state, const std::string& authorization) {
  const std::string secret = BearerSecret(authorization);
  if (secret.empty()) return nullptr;
  const std::string hash = HashKey(secret);
  const KeyRecord* found = nullptr;
  // Compares with every key, so that the duration does not reveal which one matched.
  for (const auto& [id, key] : state.keys) {
    if (key.hash.size() == hash.size() &&
        sodium_memcmp(key.hash.data(), hash.data(), hash.size()) == 0) {
      found = &key;
    }
  }
  return found;
}

}  // namespace godwitpaddle

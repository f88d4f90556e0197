#include "ctl/secrets.h"

#include <sodium.h>

#include <array>

#include "node/admin.h"

namespace godwitpaddle::ctl {

GeneratedKey GenerateKey() {
  static constexpr int kVariant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
  std::array<unsigned char, 32> bytes{};
  std::array<char, sodium_base64_ENCODED_LEN(32, kVariant)> text{};
  randombytes_buf(bytes.data(), bytes.size());
  sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), kVariant);
  sodium_memzero(bytes.data(), bytes.size());
  GeneratedKey key{.secret = text.data(), .hash_hex = {}};
  const std::string hash = HashKey(key.secret);
  std::array<char, 65> hex{};
  sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char*>(hash.data()),
                 hash.size());
  key.hash_hex = hex.data();
  return key;
}

}  // namespace godwitpaddle::ctl

#ifndef GODWITPADDLE_CTL_SECRETS_H_
#define GODWITPADDLE_CTL_SECRETS_H_

#include <string>

namespace godwitpaddle::ctl {

/// A new API key: the secret for its holder, and the hash that the daemons store instead of it.
struct GeneratedKey {
  std::string secret;    // URL-safe base64 of 256 random bits
  std::string hash_hex;  // hash of the secret, lower case
};

/// Generates a random key. Needs sodium_init() to have been called.
GeneratedKey GenerateKey();

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_SECRETS_H_

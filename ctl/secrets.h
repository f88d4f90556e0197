#ifndef GODWITPADDLE_CTL_SECRETS_H_
#define GODWITPADDLE_CTL_SECRETS_H_

#include <string>

namespace godwitpaddle::ctl {

/// A new key: the secret for its holder, and the hash that daemons store.
struct GeneratedKey {
  std::string secret;    // URL-safe base64 of 256 random bits
  std::string hash_hex;  // lower case
};

GeneratedKey GenerateKey();

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_SECRETS_H_

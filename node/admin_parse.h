#ifndef GODWITPADDLE_NODE_ADMIN_PARSE_H_
#define GODWITPADDLE_NODE_ADMIN_PARSE_H_

#include <stdexcept>
#include <string>

#include "base/time.h"
#include "decision/commands.h"
#include "decision/fleet_state.h"

namespace godwitpaddle {

/// Rejects an admin request: the node answers with this error and changes nothing. `status` is the
/// HTTP status, `error` the name of the error in the answer.
class AdminError : public std::runtime_error {
 public:
  AdminError(int status, std::string error, const std::string& message)
      : std::runtime_error(message), status_(status), error_(std::move(error)) {}
  int status() const { return status_; }
  const std::string& error() const { return error_; }

 private:
  int status_;
  std::string error_;
};

inline constexpr std::size_t kMaxAdminBodyBytes = 4U << 20U;
inline constexpr std::size_t kMaxConfigFileBytes = 1U << 20U;
inline constexpr std::size_t kMaxFilesPerChange = 256;
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxReasonBytes = 1'000;
inline constexpr std::size_t kMaxBootstrapKeys = 16;
inline constexpr std::size_t kKeyHashBytes = 32;

/// These functions parse the JSON bodies of admin requests. They throw AdminError with status 400
/// on malformed JSON, unknown or missing fields, wrong types and values out of bounds, and with
/// status 413 on a body over kMaxAdminBodyBytes.
SubmitConfig ParseChange(const std::string& body, const std::string& author);
DecideReview ParseReview(const std::string& body, const std::string& author);
GrantKey ParseGrant(const std::string& body, WallMs wall);
RevokeKey ParseRevocation(const std::string& body);
ControlWave ParseWaveControl(const std::string& body, const WaveId& wave);
std::vector<GrantKey> ParseBootstrap(const std::string& body, WallMs wall);
/// Parses a body with a change id and no other field, and returns the id.
std::string ParseChangeId(const std::string& body);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_ADMIN_PARSE_H_

#ifndef GODWITPADDLE_NODE_ADMIN_PARSE_H_
#define GODWITPADDLE_NODE_ADMIN_PARSE_H_

#include <stdexcept>
#include <string>

#include "base/time.h"
#include "decision/commands.h"
#include "decision/fleet_state.h"

namespace godwitpaddle {

/// A request that is answered with an error and changes nothing.
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

/// Each parses the JSON body of one admin request. They throw AdminError with status 400 on
/// malformed text, unknown or missing fields, wrong types and values out of bounds.
SubmitConfig ParseChange(const std::string& body, const std::string& author);
DecideReview ParseReview(const std::string& body, const std::string& author);
GrantKey ParseGrant(const std::string& body, WallMs wall);
RevokeKey ParseRevocation(const std::string& body);
ControlWave ParseWaveControl(const std::string& body, const WaveId& wave);
std::vector<GrantKey> ParseBootstrap(const std::string& body, WallMs wall);
/// Body with a change id and nothing else.
std::string ParseChangeId(const std::string& body);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_ADMIN_PARSE_H_

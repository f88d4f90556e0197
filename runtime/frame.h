#ifndef GODWITPADDLE_RUNTIME_FRAME_H_
#define GODWITPADDLE_RUNTIME_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "node/messages.h"

namespace godwitpaddle {

inline constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// Thrown for a frame that is too long or malformed. The connection that it came on must be closed.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct FrameHeader {
  std::uint32_t group = 0;
  NodeId sender;
  MSGPACK_DEFINE(group, sender)
};

/// Returns the bytes of one frame: a 4-byte big-endian length, the header and the message. Throws
/// FrameError if header and message exceed kMaxFrameBytes.
std::string EncodeFrame(const FrameHeader& header, const PeerMessage& message);

struct Frame {
  FrameHeader header;
  PeerMessage message;
};

/// Decodes a frame whose length prefix has been removed. Throws FrameError.
Frame DecodeFrame(std::string_view payload);

/// Splits a byte stream into frames.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_frame_bytes = kMaxFrameBytes) : max_(max_frame_bytes) {}

  void Feed(std::string_view bytes);
  /// Returns the next complete frame without its length prefix, or nothing if more bytes are
  /// needed. The result is valid until the next call of Feed. Throws FrameError as soon as a length
  /// prefix exceeds the limit.
  std::optional<std::string_view> Next();

 private:
  const std::size_t max_;
  std::string buffer_;
  std::size_t start_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_FRAME_H_

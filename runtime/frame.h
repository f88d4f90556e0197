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

/// A frame that is too long or does not decode. The connection cannot be used any more.
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
/// FrameError when the message is too long.
std::string EncodeFrame(const FrameHeader& header, const PeerMessage& message);

struct Frame {
  FrameHeader header;
  PeerMessage message;
};

/// Decodes a frame without its length. Throws FrameError.
Frame DecodeFrame(std::string_view payload);

/// Cuts a byte stream into frames.
class FrameReader {
 public:
  explicit FrameReader(std::size_t max_frame_bytes = kMaxFrameBytes) : max_(max_frame_bytes) {}

  void Feed(std::string_view bytes);
  /// The next whole frame without its length; valid until the next call. Throws FrameError as soon
  /// as a length is over the bound.
  std::optional<std::string_view> Next();

 private:
  const std::size_t max_;
  std::string buffer_;
  std::size_t start_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_FRAME_H_

#include "runtime/frame.h"

#include <exception>

namespace godwitpaddle {
namespace {

constexpr std::size_t kLengthBytes = 4;
// An empty buffer that a large frame made grow beyond this size is released.
constexpr std::size_t kKeptBufferBytes = 256U << 10U;

void PutLength(std::string& bytes, std::size_t length) {
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>((length >> (8U * (kLengthBytes - 1 - i))) & 0xFFU);
  }
}

std::size_t GetLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

msgpack::object_handle Unpack(std::string_view payload, std::size_t& offset) {
  // Each element takes at least one byte, so an element count above the payload size is malformed.
  // Without the limit msgpack would allocate memory for that count.
  const msgpack::unpack_limit limit(payload.size(), payload.size());
  return msgpack::unpack(payload.data(), payload.size(), offset, nullptr, nullptr, limit);
}

}  // namespace

std::string EncodeFrame(const FrameHeader& header, const PeerMessage& message) {
  std::string bytes(kLengthBytes, '\0');
  bytes += Encode(header);
  bytes += Encode(message);
  const std::size_t length = bytes.size() - kLengthBytes;
  if (length > kMaxFrameBytes) {
    throw FrameError("message of " + std::to_string(length) + " bytes exceeds the frame limit");
  }
  PutLength(bytes, length);
  return bytes;
}

Frame DecodeFrame(std::string_view payload) {
  try {
    std::size_t offset = 0;
    Frame frame;
    Unpack(payload, offset).get().convert(frame.header);
    Unpack(payload, offset).get().convert(frame.message);
    if (offset != payload.size()) throw FrameError("malformed frame: extra bytes at its end");
    return frame;
  } catch (const FrameError&) {
    throw;
  } catch (const std::exception& error) {
    throw FrameError(std::string("malformed frame: ") + error.what());
  }
}

void FrameReader::Feed(std::string_view bytes) {
  if (start_ > 0) {
    buffer_.erase(0, start_);
    start_ = 0;
  }
  if (buffer_.empty() && buffer_.capacity() > kKeptBufferBytes) buffer_ = std::string();
  buffer_.append(bytes);
}

std::optional<std::string_view> FrameReader::Next() {
  const std::string_view all = buffer_;
  const std::string_view rest = all.substr(start_);
  if (rest.size() < kLengthBytes) return std::nullopt;
  const std::size_t length = GetLength(rest);
  if (length > max_) {
    throw FrameError("frame of " + std::to_string(length) + " bytes exceeds the limit");
  }
  if (rest.size() < kLengthBytes + length) return std::nullopt;
  start_ += kLengthBytes + length;
  return rest.substr(kLengthBytes, length);
}

}  // namespace godwitpaddle

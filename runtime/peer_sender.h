#ifndef GODWITPADDLE_RUNTIME_PEER_SENDER_H_
#define GODWITPADDLE_RUNTIME_PEER_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "runtime/address.h"
#include "runtime/file_descriptor.h"

namespace godwitpaddle {

/// Limits of the send queue of one destination.
struct SendQueueLimits {
  std::size_t frames = 0;
  std::size_t bytes = 0;
};

/// The outgoing connection to one destination and its send queue. The owner polls the socket.
class PeerSender {
 public:
  /// Throws std::invalid_argument if the address is malformed.
  PeerSender(const std::string& address, SendQueueLimits limits);

  /// Adds a frame. Returns the number of older frames that were dropped to stay within the limits.
  std::size_t Enqueue(std::string frame, Micros now);

  /// Starts to connect. Returns false on an immediate failure.
  bool Connect();
  /// Writes as much as the socket accepts. Returns false if the connection failed.
  bool Write();
  /// Closes the connection and drops the frames that are too old. Returns the number of dropped
  /// frames.
  std::size_t Disconnect(Micros now);
  /// Returns the time to wait before the next attempt to connect. It doubles up to a limit and has
  /// random jitter.
  Micros NextBackoff(Rng& rng);

  int fd() const { return socket_.get(); }
  bool connected() const { return connected_; }
  bool has_frames() const { return !frames_.empty(); }
  Micros last_used() const { return last_used_; }
  std::uint64_t sent_frames() const { return sent_frames_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct QueuedFrame {
    std::string bytes;
    Micros queued_at = 0;
  };

  bool FinishConnect();
  void DropFrame(std::size_t index);

  const SocketAddress address_;
  const SendQueueLimits limits_;
  FileDescriptor socket_;
  bool connected_ = false;
  std::deque<QueuedFrame> frames_;
  std::size_t queued_bytes_ = 0;
  std::size_t written_ = 0;  // bytes of the first frame that were sent
  Micros backoff_ = 0;
  Micros last_used_ = 0;
  std::uint64_t sent_frames_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_PEER_SENDER_H_

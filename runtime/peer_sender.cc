#include "runtime/peer_sender.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace godwitpaddle {
namespace {

// TCP closes the connection if data remains unacknowledged for this long. This detects a network
// partition long before the system's default of many minutes.
constexpr unsigned kUserTimeoutMs = 2'000;
// Older frames are dropped when a connection breaks. They would be stale when the destination is
// reachable again: they contain times relative to their sending, and the node resends what still
// matters every second.
constexpr Micros kMaxFrameAge = 1 * kSecond;
constexpr Micros kMinBackoff = 50 * kMillisecond;
constexpr Micros kMaxBackoff = 1 * kSecond;

}  // namespace

PeerSender::PeerSender(const std::string& address, SendQueueLimits limits)
    : address_(ParseAddress(address)), limits_(limits) {}

std::size_t PeerSender::Enqueue(std::string frame, Micros now) {
  last_used_ = now;
  queued_bytes_ += frame.size();
  frames_.push_back({std::move(frame), now});
  std::size_t dropped = 0;
  // A partly written frame must not be dropped, or the receiver would misread the stream.
  const std::size_t first = written_ > 0 ? 1 : 0;
  while (frames_.size() > first + 1 &&
         (frames_.size() > limits_.frames || queued_bytes_ > limits_.bytes)) {
    DropFrame(first);
    ++dropped;
  }
  return dropped;
}

void PeerSender::DropFrame(std::size_t index) {
  queued_bytes_ -= frames_[index].bytes.size();
  frames_.erase(frames_.begin() + static_cast<std::ptrdiff_t>(index));
}

bool PeerSender::Connect() {
  socket_ = FileDescriptor(
      socket(address_.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_.valid()) return false;
  const int on = 1;
  setsockopt(socket_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket_.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  return connect(socket_.get(), address_.get(), address_.length) == 0 || errno == EINPROGRESS;
}

bool PeerSender::FinishConnect() {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &length);
  connected_ = error == 0;
  return connected_;
}

bool PeerSender::Write() {
  if (!connected_ && !FinishConnect()) return false;
  while (!frames_.empty()) {
    const std::string& bytes = frames_.front().bytes;
    const ssize_t sent =
        send(socket_.get(), bytes.data() + written_, bytes.size() - written_, MSG_NOSIGNAL);
    if (sent < 0) return errno == EAGAIN || errno == EINTR;
    backoff_ = 0;
    sent_bytes_ += static_cast<std::uint64_t>(sent);
    written_ += static_cast<std::size_t>(sent);
    if (written_ < bytes.size()) return true;
    written_ = 0;
    ++sent_frames_;
    DropFrame(0);
  }
  return true;
}

std::size_t PeerSender::Disconnect(Micros now) {
  socket_.Reset();
  connected_ = false;
  written_ = 0;
  std::size_t dropped = 0;
  while (!frames_.empty() && frames_.front().queued_at + kMaxFrameAge < now) {
    DropFrame(0);
    ++dropped;
  }
  return dropped;
}

Micros PeerSender::NextBackoff(Rng& rng) {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  return backoff_ / 2 +
         static_cast<Micros>(UniformBelow(rng, static_cast<std::uint64_t>(backoff_)));
}

}  // namespace godwitpaddle

#ifndef GODWITPADDLE_RUNTIME_PEER_LINK_H_
#define GODWITPADDLE_RUNTIME_PEER_LINK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "node/node.h"
#include "runtime/frame.h"
#include "runtime/task.h"

namespace godwitpaddle {

/// Id of the only replication group.
inline constexpr std::uint32_t kFirstGroup = 0;

struct PeerLinkOptions {
  std::string address;  // address to listen on, "IP:port"; port 0: any free port
  FrameHeader header;   // header of sent frames; received frames of other groups are ignored
  std::size_t max_queue_frames = 4'096;              // per destination
  std::size_t max_queue_bytes = 2 * kMaxFrameBytes;  // per destination
  std::size_t max_incoming = 256;  // incoming connections; further connections are closed
  std::uint64_t seed = 1;          // seed of the random backoff jitter
};

/// Totals since the start of the process.
struct PeerLinkCounters {
  std::atomic<std::uint64_t> sent_frames{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> received_frames{0};
  std::atomic<std::uint64_t> received_bytes{0};
  std::atomic<std::uint64_t> dropped_frames{0};
  std::atomic<std::uint64_t> malformed_frames{0};
};

/// Task with all TCP connections between this node and the others. It keeps one outgoing connection
/// per destination address and reads from the connections that other nodes opened. Delivery is not
/// guaranteed: frames are dropped, oldest first, if a queue is full or the destination is
/// unreachable. The node resends what still matters.
class PeerLink : public Task<SendEffect> {
 public:
  /// Called in this task with each received message. It may block, which slows down the senders.
  using Deliver = std::function<void(PeerMessage message)>;

  /// Starts to listen. Throws std::system_error or std::invalid_argument.
  PeerLink(PeerLinkOptions options, Deliver deliver);
  ~PeerLink() override;

  std::uint16_t port() const;
  const PeerLinkCounters& counters() const;

 private:
  struct Impl;

  void Handle(SendEffect effect) override;
  void WaitForWork(Micros until) override;
  void Wake() override;

  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_PEER_LINK_H_

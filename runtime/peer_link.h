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

/// The one replication group of today.
inline constexpr std::uint32_t kFirstGroup = 0;

struct PeerLinkOptions {
  std::string address;  // listens here; port 0 takes a free one
  FrameHeader header;   // of the frames it sends; frames of other groups are ignored
  std::size_t max_queue_frames = 4'096;
  std::size_t max_queue_bytes = 2 * kMaxFrameBytes;  // per destination
  std::size_t max_incoming = 256;                    // connections from other nodes
  std::uint64_t seed = 1;                            // of the back-off jitter
};

/// Counts since the start.
struct PeerLinkCounters {
  std::atomic<std::uint64_t> sent_frames{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> received_frames{0};
  std::atomic<std::uint64_t> received_bytes{0};
  std::atomic<std::uint64_t> dropped_frames{0};
  std::atomic<std::uint64_t> malformed_frames{0};
};

/// All TCP connections between this node and others, in one task. It keeps one outgoing connection
/// per destination address and reads from those that others opened. Delivery is not assured: frames
/// are dropped, the oldest first, when a queue is full or the destination is away; the node repeats
/// what matters.
class PeerLink : public Task<SendEffect> {
 public:
  /// `deliver` runs in this task; it may wait, which holds back the senders.
  using Deliver = std::function<void(PeerMessage message)>;

  /// Listens at once. Throws std::system_error or std::invalid_argument.
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

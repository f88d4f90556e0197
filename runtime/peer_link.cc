#include "runtime/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <system_error>
#include <utility>

#include "base/random.h"
#include "runtime/file_descriptor.h"
#include "runtime/log.h"
#include "runtime/peer_sender.h"
#include "runtime/wake_event.h"

namespace godwitpaddle {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;
constexpr int kListenBacklog = 128;
constexpr Micros kConnectTimeout = 1 * kSecond;
// A destination is removed if nothing was sent to it for this long. Nodes send every second, so
// such a destination is no longer in use.
constexpr Micros kRemoveUnusedAfter = 60 * kSecond;

int Checked(int result, const char* what) {
  if (result < 0) throw std::system_error(errno, std::generic_category(), what);
  return result;
}

/// Enables TCP keepalive, so that connections whose sender vanished without closing them end. They
/// would otherwise use up max_incoming.
void KeepAlive(int fd) {
  const int on = 1;
  const int idle_seconds = 10;
  const int interval_seconds = 5;
  const int probes = 3;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof(idle_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds, sizeof(interval_seconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

FileDescriptor Listen(const std::string& text) {
  const SocketAddress address = ParseAddress(text);
  FileDescriptor socket(
      Checked(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
              "cannot create the peer socket"));
  const int on = 1;
  setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const std::string what = "cannot listen for peers on " + text;
  Checked(bind(socket.get(), address.get(), address.length), what.c_str());
  Checked(listen(socket.get(), kListenBacklog), what.c_str());
  return socket;
}

}  // namespace

struct PeerLink::Impl {
  struct Incoming {
    FileDescriptor socket;
    FrameReader reader;
  };
  struct Outgoing {
    Outgoing(const std::string& address, SendQueueLimits limits) : sender(address, limits) {}
    PeerSender sender;
    Timers::Id retry = 0;  // timer of the next attempt to connect or of the connect timeout
    std::uint64_t counted_frames = 0;
    std::uint64_t counted_bytes = 0;
  };

  PeerLinkOptions options;
  Deliver deliver;
  Timers& timers;
  Rng rng;
  FileDescriptor poll;
  WakeEvent wake;
  FileDescriptor listener;
  std::map<int, Incoming> incoming;
  std::map<std::string, Outgoing> outgoing;
  std::map<int, std::string> outgoing_by_fd;
  PeerLinkCounters counters;

  Impl(PeerLinkOptions link_options, Deliver callback, Timers& task_timers)
      : options(std::move(link_options)),
        deliver(std::move(callback)),
        timers(task_timers),
        rng(options.seed),
        poll(Checked(epoll_create1(EPOLL_CLOEXEC), "cannot create the epoll set")),
        listener(Listen(options.address)) {
    Watch(wake.fd(), EPOLLIN, EPOLL_CTL_ADD);
    Watch(listener.get(), EPOLLIN, EPOLL_CTL_ADD);
  }

  void Watch(int fd, std::uint32_t events, int operation) const {
    epoll_event event{.events = events, .data = {.fd = fd}};
    Checked(epoll_ctl(poll.get(), operation, fd, &event), "cannot add the socket to the epoll set");
  }

  void Poll(Micros until);
  void ServeSocket(int fd, std::uint32_t events);
  void Accept();
  void Read(int fd);
  bool ReadFrames(Incoming& connection);

  void Send(SendEffect effect);
  Outgoing& FindOrAdd(const std::string& address);
  void Connect(const std::string& address);
  void Flush(const std::string& address, Outgoing& peer);
  void Disconnect(const std::string& address, Outgoing& peer);
  void RemoveUnused();
};

void PeerLink::Impl::Poll(Micros until) {
  std::array<epoll_event, 64> events{};
  const Micros now = MonotonicNow();
  // Rounded up: if the poll ended before the timer is due, the task would busy-loop until then.
  const int timeout =
      until == kNever
          ? -1
          : static_cast<int>(std::max<Micros>(0, (until - now + kMillisecond - 1) / kMillisecond));
  const int count = epoll_wait(poll.get(), events.data(), static_cast<int>(events.size()), timeout);
  for (int i = 0; i < count; ++i) ServeSocket(events[i].data.fd, events[i].events);
}

void PeerLink::Impl::ServeSocket(int fd, std::uint32_t events) {
  if (fd == wake.fd()) {
    wake.Clear();
  } else if (fd == listener.get()) {
    Accept();
  } else if (const auto found = outgoing_by_fd.find(fd); found != outgoing_by_fd.end()) {
    const std::string address = found->second;
    Outgoing& peer = outgoing.at(address);
    // The peer sends nothing on this connection, so the only input is its close.
    if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0) {
      Disconnect(address, peer);
    } else {
      Flush(address, peer);
    }
  } else if (incoming.contains(fd)) {
    Read(fd);
  }
}

void PeerLink::Impl::Accept() {
  FileDescriptor socket(accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket.valid()) return;
  if (incoming.size() >= options.max_incoming) {
    LogEvent(Severity::kWarning, "peer_refused", {{"reason", "too many connections"}});
    return;
  }
  const int fd = socket.get();
  KeepAlive(fd);
  Watch(fd, EPOLLIN, EPOLL_CTL_ADD);
  incoming[fd].socket = std::move(socket);
}

void PeerLink::Impl::Read(int fd) {
  Incoming& connection = incoming.at(fd);
  std::array<char, kReadBytes> bytes;  // NOLINT: recv fills what is read
  const ssize_t count = recv(fd, bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  bool usable = count > 0;
  if (usable) {
    counters.received_bytes += static_cast<std::uint64_t>(count);
    connection.reader.Feed({bytes.data(), static_cast<std::size_t>(count)});
    usable = ReadFrames(connection);
  }
  if (!usable) incoming.erase(fd);
}

bool PeerLink::Impl::ReadFrames(Incoming& connection) {
  try {
    while (const auto payload = connection.reader.Next()) {
      Frame frame = DecodeFrame(*payload);
      ++counters.received_frames;
      if (frame.header.group == options.header.group) deliver(std::move(frame.message));
    }
    return true;
  } catch (const FrameError& error) {
    ++counters.malformed_frames;
    LogEvent(Severity::kWarning, "peer_frame_malformed", {{"reason", error.what()}});
    return false;
  }
}

void PeerLink::Impl::Send(SendEffect effect) {
  try {
    std::string frame = EncodeFrame(options.header, effect.message);
    Outgoing& peer = FindOrAdd(effect.address);
    counters.dropped_frames += peer.sender.Enqueue(std::move(frame), MonotonicNow());
    if (peer.sender.connected()) {
      Flush(effect.address, peer);
    } else if (peer.sender.fd() < 0 && peer.retry == 0) {
      Connect(effect.address);
    }
  } catch (const std::exception& error) {
    ++counters.dropped_frames;
    LogEvent(Severity::kWarning, "peer_send_failed",
             {{"address", effect.address}, {"reason", error.what()}});
  }
}

PeerLink::Impl::Outgoing& PeerLink::Impl::FindOrAdd(const std::string& address) {
  const auto found = outgoing.find(address);
  if (found != outgoing.end()) return found->second;
  RemoveUnused();
  return outgoing
      .try_emplace(address, address,
                   SendQueueLimits{options.max_queue_frames, options.max_queue_bytes})
      .first->second;
}

void PeerLink::Impl::Connect(const std::string& address) {
  const auto found = outgoing.find(address);
  if (found == outgoing.end()) return;
  Outgoing& peer = found->second;
  peer.retry = 0;
  if (!peer.sender.Connect()) {
    Disconnect(address, peer);
    return;
  }
  const int fd = peer.sender.fd();
  outgoing_by_fd[fd] = address;
  Watch(fd, EPOLLOUT | EPOLLRDHUP, EPOLL_CTL_ADD);
  peer.retry = timers.Schedule(MonotonicNow() + kConnectTimeout, [this, address] {
    const auto entry = outgoing.find(address);
    if (entry != outgoing.end()) Disconnect(address, entry->second);
  });
}

void PeerLink::Impl::Flush(const std::string& address, Outgoing& peer) {
  const bool was_connected = peer.sender.connected();
  if (!peer.sender.Write()) {
    Disconnect(address, peer);
    return;
  }
  if (!was_connected) {
    timers.Cancel(peer.retry);
    peer.retry = 0;
  }
  counters.sent_frames +=
      peer.sender.sent_frames() - std::exchange(peer.counted_frames, peer.sender.sent_frames());
  counters.sent_bytes +=
      peer.sender.sent_bytes() - std::exchange(peer.counted_bytes, peer.sender.sent_bytes());
  Watch(peer.sender.fd(), EPOLLRDHUP | (peer.sender.has_frames() ? EPOLLOUT : 0U), EPOLL_CTL_MOD);
}

void PeerLink::Impl::Disconnect(const std::string& address, Outgoing& peer) {
  timers.Cancel(peer.retry);
  peer.retry = 0;
  outgoing_by_fd.erase(peer.sender.fd());
  counters.dropped_frames += peer.sender.Disconnect(MonotonicNow());
  if (!peer.sender.has_frames()) return;  // the next frame starts a new connection
  peer.retry = timers.Schedule(MonotonicNow() + peer.sender.NextBackoff(rng),
                               [this, address] { Connect(address); });
}

void PeerLink::Impl::RemoveUnused() {
  const Micros before = MonotonicNow() - kRemoveUnusedAfter;
  for (auto next = outgoing.begin(); next != outgoing.end();) {
    Outgoing& peer = next->second;
    if (peer.sender.last_used() >= before) {
      ++next;
      continue;
    }
    timers.Cancel(peer.retry);
    outgoing_by_fd.erase(peer.sender.fd());
    next = outgoing.erase(next);
  }
}

PeerLink::PeerLink(PeerLinkOptions options, Deliver deliver)
    : Task("peers", 4'096),
      impl_(std::make_unique<Impl>(std::move(options), std::move(deliver), timers())) {}

PeerLink::~PeerLink() { Stop(); }

std::uint16_t PeerLink::port() const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(impl_->listener.get(), reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                             : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

const PeerLinkCounters& PeerLink::counters() const { return impl_->counters; }

void PeerLink::Handle(SendEffect effect) { impl_->Send(std::move(effect)); }

void PeerLink::WaitForWork(Micros until) { impl_->Poll(until); }

void PeerLink::Wake() { impl_->wake.Signal(); }

}  // namespace godwitpaddle

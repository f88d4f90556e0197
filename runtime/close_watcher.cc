#include "runtime/close_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <array>
#include <cerrno>
#include <limits>
#include <system_error>
#include <utility>

namespace godwitpaddle {
namespace {

constexpr std::uint64_t kStopNumber = std::numeric_limits<std::uint64_t>::max();

}  // namespace

CloseWatcher::CloseWatcher(std::function<void(std::uint64_t number)> closed)
    : closed_(std::move(closed)),
      poll_(epoll_create1(EPOLL_CLOEXEC)),
      stop_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!poll_.valid() || !stop_.valid()) {
    throw std::system_error(errno, std::generic_category(), "cannot watch connections");
  }
  epoll_event event{.events = EPOLLIN, .data = {.u64 = kStopNumber}};
  epoll_ctl(poll_.get(), EPOLL_CTL_ADD, stop_.get(), &event);
  thread_ = std::thread([this] { Run(); });
}

CloseWatcher::~CloseWatcher() { Stop(); }

void CloseWatcher::Add(int fd, std::uint64_t number) {
  epoll_event event{.events = EPOLLRDHUP | EPOLLONESHOT, .data = {.u64 = number}};
  epoll_ctl(poll_.get(), EPOLL_CTL_ADD, fd, &event);
}

void CloseWatcher::Remove(int fd) { epoll_ctl(poll_.get(), EPOLL_CTL_DEL, fd, nullptr); }

void CloseWatcher::Stop() {
  if (!thread_.joinable()) return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(stop_.get(), &one, sizeof(one));
  thread_.join();
}

void CloseWatcher::Run() {
  std::array<epoll_event, 64> events{};
  while (true) {
    const int count = epoll_wait(poll_.get(), events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kStopNumber) return;
      closed_(events[i].data.u64);
    }
  }
}

}  // namespace godwitpaddle

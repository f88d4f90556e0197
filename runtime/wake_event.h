#ifndef GODWITPADDLE_RUNTIME_WAKE_EVENT_H_
#define GODWITPADDLE_RUNTIME_WAKE_EVENT_H_

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <system_error>

#include "runtime/file_descriptor.h"

namespace godwitpaddle {

/// Wakes a task that waits on sockets. While a signal is pending, further signals need no system
/// call.
class WakeEvent {
 public:
  WakeEvent() {
    if (!event_.valid()) {
      throw std::system_error(errno, std::generic_category(), "cannot create the event");
    }
  }

  int fd() const { return event_.get(); }

  /// Wakes the task. Callable from any thread.
  void Signal() {
    if (signalled_.exchange(true)) return;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(fd(), &one, sizeof(one));
  }

  /// Clears the pending signal. The woken task must call it before it reads the data that the
  /// signal announces, so that it misses no signal.
  void Clear() {
    std::uint64_t value = 0;
    [[maybe_unused]] const ssize_t bytes = read(fd(), &value, sizeof(value));
    signalled_ = false;
  }

 private:
  FileDescriptor event_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)};
  std::atomic<bool> signalled_{false};
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_WAKE_EVENT_H_

#ifndef GODWITPADDLE_RUNTIME_CLOSE_WATCHER_H_
#define GODWITPADDLE_RUNTIME_CLOSE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <thread>

#include "runtime/file_descriptor.h"

namespace godwitpaddle {

/// Detects that the peer has closed a socket that is not being read. libmicrohttpd does not poll
/// suspended connections, so without this class the server would only detect the close when it
/// sends the response.
class CloseWatcher {
 public:
  /// `closed` is called in the watcher's thread with the number that was passed to Add. It may
  /// still be called after Remove has returned. Throws std::system_error.
  explicit CloseWatcher(std::function<void(std::uint64_t number)> closed);
  ~CloseWatcher();

  /// Watches the socket; `number` identifies it in the callback.
  void Add(int fd, std::uint64_t number);
  void Remove(int fd);
  /// Stops and joins the thread. Idempotent.
  void Stop();

 private:
  void Run();

  const std::function<void(std::uint64_t)> closed_;
  FileDescriptor poll_;
  FileDescriptor stop_;
  std::thread thread_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_CLOSE_WATCHER_H_

#ifndef GODWITPADDLE_RUNTIME_CLOSE_WATCHER_H_
#define GODWITPADDLE_RUNTIME_CLOSE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <thread>

#include "runtime/file_descriptor.h"

namespace godwitpaddle {

/// Notices when the other side closes a socket that nobody reads meanwhile. libmicrohttpd does not
/// poll suspended connections, so a caller that goes away would be noticed only with the answer.
class CloseWatcher {
 public:
  /// `closed` gets the number of the socket, in the watcher's thread; it may come late, after
  /// Remove. Throws std::system_error.
  explicit CloseWatcher(std::function<void(std::uint64_t number)> closed);
  ~CloseWatcher();

  void Add(int fd, std::uint64_t number);
  void Remove(int fd);
  /// Ends the thread; idempotent.
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

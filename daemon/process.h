#ifndef GODWITPADDLE_DAEMON_PROCESS_H_
#define GODWITPADDLE_DAEMON_PROCESS_H_

#include <memory>

#include "runtime/settings.h"

namespace godwitpaddle {

/// One node of the request service: creates its tasks (node, disk, network, platform), connects
/// them to each other, and starts and stops them.
class Process {
 public:
  /// Opens the data folder and the sockets. Throws replication::StorageError, SettingsError or
  /// another exception derived from std::exception if one of them cannot be opened.
  explicit Process(const Settings& settings);
  ~Process();

  void Start();
  /// Starts a graceful shutdown. The node reports its end through exit_fd().
  void BeginShutdown();
  /// Descriptor that becomes readable when the node wants to exit; call Finish() then.
  int exit_fd() const;
  /// Sends the answers that are pending, stops all tasks and returns the exit status of the
  /// process.
  int Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_PROCESS_H_

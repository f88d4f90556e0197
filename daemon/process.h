#ifndef GODWITPADDLE_DAEMON_PROCESS_H_
#define GODWITPADDLE_DAEMON_PROCESS_H_

#include <memory>

#include "runtime/settings.h"

namespace godwitpaddle {

/// All tasks of one daemon, connected.
class Process {
 public:
  /// Opens the data folder and the sockets. Throws replication::StorageError, SettingsError or
  /// std::exception when one cannot be used.
  explicit Process(const Settings& settings);
  ~Process();

  void Start();
  /// Starts the graceful shutdown.
  void BeginShutdown();
  /// Becomes readable when the node wants to exit.
  int exit_fd() const;
  /// Flushes answers, stops all tasks and returns the exit status.
  int Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_PROCESS_H_

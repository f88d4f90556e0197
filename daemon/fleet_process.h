#ifndef GODWITPADDLE_DAEMON_FLEET_PROCESS_H_
#define GODWITPADDLE_DAEMON_FLEET_PROCESS_H_

#include <memory>
#include <string>

#include "daemon/fleet_settings.h"

namespace godwitpaddle {

/// One node of job control, core or edge: creates its tasks (node, disk, network), connects them to
/// each other, and starts and stops them.
class FleetProcess {
 public:
  /// Opens the data folder and the sockets. Throws an exception derived from std::exception if one
  /// of them cannot be opened.
  FleetProcess(const FleetSettings& settings, std::string settings_file);
  ~FleetProcess();

  void Start();
  /// Starts a graceful shutdown. The node reports its end through exit_fd().
  void BeginShutdown();
  /// Reads the settings file again and applies its seeds; ignores changes of other settings. Logs
  /// an error and keeps the current seeds if the file is invalid.
  void Reload();
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

#endif  // GODWITPADDLE_DAEMON_FLEET_PROCESS_H_

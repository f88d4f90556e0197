#ifndef GODWITPADDLE_DAEMON_FLEET_PROCESS_H_
#define GODWITPADDLE_DAEMON_FLEET_PROCESS_H_

#include <memory>
#include <string>

#include "daemon/fleet_settings.h"

namespace godwitpaddle {

/// All tasks of one node of job control, connected.
class FleetProcess {
 public:
  /// Opens the data folder and the sockets. Throws std::exception when one cannot be used.
  FleetProcess(const FleetSettings& settings, std::string settings_file);
  ~FleetProcess();

  void Start();
  /// Starts the graceful shutdown.
  void BeginShutdown();
  /// Reads the settings file again; a file that cannot be used changes nothing.
  void Reload();
  /// Becomes readable when the node wants to exit.
  int exit_fd() const;
  /// Flushes answers, stops all tasks and returns the exit status.
  int Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_FLEET_PROCESS_H_

#include <poll.h>
#include <popt.h>
#include <pthread.h>
#include <sys/signalfd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <string>

#include "daemon/fleet_process.h"
#include "daemon/process.h"
#include "platform/settings_file.h"
#include "runtime/file_descriptor.h"
#include "runtime/http_platform.h"
#include "runtime/log.h"
#include "runtime/platform_adapter.h"
#include "runtime/settings.h"

namespace godwitpaddle {
namespace {

constexpr int kUsageError = 2;  // exit status for wrong usage and for invalid settings

struct Arguments {
  std::string config;
  std::string check;
  std::string fleet;
  std::string check_fleet;
  bool version = false;
  std::string error;

  /// Settings file of the action that Main() takes; empty if none is given.
  const std::string& file() const {
    for (const std::string* file : {&check, &check_fleet, &config}) {
      if (!file->empty()) return *file;
    }
    return fleet;
  }
};

Arguments ParseArguments(int argc, const char** argv) {
  char* config = nullptr;
  char* check = nullptr;
  char* fleet = nullptr;
  char* check_fleet = nullptr;
  int version = 0;
  const std::array<poptOption, 7> options = {{
      {"config", 'c', POPT_ARG_STRING, &config, 0,
       "run a node of the request service with this settings file", "FILE"},
      {"check", 0, POPT_ARG_STRING, &check, 0,
       "check a settings file of the request service and exit", "FILE"},
      {"fleet", 0, POPT_ARG_STRING, &fleet, 0,
       "run a node of job control with this settings file, or with the one that "
       "GODWITPADDLE_NODE_FILE names",
       "FILE"},
      {"check-fleet", 0, POPT_ARG_STRING, &check_fleet, 0,
       "check a settings file of job control and exit", "FILE"},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND,
  }};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("godwitpaddled", argc, argv, options.data(), 0), poptFreeContext);
  Arguments arguments;
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    arguments.error = std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(result);
  } else if (const char* extra = poptGetArg(context.get())) {
    arguments.error = std::string(extra) + ": unexpected argument";
  }
  if (config != nullptr) arguments.config = config;
  if (check != nullptr) arguments.check = check;
  if (fleet != nullptr) arguments.fleet = fleet;
  if (check_fleet != nullptr) arguments.check_fleet = check_fleet;
  const char* named = std::getenv(platform::kSettingsFileVariable);
  if (!arguments.fleet.empty() && named != nullptr && *named != '\0') arguments.fleet = named;
  arguments.version = version != 0;
  std::free(config);
  std::free(check);
  std::free(fleet);
  std::free(check_fleet);
  return arguments;
}

/// Reads a settings file and checks that its platform adapter exists and accepts its address.
/// Throws SettingsError if either fails.
Settings LoadSettings(const std::string& file) {
  Settings settings = ReadSettings(file);
  LinkHttpPlatform();
  const std::string& adapter = settings.platform.adapter;
  if (!adapter.empty()) {
    try {
      PlatformRegistry::Instance().Create(adapter, {.address = settings.platform.address});
    } catch (const std::invalid_argument& error) {
      throw SettingsError(std::string("platform.adapter: ") + error.what());
    }
  }
  return settings;
}

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in the threads that it starts later,
/// ignores SIGPIPE, and returns a descriptor from which the blocked signals are read.
FileDescriptor BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return FileDescriptor(signalfd(-1, &signals, SFD_CLOEXEC));
}

/// Period of reading the settings again, since the file may change without a SIGHUP.
constexpr int kReloadPeriodMs = 2'000;

/// Does nothing: the request service reads its settings only at start.
void Reload(Process& /*process*/) {}
void Reload(FleetProcess& process) { process.Reload(); }

/// Runs until the node exits and returns its exit status. The first SIGTERM or SIGINT starts a
/// graceful shutdown, a second one ends the process at once. SIGHUP reloads the settings.
template <typename AnyProcess>
int Supervise(AnyProcess& process, const FileDescriptor& signals) {
  bool stopping = false;
  while (true) {
    std::array<pollfd, 2> watched = {
        {{.fd = signals.get(), .events = POLLIN}, {.fd = process.exit_fd(), .events = POLLIN}}};
    const int ready = poll(watched.data(), watched.size(), kReloadPeriodMs);
    if (ready == 0) Reload(process);
    if (ready <= 0) continue;
    if (watched[1].revents != 0) return process.Finish();
    signalfd_siginfo info{};
    if (read(signals.get(), &info, sizeof(info)) != sizeof(info)) continue;
    LogEvent(Severity::kInfo, "signal", {{"number", std::to_string(info.ssi_signo)}});
    if (info.ssi_signo == SIGHUP) {
      Reload(process);
      continue;
    }
    if (stopping) std::_Exit(EXIT_FAILURE);
    stopping = true;
    process.BeginShutdown();
  }
}

int Run(const std::string& file) {
  const Settings settings = LoadSettings(file);
  StartLog(settings.log, "godwitpaddled");
  const FileDescriptor signals = BlockSignals();
  Process process(settings);
  process.Start();
  LogEvent(Severity::kInfo, "started",
           {{"node", settings.node},
            {"version", GODWITPADDLE_VERSION},
            {"peer_address", settings.peer_address},
            {"http_address", settings.http_address}});
  return Supervise(process, signals);
}

int RunFleet(const std::string& file) {
  const FleetSettings settings = ReadFleetSettings(file);
  StartLog({.standard_output = true}, "godwitpaddled");
  const FileDescriptor signals = BlockSignals();
  FleetProcess process(settings, file);
  process.Start();
  LogEvent(Severity::kInfo, "started",
           {{"node", settings.node},
            {"version", GODWITPADDLE_VERSION},
            {"role", std::string(NameOf(kFleetRoleNames, settings.role))},
            {"peer_address", settings.peer_address()},
            {"forms_group", settings.forms_group ? "true" : "false"}});
  return Supervise(process, signals);
}

int Main(int argc, const char** argv) {
  const Arguments arguments = ParseArguments(argc, argv);
  if (!arguments.error.empty()) {
    std::fprintf(stderr, "godwitpaddled: %s\n", arguments.error.c_str());
    return kUsageError;
  }
  if (arguments.version) {
    std::puts("godwitpaddled " GODWITPADDLE_VERSION);
    return EXIT_SUCCESS;
  }
  try {
    if (!arguments.check.empty()) {
      LoadSettings(arguments.check);
      std::printf("%s: ok\n", arguments.check.c_str());
      return EXIT_SUCCESS;
    }
    if (!arguments.check_fleet.empty()) {
      ReadFleetSettings(arguments.check_fleet);
      std::printf("%s: ok\n", arguments.check_fleet.c_str());
      return EXIT_SUCCESS;
    }
    if (!arguments.config.empty()) return Run(arguments.config);
    if (!arguments.fleet.empty()) return RunFleet(arguments.fleet);
  } catch (const SettingsError& error) {
    std::fprintf(stderr, "godwitpaddled: %s: %s\n", arguments.file().c_str(), error.what());
    return kUsageError;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "godwitpaddled: %s\n", error.what());
    return EXIT_FAILURE;
  }
  std::fputs("godwitpaddled: --config FILE or --fleet FILE is required; see --help\n", stderr);
  return kUsageError;
}

}  // namespace
}  // namespace godwitpaddle

int main(int argc, char** argv) { return godwitpaddle::Main(argc, const_cast<const char**>(argv)); }

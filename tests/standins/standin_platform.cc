#include <cstdio>
#include <cstdlib>
#include <exception>

#include "tests/standins/backend_spec.h"
#include "tests/standins/options.h"
#include "tests/standins/platform.h"

namespace godwitpaddle::standins {
namespace {

PlatformOptions ReadOptions(const Options& options) {
  PlatformOptions platform{.address = options.Text("address"),
                           .control_addresses = options.List("controls"),
                           .operation_ms = options.Number("operation-ms"),
                           .away_ms = options.Number("away-ms")};
  const FleetConfig config = ReadConfigFolder(options.Text("folder"));
  for (const auto& [name, vm] : config.vms) {
    platform.vms.push_back({.vm = name, .pool = vm.pool, .zone = vm.zone, .rack = vm.rack});
  }
  for (const auto& [name, pool] : config.pools) platform.services[name] = pool.service;
  return platform;
}

int Run(int argc, char** argv) {
  const Options options(
      argc, argv,
      {{"folder", "examples/kite"},
       {"address", "127.0.0.1:20998"},
       {"controls", "127.0.0.1:20999"},
       {"operation-ms", "1000"},
       {"away-ms", "500"}},
      {{"folder", "configuration folder with the VMs"},
       {"address", "address to listen on"},
       {"controls", "control addresses of the stand-in servers, separated by commas"},
       {"operation-ms", "duration of an operation in milliseconds"},
       {"away-ms", "downtime of a VM's server in milliseconds"}});
  const FileDescriptor signals = BlockStopSignals();
  Platform platform(ReadOptions(options));
  platform.Start();
  std::puts("ready");
  std::fflush(stdout);
  pollfd watched{.fd = signals.get(), .events = POLLIN};
  while (poll(&watched, 1, -1) < 1) {
  }
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace godwitpaddle::standins

int main(int argc, char** argv) {
  try {
    return godwitpaddle::standins::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", argv[0], error.what());
    return EXIT_FAILURE;
  }
}

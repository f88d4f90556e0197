#include <cstdio>
#include <cstdlib>
#include <exception>
#include <future>

#include "tests/standins/backend_fleet.h"
#include "tests/standins/options.h"

namespace godwitpaddle::standins {
namespace {

// The process exits with a failure if its servers have not left within this time, for example
// because no gateway accepts their announcements.
constexpr auto kLeaveTimeout = std::chrono::seconds(30);

BackendFleetOptions ReadOptions(const Options& options) {
  BackendFleetOptions fleet{
      .specs =
          ReadBackendSpecs(options.Text("folder"), options.Text("service"), options.Text("host"),
                           static_cast<int>(options.Number("first-port"))),
      .gateways = options.List("gateways"),
      .control_address = options.Text("control"),
      .record_file = options.Text("records"),
      .seed = static_cast<std::uint64_t>(options.Number("seed"))};
  const auto count = static_cast<std::size_t>(options.Number("count"));
  if (count > 0 && count < fleet.specs.size()) fleet.specs.resize(count);
  for (BackendSpec& spec : fleet.specs) {
    spec.slots = static_cast<int>(options.Number("slots"));
    spec.connections = static_cast<int>(options.Number("connections"));
  }
  return fleet;
}

int Run(int argc, char** argv) {
  const Options options(argc, argv,
                        {{"folder", "examples/kite"},
                         {"service", ""},
                         {"count", "0"},
                         {"host", "127.0.0.1"},
                         {"first-port", "21000"},
                         {"control", "127.0.0.1:20999"},
                         {"gateways", ""},
                         {"slots", "8"},
                         {"connections", "64"},
                         {"records", ""},
                         {"seed", "1"}},
                        {{"folder", "configuration folder with the VMs"},
                         {"service", "service of the simulated servers; empty: all services"},
                         {"count", "maximum number of simulated servers; 0: all"},
                         {"host", "IP address to listen on"},
                         {"first-port", "port of the first server"},
                         {"control", "address of /stats, /starts and /control"},
                         {"gateways", "HTTP addresses of gateways, separated by commas"},
                         {"slots", "task slots of each server"},
                         {"connections", "maximum connections of each server"},
                         {"records", "file that gets one line of JSON per start and end of a task"},
                         {"seed", "seed that is part of the incarnations"}});
  const FileDescriptor signals = BlockStopSignals();
  BackendFleet fleet(ReadOptions(options));
  fleet.Start();
  std::puts("ready");
  std::fflush(stdout);
  pollfd watched{.fd = signals.get(), .events = POLLIN};
  while (poll(&watched, 1, -1) < 1) {
  }
  const auto leave_complete = std::make_shared<std::promise<void>>();
  fleet.Leave([leave_complete] { leave_complete->set_value(); });
  return leave_complete->get_future().wait_for(kLeaveTimeout) == std::future_status::ready
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
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

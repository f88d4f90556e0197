#ifndef GODWITPADDLE_RUNTIME_PLATFORM_ADAPTER_H_
#define GODWITPADDLE_RUNTIME_PLATFORM_ADAPTER_H_

#include <functional>
#include <string>

#include "decision/planners.h"
#include "node/node.h"
#include "runtime/http_client.h"
#include "runtime/registry.h"

namespace godwitpaddle {

/// Resources that are passed to an adapter.
struct PlatformContext {
  std::string address;  // address of the platform, "IP:port", from the settings
  HttpClient* client = nullptr;
};

/// Plug-in interface to the platform, which drains, reboots and moves VMs.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  /// Starts the operation unless it was started before, and queries its state. `done` is called
  /// exactly once, in any thread. Calls with the same operation id are idempotent.
  virtual void Call(const PlatformCall& call, std::function<void(PlatformEvent)> done) = 0;
};

using PlatformRegistry = Registry<PlatformAdapter, const PlatformContext&>;

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_PLATFORM_ADAPTER_H_

#ifndef GODWITPADDLE_RUNTIME_LISTEN_RETRY_H_
#define GODWITPADDLE_RUNTIME_LISTEN_RETRY_H_

#include <functional>
#include <string>

#include "base/time.h"

namespace godwitpaddle {

struct ListenRetryOptions {
  /// The process that had the port before may hold it until it is gone.
  Micros patience = 10 * kSecond;
  Micros pause = 100 * kMillisecond;
  std::function<void(Micros)> sleep;     // empty: blocks the thread
  std::function<bool()> should_give_up;  // asked before each pause; empty: never
};

/// Calls `listen`, which opens a listener on the address, until it succeeds. After a failure it
/// pauses, logs a line, and tries again; rethrows the last std::runtime_error once the pauses have
/// taken `patience`. Other exceptions mean that the address is invalid and are not retried.
void RetryListening(const std::string& address, const std::function<void()>& listen,
                    const ListenRetryOptions& options = {});

/// Whether SIGTERM or SIGINT is blocked and waits to be handled.
bool IsTerminationPending();

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_LISTEN_RETRY_H_

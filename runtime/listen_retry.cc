#include "runtime/listen_retry.h"

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>

#include "runtime/log.h"

namespace godwitpaddle {
namespace {

constexpr Micros kLogPeriod = kSecond;

void Pause(const ListenRetryOptions& options) {
  if (options.sleep) return options.sleep(options.pause);
  std::this_thread::sleep_for(std::chrono::microseconds(options.pause));
}

}  // namespace

void RetryListening(const std::string& address, const std::function<void()>& listen,
                    const ListenRetryOptions& options) {
  for (Micros waited = 0;; waited += options.pause) {
    try {
      return listen();
    } catch (const std::runtime_error& error) {
      if (waited >= options.patience) throw;
      if (options.should_give_up && options.should_give_up()) throw;
      if (waited % kLogPeriod == 0) {
        LogEvent(Severity::kWarning, "listen_retry",
                 {{"address", address}, {"reason", error.what()}});
      }
    }
    Pause(options);
  }
}

bool IsTerminationPending() {
  sigset_t pending;
  sigemptyset(&pending);
  return sigpending(&pending) == 0 &&
         (sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1);
}

}  // namespace godwitpaddle

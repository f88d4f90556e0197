#include "daemon/job_driver.h"

#include <exception>
#include <utility>
#include <variant>

#include "runtime/log.h"

namespace godwitpaddle {
namespace {

constexpr std::size_t kMailboxCapacity = 8'192;

}  // namespace

JobDriver::JobDriver(Step step, JobSinks sinks, Micros tick_period)
    : Task("jobs", kMailboxCapacity),
      step_(std::move(step)),
      sinks_(std::move(sinks)),
      tick_period_(tick_period) {
  timers().Schedule(MonotonicNow(), [this] { Tick(); });
}

JobDriver::~JobDriver() { Stop(); }

void JobDriver::Tick() {
  timers().Schedule(MonotonicNow() + tick_period_, [this] { Tick(); });
  Handle(TickEvent{});
}

void JobDriver::Handle(jobs::Event event) {
  try {
    for (jobs::Effect& effect : step_(event, MonotonicNow(), WallNow())) {
      std::visit([this](auto& one) { ExecuteEffect(std::move(one)); }, effect);
    }
  } catch (const std::exception& error) {
    // An event whose handling throws must not end the process: the group would lose a voter.
    LogEvent(Severity::kError, "step_failed", {{"reason", error.what()}});
  }
}

void JobDriver::ExecuteEffect(const LogEffect& effect) {
  LogEvent(effect.severity, effect.event, effect.fields);
}

}  // namespace godwitpaddle

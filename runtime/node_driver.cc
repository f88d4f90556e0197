#include "runtime/node_driver.h"

#include <cstdlib>
#include <exception>
#include <utility>
#include <variant>

#include "runtime/log.h"

namespace godwitpaddle {
namespace {

constexpr std::size_t kMailboxCapacity = 8'192;

[[noreturn]] void AbortProcess(const char* event, const char* reason) {
  LogEvent(Severity::kError, event, {{"reason", reason}});
  FlushLog();
  std::abort();
}

}  // namespace

NodeDriver::NodeDriver(Step step, EffectSinks sinks)
    : Task("node", kMailboxCapacity), step_(std::move(step)), sinks_(std::move(sinks)) {
  timers().Schedule(MonotonicNow(), [this] { Tick(); });
}

NodeDriver::~NodeDriver() { Stop(); }

void NodeDriver::Tick() {
  // The next tick is scheduled before the step, so the time of a slow step counts towards the tick
  // period. Missed ticks are not made up.
  timers().Schedule(MonotonicNow() + kTickPeriod, [this] { Tick(); });
  Handle(TickEvent{});
}

void NodeDriver::Handle(Event event) {
  pending_events_.push_back(std::move(event));
  while (!pending_events_.empty()) {
    const Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    try {
      ExecuteAll(step_(next, MonotonicNow(), WallNow()));
    } catch (const InvariantViolation& violation) {
      AbortProcess("invariant_violated", violation.what());
    } catch (const std::exception& error) {
      AbortProcess("step_failed", error.what());
    }
  }
}

void NodeDriver::ExecuteAll(std::vector<Effect> effects) {
  for (Effect& effect : effects) {
    std::visit([this](auto& one) { Execute(std::move(one)); }, effect);
  }
}

void NodeDriver::Execute(PersistEffect effect) {
  if (sinks_.persist) {
    sinks_.persist(std::move(effect.batch));
  } else {
    pending_events_.emplace_back(SyncedEvent{.token = effect.batch.token});
  }
}

}  // namespace godwitpaddle

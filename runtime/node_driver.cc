#include "runtime/node_driver.h"

#include <cstdlib>
#include <exception>
#include <utility>
#include <variant>

#include "runtime/log.h"

namespace godwitpaddle {
namespace {

constexpr std::size_t kMailboxCapacity = 8'192;

[[noreturn]] void StopProcess(const char* event, const char* reason) {
  LogEvent(Severity::kError, event, {{"reason", reason}});
  FlushLog();
  std::abort();
}

}  // namespace

NodeDriver::NodeDriver(Step step, EffectSinks sinks)
    : Task("node", kMailboxCapacity), step_(std::move(step)), sinks_(std::move(sinks)) {
  timers().At(MonotonicNow(), [this] { Tick(); });
}

NodeDriver::~NodeDriver() { Stop(); }

void NodeDriver::Tick() {
  // Set before the step: a slow step shortens the pause after it, and missed ticks are not made up.
  timers().At(MonotonicNow() + kTickPeriod, [this] { Tick(); });
  Handle(TickEvent{});
}

void NodeDriver::Handle(Event event) {
  own_events_.push_back(std::move(event));
  while (!own_events_.empty()) {
    const Event next = std::move(own_events_.front());
    own_events_.pop_front();
    try {
      Carry(step_(next, MonotonicNow(), WallNow()));
    } catch (const InvariantViolation& violation) {
      StopProcess("invariant_violated", violation.what());
    } catch (const std::exception& error) {
      StopProcess("step_failed", error.what());
    }
  }
}

void NodeDriver::Carry(std::vector<Effect> effects) {
  for (Effect& effect : effects) {
    std::visit([this](auto& one) { CarryOne(std::move(one)); }, effect);
  }
}

void NodeDriver::CarryOne(PersistEffect effect) {
  if (sinks_.persist) {
    sinks_.persist(std::move(effect.batch));
  } else {
    own_events_.emplace_back(SyncedEvent{.token = effect.batch.token});
  }
}

}  // namespace godwitpaddle

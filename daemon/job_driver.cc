#include "daemon/job_driver.h"

#include <algorithm>
#include <exception>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "runtime/log.h"

namespace godwitpaddle {
namespace {

constexpr std::size_t kMailboxCapacity = 8'192;
/// Events that are handled before the mailbox is read again.
constexpr int kEventsPerRound = 32;
/// Events that waited for longer than this in the mailbox are late.
constexpr Micros kLateAfter = 100 * kMillisecond;
constexpr Micros kLateLinePeriod = kSecond;

/// Names of the metrics of each kind of event, made once.
struct EventMetricNames {
  std::string age;
  std::string step;
};

const EventMetricNames& MetricNamesOf(jobs::EventKind kind) {
  static const std::vector<EventMetricNames> names = [] {
    std::vector<EventMetricNames> made;
    for (const std::string_view name : jobs::kEventKindNames) {
      const std::string text(name);
      made.push_back({.age = "event_age_" + text + "_ms", .step = "step_" + text + "_us"});
    }
    return made;
  }();
  return names.at(static_cast<std::size_t>(kind));
}

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
  queue_.Push(PushedEvent(TickEvent{}));
  LogLateEvents(MonotonicNow());
}

void JobDriver::LogLateEvents(Micros now) {
  if (now < next_late_line_) return;
  next_late_line_ = now + kLateLinePeriod;
  jobs::Fields late;
  for (std::size_t kind = 0; kind < longest_wait_.size(); ++kind) {
    const Micros longest = std::exchange(longest_wait_.at(kind), 0);
    if (longest <= kLateAfter) continue;
    late.emplace_back(std::string(jobs::kEventKindNames.at(kind)) + "_ms",
                      std::to_string(longest / kMillisecond));
  }
  if (!late.empty()) LogEvent(Severity::kWarning, "events_late", late);
}

void JobDriver::WaitForWork(Micros until) {
  if (queue_.empty()) Task::WaitForWork(until);
}

/// Handles some events, or all if the mailbox is closed. Events that arrive meanwhile may come
/// before the others.
void JobDriver::EndRound() {
  const bool closed = mailbox().closed();
  for (int handled = 0; !queue_.empty() && (closed || handled < kEventsPerRound); ++handled) {
    Process(queue_.Pop(MonotonicNow()));
  }
}

void JobDriver::Process(const jobs::QueuedEvent& queued) {
  const Micros begun = MonotonicNow();
  const jobs::EventKind kind = jobs::KindOf(queued.event);
  const EventMetricNames& names = MetricNamesOf(kind);
  Micros& longest = longest_wait_.at(static_cast<std::size_t>(kind));
  longest = std::max(longest, begun - queued.queued);
  sinks_.metric(names.age, static_cast<double>(begun - queued.queued) / kMillisecond);
  try {
    for (jobs::Effect& effect : step_(queued.event, begun, WallNow(), begun - queued.queued)) {
      std::visit([this](auto& one) { ExecuteEffect(std::move(one)); }, effect);
    }
  } catch (const std::exception& error) {
    // An event whose handling throws must not end the process: the group would lose a voter.
    LogEvent(Severity::kError, "step_failed", {{"reason", error.what()}});
  }
  sinks_.metric(names.step, static_cast<double>(MonotonicNow() - begun));
}

void JobDriver::ExecuteEffect(const LogEffect& effect) {
  LogEvent(effect.severity, effect.event, effect.fields);
}

}  // namespace godwitpaddle

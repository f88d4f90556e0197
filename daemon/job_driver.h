#ifndef GODWITPADDLE_DAEMON_JOB_DRIVER_H_
#define GODWITPADDLE_DAEMON_JOB_DRIVER_H_

#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "control/event_kind.h"
#include "control/event_queue.h"
#include "control/events.h"
#include "runtime/clock.h"
#include "runtime/task.h"

namespace godwitpaddle {

/// Receivers of the effects of a node of job control, one per kind. JobDriver calls them in its
/// thread; they must not wait for the driver, or both would block for ever.
struct JobSinks {
  std::function<void(SendEffect)> send;
  std::function<void(PersistEffect)> persist;
  std::function<void(jobs::AnswerEffect)> answer;
  std::function<void(jobs::OrderEffect)> order;
  std::function<void(jobs::VmEffect)> vm_order;
  std::function<void(const std::string& name, double value)> metric;
  std::function<void(ExitEffect)> exit;
};

/// An event as senders push it: with the time at which it was put into the mailbox.
struct PushedEvent : jobs::QueuedEvent {
  template <typename T>
  PushedEvent(T one) {  // NOLINT(google-explicit-constructor): senders push plain events
    event = std::move(one);
    queued = MonotonicNow();
  }
};

/// Task that owns a node of job control: passes events from its mailbox, and a tick every
/// `tick_period`, to `step`, in the order of EventQueue, and hands the resulting effects to the
/// sinks. Reports, for each kind of event, the time that events waited in the mailbox
/// ("event_age_KIND_ms") and the time of a step with its effects ("step_KIND_us").
class JobDriver : public Task<PushedEvent> {
 public:
  /// Gets the event, the monotonic and the wall time, and the time that the event has waited.
  using Step =
      std::function<std::vector<jobs::Effect>(const jobs::Event&, Micros, WallMs, Micros waited)>;

  JobDriver(Step step, JobSinks sinks, Micros tick_period);
  ~JobDriver() override;

 private:
  void Handle(PushedEvent pushed) override { queue_.Push(std::move(pushed)); }
  void EndRound() override;
  void WaitForWork(Micros until) override;
  void Tick();
  void Process(const jobs::QueuedEvent& queued);
  /// Logs the longest waits of the last period, if any was long.
  void LogLateEvents(Micros now);
  void ExecuteEffect(SendEffect effect) { sinks_.send(std::move(effect)); }
  void ExecuteEffect(PersistEffect effect) { sinks_.persist(std::move(effect)); }
  void ExecuteEffect(jobs::AnswerEffect effect) { sinks_.answer(std::move(effect)); }
  void ExecuteEffect(jobs::OrderEffect effect) { sinks_.order(std::move(effect)); }
  void ExecuteEffect(jobs::VmEffect effect) { sinks_.vm_order(std::move(effect)); }
  static void ExecuteEffect(const LogEffect& effect);
  void ExecuteEffect(const MetricEffect& effect) { sinks_.metric(effect.name, effect.value); }
  void ExecuteEffect(ExitEffect effect) { sinks_.exit(std::move(effect)); }

  const Step step_;
  const JobSinks sinks_;
  const Micros tick_period_;
  jobs::EventQueue queue_;
  std::array<Micros, jobs::kEventKindNames.size()> longest_wait_{};  // by EventKind
  Micros next_late_line_ = 0;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_JOB_DRIVER_H_

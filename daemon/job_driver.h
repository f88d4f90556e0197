#ifndef GODWITPADDLE_DAEMON_JOB_DRIVER_H_
#define GODWITPADDLE_DAEMON_JOB_DRIVER_H_

#include <functional>
#include <string>
#include <vector>

#include "control/events.h"
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
  std::function<void(MetricEffect)> metric;
  std::function<void(ExitEffect)> exit;
};

/// Task that owns a node of job control: passes events from its mailbox, and a tick every
/// `tick_period`, to `step` and hands the resulting effects to the sinks.
class JobDriver : public Task<jobs::Event> {
 public:
  using Step = std::function<std::vector<jobs::Effect>(const jobs::Event&, Micros, WallMs)>;

  JobDriver(Step step, JobSinks sinks, Micros tick_period);
  ~JobDriver() override;

 private:
  void Handle(jobs::Event event) override;
  void Tick();
  void ExecuteEffect(SendEffect effect) { sinks_.send(std::move(effect)); }
  void ExecuteEffect(PersistEffect effect) { sinks_.persist(std::move(effect)); }
  void ExecuteEffect(jobs::AnswerEffect effect) { sinks_.answer(std::move(effect)); }
  void ExecuteEffect(jobs::OrderEffect effect) { sinks_.order(std::move(effect)); }
  void ExecuteEffect(jobs::VmEffect effect) { sinks_.vm_order(std::move(effect)); }
  static void ExecuteEffect(const LogEffect& effect);
  void ExecuteEffect(MetricEffect effect) { sinks_.metric(std::move(effect)); }
  void ExecuteEffect(ExitEffect effect) { sinks_.exit(std::move(effect)); }

  const Step step_;
  const JobSinks sinks_;
  const Micros tick_period_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DAEMON_JOB_DRIVER_H_

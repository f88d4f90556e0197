#ifndef GODWITPADDLE_RUNTIME_NODE_DRIVER_H_
#define GODWITPADDLE_RUNTIME_NODE_DRIVER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "node/node.h"
#include "runtime/task.h"

namespace godwitpaddle {

/// Functions that execute the effects of a node. None of them may wait for the driver.
struct EffectSinks {
  std::function<void(SendEffect)> send;
  /// Null for a node without a disk: batches count as synced at once.
  std::function<void(replication::PersistBatch)> persist;
  std::function<void(RespondEffect)> respond;
  std::function<void(StartTaskEffect)> start_task;
  std::function<void(OrderTaskEffect)> order_task;
  std::function<void(PlatformEffect)> call_platform;
  std::function<void(LogEffect)> log;
  std::function<void(MetricEffect)> metric;
  std::function<void(ExitEffect)> exit;
};

/// The task that owns the node: passes the events from its mailbox and periodic ticks to the node
/// and executes the resulting effects in order. An InvariantViolation or any other exception is
/// logged and ends the process at once, so that the node never acts on an inconsistent state.
class NodeDriver : public Task<Event> {
 public:
  using Step = std::function<std::vector<Effect>(const Event&, Micros now, WallMs wall)>;

  NodeDriver(Step step, EffectSinks sinks);
  ~NodeDriver() override;

 private:
  void Handle(Event event) override;
  void Tick();
  void ExecuteAll(std::vector<Effect> effects);
  void Execute(SendEffect effect) { sinks_.send(std::move(effect)); }
  void Execute(PersistEffect effect);
  void Execute(RespondEffect effect) { sinks_.respond(std::move(effect)); }
  void Execute(StartTaskEffect effect) { sinks_.start_task(std::move(effect)); }
  void Execute(OrderTaskEffect effect) { sinks_.order_task(std::move(effect)); }
  void Execute(PlatformEffect effect) { sinks_.call_platform(std::move(effect)); }
  void Execute(LogEffect effect) { sinks_.log(std::move(effect)); }
  void Execute(MetricEffect effect) { sinks_.metric(std::move(effect)); }
  void Execute(ExitEffect effect) { sinks_.exit(std::move(effect)); }

  const Step step_;
  const EffectSinks sinks_;
  std::deque<Event> pending_events_;  // the current event and those that its effects caused
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_NODE_DRIVER_H_

#ifndef GODWITPADDLE_RUNTIME_TASK_H_
#define GODWITPADDLE_RUNTIME_TASK_H_

#include <pthread.h>

#include <string>
#include <thread>
#include <utility>

#include "runtime/mailbox.h"
#include "runtime/timers.h"

namespace godwitpaddle {

/// A thread that owns its sockets and state. Other tasks communicate with it only through its
/// mailbox.
template <typename Message>
class Task {
 public:
  Task(std::string name, std::size_t mailbox_capacity)
      : name_(std::move(name)), mailbox_(mailbox_capacity, [this] { Wake(); }) {}
  /// The destructor of the most derived class must call Stop, because the thread uses its members.
  virtual ~Task() = default;
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  void Start() {
    thread_ = std::thread([this] { Loop(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, kMaxThreadName).c_str());
  }

  /// Closes the mailbox, waits until the thread has handled the remaining messages, and joins it.
  /// Idempotent.
  void Stop() {
    mailbox_.Close();
    if (thread_.joinable()) thread_.join();
  }

  Mailbox<Message>& mailbox() { return mailbox_; }

 protected:
  virtual void Handle(Message message) = 0;
  /// Called after each round, in which all queued messages and due timers are handled.
  virtual void EndRound() {}
  /// Waits for a message, an event on a socket of the task or the time `until`, and handles the
  /// socket events.
  virtual void WaitForWork(Micros until) { mailbox_.WaitUntil(until); }
  /// Interrupts WaitForWork. Called by other threads.
  virtual void Wake() {}

  Timers& timers() { return timers_; }

 private:
  static constexpr std::size_t kMaxThreadName = 15;  // limit of pthread_setname_np

  void Loop() {
    bool closed = false;
    while (!closed) {
      WaitForWork(timers_.Next());
      closed = mailbox_.closed();  // read before TakeAll, so that no message is left
      for (Message& message : mailbox_.TakeAll()) Handle(std::move(message));
      timers_.RunDue(MonotonicNow());
      EndRound();
    }
  }

  const std::string name_;
  Mailbox<Message> mailbox_;
  Timers timers_;
  std::thread thread_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_TASK_H_

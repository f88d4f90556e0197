#ifndef GODWITPADDLE_RUNTIME_MAILBOX_H_
#define GODWITPADDLE_RUNTIME_MAILBOX_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

#include "runtime/clock.h"

namespace godwitpaddle {

/// Bounded queue of messages to one task. The sender chooses what a full mailbox means: Push waits
/// (back pressure), TryPush drops and counts, ForcePush exceeds the bound. ForcePush is for
/// completions, whose number the receiver itself bounds; two tasks that wait for each other's
/// mailboxes would otherwise block forever.
template <typename Message>
class Mailbox {
 public:
  /// `wake` is called after each push, for a receiver that waits on sockets.
  explicit Mailbox(std::size_t capacity, std::function<void()> wake = {})
      : capacity_(capacity), wake_(std::move(wake)) {}

  /// Returns false, and counts the message as dropped, when the mailbox is full or closed.
  bool TryPush(Message message) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || messages_.size() >= capacity_) {
        ++dropped_;
        return false;
      }
      messages_.push_back(std::move(message));
    }
    Notify();
    return true;
  }

  /// Waits while the mailbox is full. Returns false once it is closed.
  bool Push(Message message) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || messages_.size() < capacity_; });
      if (closed_) return false;
      messages_.push_back(std::move(message));
    }
    Notify();
    return true;
  }

  /// Returns false once the mailbox is closed.
  bool ForcePush(Message message) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_) return false;
      messages_.push_back(std::move(message));
    }
    Notify();
    return true;
  }

  /// Takes what is there, without waiting.
  std::deque<Message> TakeAll() {
    std::deque<Message> taken;
    {
      const std::lock_guard lock(mutex_);
      taken.swap(messages_);
    }
    not_full_.notify_all();
    return taken;
  }

  /// Waits until there is a message, the mailbox is closed or the time is reached.
  void WaitUntil(Micros until) {
    std::unique_lock lock(mutex_);
    const auto ready = [this] { return closed_ || !messages_.empty(); };
    if (until == kNever) {
      not_empty_.wait(lock, ready);
    } else {
      not_empty_.wait_for(lock, std::chrono::microseconds(until - MonotonicNow()), ready);
    }
  }

  /// Refuses further messages and releases all waiting senders and receivers.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_full_.notify_all();
    Notify();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return messages_.size();
  }

  std::uint64_t dropped() const {
    const std::lock_guard lock(mutex_);
    return dropped_;
  }

 private:
  void Notify() {
    not_empty_.notify_one();
    if (wake_) wake_();
  }

  const std::size_t capacity_;
  const std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::deque<Message> messages_;
  std::uint64_t dropped_ = 0;
  bool closed_ = false;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_MAILBOX_H_

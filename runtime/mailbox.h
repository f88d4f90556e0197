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

/// Bounded queue of messages to one task. The sender chooses what happens if the mailbox is full:
/// Push blocks (back pressure), TryPush drops the message and counts it, ForcePush exceeds the
/// capacity. ForcePush is meant for completions, whose number the receiver itself limits: with
/// Push, two tasks that wait for each other's mailboxes would deadlock.
template <typename Message>
class Mailbox {
 public:
  /// `wake` is called after each push, to interrupt a receiver that waits on sockets.
  explicit Mailbox(std::size_t capacity, std::function<void()> wake = {})
      : capacity_(capacity), wake_(std::move(wake)) {}

  /// Returns false, and counts the message as dropped, if the mailbox is full or closed.
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

  /// Blocks while the mailbox is full. Returns false if it is closed.
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

  /// Adds the message even if the mailbox is full. Returns false if it is closed.
  bool ForcePush(Message message) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_) return false;
      messages_.push_back(std::move(message));
    }
    Notify();
    return true;
  }

  /// Removes and returns all messages, without blocking.
  std::deque<Message> TakeAll() {
    std::deque<Message> taken;
    {
      const std::lock_guard lock(mutex_);
      taken.swap(messages_);
    }
    not_full_.notify_all();
    return taken;
  }

  /// Blocks until there is a message, the mailbox is closed or the time `until` is reached.
  void WaitUntil(Micros until) {
    std::unique_lock lock(mutex_);
    const auto ready = [this] { return closed_ || !messages_.empty(); };
    if (until == kNever) {
      not_empty_.wait(lock, ready);
    } else {
      not_empty_.wait_for(lock, std::chrono::microseconds(until - MonotonicNow()), ready);
    }
  }

  /// Rejects further messages and unblocks all senders and receivers. TakeAll still returns the
  /// messages that are already in the mailbox.
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

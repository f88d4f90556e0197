#ifndef GODWITPADDLE_BENCH_POOL_POLICY_H_
#define GODWITPADDLE_BENCH_POOL_POLICY_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/pool_scheduler.h"

namespace godwitpaddle::bench {

/// Interface of a scheduler that PoolDriver can drive: PoolScheduler or a baseline.
class PoolPolicy {
 public:
  using RunningLimit = std::function<int(const TeamId&)>;
  virtual ~PoolPolicy() = default;
  virtual void Announce(const Announcement& announcement, Micros now) = 0;
  virtual std::optional<Refusal> Admit(const QueuedRequest& request, Micros now) = 0;
  virtual std::vector<RequestId> TakeClaimCandidates(Micros) { return {}; }
  virtual void ConfirmClaim(RequestId, Micros) {}
  virtual std::vector<Placement> Dispatch(const RunningLimit& cap, Micros now) = 0;
  virtual std::vector<Refusal> Expire(Micros now) = 0;
  virtual std::vector<TaskOrder> TakeOrders(Micros) { return {}; }
  virtual FinishResult Finish(RequestId id, TaskEnd end, Micros now) = 0;
  virtual bool Cancel(RequestId id) = 0;
  virtual std::optional<std::string> FindViolation() const { return std::nullopt; }
};

class SchedulerPolicy : public PoolPolicy {
 public:
  explicit SchedulerPolicy(SchedulerOptions options) : scheduler_(std::move(options)) {}
  void Announce(const Announcement& a, Micros now) override { scheduler_.Announce(a, now); }
  std::optional<Refusal> Admit(const QueuedRequest& request, Micros now) override {
    return scheduler_.Admit(request, now);
  }
  std::vector<RequestId> TakeClaimCandidates(Micros now) override {
    return scheduler_.TakeClaimCandidates(now);
  }
  void ConfirmClaim(RequestId id, Micros now) override { scheduler_.ConfirmClaim(id, now); }
  std::vector<Placement> Dispatch(const RunningLimit& cap, Micros now) override {
    return scheduler_.Dispatch(cap, now);
  }
  std::vector<Refusal> Expire(Micros now) override { return scheduler_.Expire(now); }
  std::vector<TaskOrder> TakeOrders(Micros now) override { return scheduler_.TakeOrders(now); }
  FinishResult Finish(RequestId id, TaskEnd end, Micros now) override {
    return scheduler_.Finish(id, end, now);
  }
  bool Cancel(RequestId id) override { return scheduler_.Cancel(id); }
  std::optional<std::string> FindViolation() const override { return scheduler_.FindViolation(); }

 private:
  PoolScheduler scheduler_;
};

/// Baseline: starts requests in order of arrival on the server with the fewest tasks. Trusts the
/// declared sizes, refuses requests at admission only if the queue is full, and has neither shares
/// nor quarantine of failing servers.
class FirstComePolicy : public PoolPolicy {
 public:
  explicit FirstComePolicy(SchedulerOptions options) : options_(std::move(options)) {}

  void Announce(const Announcement& announcement, Micros now) override {
    Server& server = servers_[announcement.server];
    if (server.announcement.incarnation != announcement.incarnation) server.tasks.clear();
    server.announcement = announcement;
    server.announced = now;
  }

  std::optional<Refusal> Admit(const QueuedRequest& request, Micros) override {
    if (static_cast<int>(queue_.size()) >= options_.config.max_queue) {
      return Refusal{.id = request.id, .reason = RefusalReason::kQueueFull};
    }
    requests_[request.id].request = request;
    queue_.push_back(request.id);
    return std::nullopt;
  }

  std::vector<Placement> Dispatch(const RunningLimit& cap, Micros now) override {
    std::vector<Placement> placements;
    std::deque<RequestId> still_queued;
    bool full = false;
    for (const RequestId id : queue_) {
      RequestRecord& record = requests_[id];
      const TeamId& team = record.request.team;
      Server* server =
          full || running_[team] >= cap(team) ? nullptr : FindServer(record, now, full);
      if (server == nullptr) {
        still_queued.push_back(id);
        continue;
      }
      server->tasks[id] = record.request.size;
      record.server = server->announcement.server;
      ++running_[team];
      placements.push_back({.id = id, .server = record.server, .attempt = ++record.attempts});
    }
    queue_ = std::move(still_queued);
    return placements;
  }

  std::vector<Refusal> Expire(Micros now) override {
    std::vector<Refusal> refusals;
    std::erase_if(queue_, [&](RequestId id) {
      if (requests_[id].request.deadline > now) return false;
      refusals.push_back({.id = id, .reason = RefusalReason::kDeadlinePassed});
      requests_.erase(id);
      return true;
    });
    return refusals;
  }

  FinishResult Finish(RequestId id, TaskEnd end, Micros) override {
    RequestRecord& record = requests_.at(id);
    --running_[record.request.team];
    servers_[record.server].tasks.erase(id);
    if (end == TaskEnd::kDone) {
      requests_.erase(id);
      return FinishResult::kFinished;
    }
    const bool safe = end == TaskEnd::kNotSent || record.request.idempotent;
    if (!safe || record.attempts >= options_.max_attempts) {
      requests_.erase(id);
      return FinishResult::kAbandoned;
    }
    queue_.push_back(id);
    return FinishResult::kRequeued;
  }

  bool Cancel(RequestId id) override {
    const auto it = std::find(queue_.begin(), queue_.end(), id);
    if (it == queue_.end()) return false;
    queue_.erase(it);
    requests_.erase(id);
    return true;
  }

 private:
  struct Server {
    Announcement announcement;
    Micros announced = 0;
    std::map<RequestId, TaskSize> tasks;
  };
  struct RequestRecord {
    QueuedRequest request;
    ServerId server;
    int attempts = 0;
  };

  Server* FindServer(const RequestRecord& record, Micros now, bool& full) {
    Server* best = nullptr;
    full = true;
    for (auto& [id, server] : servers_) {
      if (now - server.announced > kServerSilence ||
          static_cast<int>(server.tasks.size()) >= server.announcement.slots) {
        continue;
      }
      full = false;
      double cores = server.announcement.cores;
      std::int64_t memory_mb = server.announcement.memory_mb;
      for (const auto& [task, size] : server.tasks) {
        cores -= size.cores;
        memory_mb -= size.memory_mb;
      }
      if (record.request.size.cores > cores + 1e-9 || record.request.size.memory_mb > memory_mb) {
        continue;
      }
      if (best == nullptr || server.tasks.size() < best->tasks.size()) best = &server;
    }
    return best;
  }

  SchedulerOptions options_;
  std::map<ServerId, Server> servers_;
  std::map<RequestId, RequestRecord> requests_;
  std::map<TeamId, int> running_;
  std::deque<RequestId> queue_;
};

}  // namespace godwitpaddle::bench

#endif  // GODWITPADDLE_BENCH_POOL_POLICY_H_

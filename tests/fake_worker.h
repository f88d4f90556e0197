#ifndef GODWITPADDLE_TESTS_FAKE_WORKER_H_
#define GODWITPADDLE_TESTS_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/orders.h"

namespace godwitpaddle::testing {

/// A worker as the platform describes it: leases on its own clock, fencing tokens, ends that are
/// listed until they are acknowledged.
class FakeWorker {
 public:
  struct Run {
    std::uint32_t run = 0;
    Micros ends_at = 0;  // virtual time
    bool fails = false;
    bool stops = false;  // ends as stopped when its time has come
    jobs::Resources size;
  };

  FakeWorker(jobs::WorkerRecord record, Micros now)
      : record_(std::move(record)), started_at_(now) {}

  const jobs::WorkerRecord& record() const { return record_; }
  jobs::WorkerRecord& record() { return record_; }
  bool alive = true;
  bool vm_down = false;  // its VM was taken down
  bool fails_all = false;
  bool departing = false;                        // drains, or has said goodbye
  Micros stop_time = 0;                          // until a stopped run has ended
  std::set<jobs::TaskId>* done_tasks = nullptr;  // gets tasks that end as done, when set
  std::uint64_t sequence = 0;
  double clock_rate = 1;

  /// A new incarnation that knows nothing of before.
  void Restart(std::int64_t incarnation_ms, Micros now);
  std::int64_t Clock(Micros now) const {
    return static_cast<std::int64_t>(static_cast<double>(now - started_at_) * clock_rate /
                                     kMillisecond);
  }
  /// Ends what is due or has lost its lease.
  void Advance(Micros now);
  jobs::OrderReply Execute(const jobs::Order& order, std::uint64_t token, jobs::Resources size,
                           Micros duration, Micros now);
  const std::map<jobs::TaskId, Run>& running() const { return running_; }
  std::uint64_t acknowledged() const { return acknowledged_; }
  /// Whether an order with this fencing token is obeyed.
  bool AcceptsToken(std::uint64_t token) const { return token >= fencing_token_; }
  const std::vector<jobs::EndedRun>& ended() const { return ended_; }
  /// Whether a lease ran out since this end, so that it does not count as noted any more.
  bool LeaseExpiredSince(std::uint64_t number) const {
    return ends_before_expiry_.contains(number);
  }
  /// When the run of this end ended, in virtual time.
  Micros EndTime(std::uint64_t number) const { return end_times_.at(number); }
  bool started = false;  // by the last start order

 private:
  jobs::OrderReply Start(const jobs::StartOrder& order, jobs::Resources size, Micros duration,
                         Micros now);
  void Stop(const jobs::TaskId& task, Micros now);
  jobs::OrderReply Renew(const jobs::RenewLeaseOrder& order, Micros now);
  jobs::OrderReply Refuse(jobs::RefusalReason reason, Micros now) const;
  void End(const jobs::TaskId& task, jobs::EndKind kind, Micros time);
  void ExtendLease(std::int64_t until_ms, Micros now);

  jobs::WorkerRecord record_;
  Micros started_at_ = 0;
  std::uint64_t fencing_token_ = 0;
  std::int64_t lease_end_ms_ = 0;
  std::uint64_t next_number_ = 1;
  std::uint64_t acknowledged_ = 0;
  std::map<jobs::TaskId, Run> running_;
  std::map<jobs::TaskId, std::uint32_t> closed_runs_;  // runs up to this one are refused
  std::vector<jobs::EndedRun> ended_;
  std::map<std::uint64_t, Micros> end_times_;
  std::set<std::uint64_t> ends_before_expiry_;
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_FAKE_WORKER_H_

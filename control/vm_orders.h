#ifndef GODWITPADDLE_CONTROL_VM_ORDERS_H_
#define GODWITPADDLE_CONTROL_VM_ORDERS_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/events.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct VmOrdersOptions {
  std::string holder;                // name under which this node calls the platform
  std::int64_t takeover_ms = 3'000;  // least time between two leaders' orders for one VM
  /// Orders a second that the platform accepts; 0: any number.
  double orders_per_s = 0;
};

/// Sends the leader's orders to the platform: at most one at a time for each VM, retried until its
/// outcome is final. A move that the platform has no time for, and has certainly not carried out,
/// is not retried: its VM is of more use where it is. The component that takes a VM down claims it
/// until the VM is back. Each order is recorded in the replicated log before it is sent. A new
/// leader thus knows for which VMs an order of the previous leader may still be in flight, and may
/// give orders for the others at once. At most kMaxVmOrdersInProgress orders are recorded or sent
/// at a time, and no more a second than the platform accepts. The others wait before they are
/// recorded: an order that waited after that would be too old to be sent.
class VmOrders {
 public:
  /// Called once, with the final outcome of an order.
  using Done = std::function<void(VmOutcome outcome, Micros now, WallMs wall, Outbox& out)>;

  using Propose = std::function<void(Command)>;

  VmOrders(VmOrdersOptions options, const State& state, Propose propose)
      : options_(std::move(options)), state_(state), propose_(std::move(propose)) {}

  void BeginTerm(std::uint64_t fencing_token, Micros now);
  void EndTerm();
  /// Whether this term is old enough (`takeover_ms`) that no order of an earlier leader, for any
  /// VM, can still arrive at the platform.
  bool TakeoverElapsed(Micros now) const;
  /// Whether an order for this VM may be sent, as of the last Tick: no order of an earlier leader
  /// for it can still arrive.
  bool MayOrder(const VmId& vm) const;
  /// Call on every core node when a recorded order has been applied. `replayed`: the record was on
  /// this node's disk when the process started, so that its age is known from its wall time only.
  void OnRecorded(const RecordVmOrder& record, bool replayed, Micros now);
  bool IsClaimed(const VmId& vm) const { return claims_.contains(vm); }
  void Claim(const VmId& vm) { claims_.insert(vm); }
  void Release(const VmId& vm) { claims_.erase(vm); }
  /// Number of orders that can be given now without waiting for earlier ones.
  std::size_t FreeSlots() const {
    return kMaxVmOrdersInProgress - std::min(kMaxVmOrdersInProgress, orders_.size());
  }
  /// Whether the platform has time for orders: it has not refused one for lack of time, and no
  /// connection to it has failed, just before.
  bool HasTime(Micros now) const { return now >= busy_until_; }
  /// Queues an order for a VM. Throws StateError if the VM has an unfinished order.
  void Order(const VmId& vm, VmOrder order, Done done);
  /// The list of VMs in this term; empty until a list with VMs has arrived.
  const std::map<VmId, VmRecord>& vms() const { return vms_; }
  /// Ignores replies to calls of earlier terms.
  void OnReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out);
  void Tick(Micros now, WallMs wall, Outbox& out);

 private:
  struct PendingOrder {
    VmOrder order;
    Done done;
    bool record_proposed = false;
    bool recorded = false;     // the record is applied: the next call may be sent
    int sends = 0;             // calls sent
    Micros ordered = 0;        // time at which Order was called
    bool may_be_done = false;  // an earlier call may have been carried out
    std::uint64_t token = 0;   // of the call in flight; 0: none
  };

  /// The record of an order that was applied while this process was running.
  struct SeenRecord {
    std::int64_t wall_ms = 0;  // as in the record
    Micros at = 0;             // monotonic time at which it was applied here
  };

  std::uint64_t Send(const VmId& vm, VmOrder order, Micros now, Outbox& out);
  /// Records the order in the log, or sends it, if it may be sent now.
  void Advance(const VmId& vm, Micros now, Outbox& out);
  /// Whether another order may be recorded now.
  bool HasSlot(Micros now);
  /// Returns false if no other order may be recorded now; else counts one more.
  bool TakeSlot(Micros now);
  void OnList(const VmReply& reply, Micros now, Outbox& out);

  VmOrdersOptions options_;
  const State& state_;
  Propose propose_;
  Micros now_ = 0;
  WallMs wall_ = 0;
  std::map<VmId, SeenRecord> seen_records_;  // latest of each VM; also kept while not leading
  std::uint64_t fencing_token_ = 0;          // of the term; 0: not leading
  Micros term_began_ = 0;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, VmId> sent_;  // by token; an empty VM name stands for a page of the list
  std::map<VmId, PendingOrder> orders_;
  /// Orders that wait for neither their record nor an answer, by the time of their examination.
  std::set<std::pair<Micros, VmId>> due_;
  std::deque<VmId> waiting_;  // orders that wait for a slot, in the order of their arrival
  std::size_t active_ = 0;    // recorded or sent and not answered, see kMaxVmOrdersInProgress
  double accepted_ = 0;       // orders that the platform accepts now
  Micros accepted_at_ = 0;    // time for which `accepted_` holds
  Micros busy_until_ = 0;     // the platform had no time for an order just before
  std::set<VmId> claims_;
  bool list_due_ = false;  // the list is to be requested
  bool list_in_flight_ = false;
  Micros next_list_ = 0;
  std::string next_page_;
  std::map<VmId, VmRecord> vms_;
  std::map<VmId, VmRecord> partial_list_;  // pages received of a list in progress
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_VM_ORDERS_H_

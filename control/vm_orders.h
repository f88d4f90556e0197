#ifndef GODWITPADDLE_CONTROL_VM_ORDERS_H_
#define GODWITPADDLE_CONTROL_VM_ORDERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/events.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct VmOrdersOptions {
  std::string holder;                // name of this node towards the platform
  std::int64_t takeover_ms = 3'000;  // orders of two leaders for one VM are this far apart
};

/// The leader's orders to the platform: at most one at a time for each VM, repeated until its
/// outcome is known. A VM is claimed by whoever takes it down, until it is back. Each order is
/// noted in the log before it is sent, so that a new leader knows which VMs the former one may
/// still be dealing with, and deals with the others at once.
class VmOrders {
 public:
  using Done = std::function<void(VmOutcome outcome, Micros now, WallMs wall, Outbox& out)>;

  using Propose = std::function<void(Command)>;

  VmOrders(VmOrdersOptions options, const State& state, Propose propose)
      : options_(std::move(options)), state_(state), propose_(std::move(propose)) {}

  void BeginTerm(std::uint64_t fencing_token, Micros now);
  void EndTerm();
  /// Whether orders of the former leader have arrived for certain, whatever VM they were for.
  bool TakeoverElapsed(Micros now) const;
  /// Whether an order for this VM may be given, as of the last Tick.
  bool MayOrder(const VmId& vm) const;
  /// A note has taken effect, on a leader or not. `replayed`: it was on this node's disk when the
  /// process started, so that its time is known by its wall time only.
  void OnRecorded(const RecordVmOrder& record, bool replayed, Micros now);
  bool IsClaimed(const VmId& vm) const { return claims_.contains(vm); }
  void Claim(const VmId& vm) { claims_.insert(vm); }
  void Release(const VmId& vm) { claims_.erase(vm); }
  void Order(const VmId& vm, VmOrder order, Done done);
  /// Asks for the list of all VMs; `vms` is complete once it is not empty.
  void RequestList() { list_due_ = true; }
  const std::map<VmId, VmRecord>& vms() const { return vms_; }
  void OnReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out);
  void Tick(Micros now, WallMs wall, Outbox& out);

 private:
  struct PendingOrder {
    VmOrder order;
    Done done;
    bool record_proposed = false;
    bool recorded = false;    // the next call may leave
    int sends = 0;            // calls that left
    Micros ordered = 0;       // when it was given
    std::uint64_t token = 0;  // of the call under way; 0: none
    Micros next_send = 0;
  };

  /// A note that this process has seen arrive.
  struct SeenRecord {
    std::int64_t wall_ms = 0;  // of the note
    Micros at = 0;
  };

  std::uint64_t Send(const VmId& vm, VmOrder order, Micros now, Outbox& out);
  void OnList(const VmReply& reply, Micros now, Outbox& out);

  VmOrdersOptions options_;
  const State& state_;
  Propose propose_;
  Micros now_ = 0;
  WallMs wall_ = 0;
  std::map<VmId, SeenRecord> seen_records_;
  std::uint64_t fencing_token_ = 0;
  Micros term_began_ = 0;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, VmId> sent_;  // an empty name: a page of the list
  std::map<VmId, PendingOrder> orders_;
  std::set<VmId> claims_;
  bool list_due_ = false;
  bool list_in_flight_ = false;
  Micros next_list_ = 0;
  std::string next_page_;
  std::map<VmId, VmRecord> vms_;
  std::map<VmId, VmRecord> partial_list_;  // pages of a list under way
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_VM_ORDERS_H_

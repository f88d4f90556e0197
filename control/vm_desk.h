#ifndef GODWITPADDLE_CONTROL_VM_DESK_H_
#define GODWITPADDLE_CONTROL_VM_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/events.h"
#include "jobs/state.h"

namespace godwitpaddle::jobs {

struct VmDeskOptions {
  std::string holder;                // name of this node towards the platform
  std::int64_t takeover_ms = 3'000;  // no orders of a new leader before: those of the former end
};

/// The leader's orders to the platform: at most one at a time for each VM, repeated until its
/// outcome is known. A VM is claimed by whoever takes it down, until it is back.
class VmDesk {
 public:
  using Done = std::function<void(VmOutcome outcome, Micros now, WallMs wall, Outbox& out)>;

  explicit VmDesk(VmDeskOptions options) : options_(std::move(options)) {}

  void BeginTerm(std::uint64_t fencing_token, Micros now);
  void EndTerm();
  /// Whether orders may be given yet.
  bool Open(Micros now) const;
  bool IsClaimed(const VmId& vm) const { return claims_.contains(vm); }
  void Claim(const VmId& vm) { claims_.insert(vm); }
  void Release(const VmId& vm) { claims_.erase(vm); }
  void Order(const VmId& vm, VmOrder order, Done done);
  /// Asks for the list of all VMs; `vms` is complete once it is not empty.
  void RequestList() { list_due_ = true; }
  const std::map<VmId, VmRecord>& vms() const { return vms_; }
  void OnReply(const VmEvent& event, Micros now, WallMs wall, Outbox& out);
  void Tick(Micros now, Outbox& out);

 private:
  struct Pending {
    VmOrder order;
    Done done;
    std::uint64_t token = 0;  // of the call under way; 0: none
    Micros next_send = 0;
  };

  std::uint64_t Send(const VmId& vm, VmOrder order, Micros now, Outbox& out);
  void OnList(const VmReply& reply, Micros now, Outbox& out);

  VmDeskOptions options_;
  std::uint64_t fencing_token_ = 0;
  Micros term_began_ = 0;
  std::uint64_t next_token_ = 1;
  std::map<std::uint64_t, VmId> sent_;  // an empty name: a page of the list
  std::map<VmId, Pending> orders_;
  std::set<VmId> claims_;
  bool list_due_ = false;
  bool list_out_ = false;
  Micros next_list_ = 0;
  std::string next_page_;
  std::map<VmId, VmRecord> vms_;
  std::map<VmId, VmRecord> listed_;  // pages of a list under way
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_CONTROL_VM_DESK_H_

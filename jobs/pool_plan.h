#ifndef GODWITPADDLE_JOBS_POOL_PLAN_H_
#define GODWITPADDLE_JOBS_POOL_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/types.h"

/// Which VMs change their pool. Answers the load pattern in which each queue in turn needs more
/// than its pool holds while the others need next to nothing: idle VMs follow the demand, and those
/// that no pool needs are switched off.
namespace godwitpaddle::jobs {

/// One VM of a pool that may be moved.
struct PoolVm {
  VmId vm;
  std::size_t tasks = 0;  // running on it; it is moved once they have ended
  bool draining = false;  // gets no new tasks already
};

struct Pool {
  std::string service;
  bool standby = false;     // its VMs are off
  double needed_cores = 0;  // shortly
  double vm_cores = 0;      // of one VM
  int vms = 0;              // that work for the pool or are on their way to it
  int long_running_vms =
      0;  // least number of VMs that lets waiting lasting tasks start; 0: none wait
  std::vector<PoolVm> movable;
  Micros surplus_since = 0;  // since when it has had more than it needs; 0: it has not
};

struct PoolMove {
  VmId vm;
  std::string from;
  std::string to;
};

struct PoolPlanOptions {
  int min_vms = 3;                              // in each pool that is on
  int spare_vms = 1;                            // beyond the need before VMs are switched off
  Micros surplus_delay = 2'500 * kMillisecond;  // before VMs are switched off
};

/// Alike lasting tasks that have found no room for a while.
struct LongRunningDemand {
  std::uint32_t count = 0;
  Resources size;
  std::uint32_t max_per_worker = 0;  // 0: no limit
};

/// VMs with room for all of these. Answers the load pattern in which tasks that last and must be
/// spread over VMs wait in a pool that has few VMs because its cores suffice.
int VmsForLongRunning(const std::vector<LongRunningDemand>& waits, const Resources& vm);

/// VMs that a pool needs.
int NeededVms(const Pool& pool, const PoolPlanOptions& options);

/// Moves that are worth making now; VMs with tasks are to be emptied first. Deterministic.
std::vector<PoolMove> PlanMoves(std::vector<Pool> pools, const PoolPlanOptions& options,
                                Micros now);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_POOL_PLAN_H_

#ifndef GODWITPADDLE_JOBS_POOL_PLAN_H_
#define GODWITPADDLE_JOBS_POOL_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/types.h"

/// Chooses which VMs move to another pool. Designed for loads in which each queue in turn needs
/// more VMs than its pool has while the others need almost none: idle VMs move to the pool with the
/// demand, and VMs that no pool needs are switched off.
namespace godwitpaddle::jobs {

/// A VM that may be moved to another pool.
struct PoolVm {
  VmId vm;
  std::size_t tasks = 0;  // running on the VM, which is moved once they have ended
  bool draining = false;  // already gets no new tasks
};

struct Pool {
  std::string service;
  bool standby = false;     // its VMs are switched off
  double needed_cores = 0;  // forecast for the near future
  double vm_cores = 0;      // cores of one VM
  int vms = 0;              // in the pool or moving to it
  /// Least number of VMs with which the tasks that wait for room can start; 0: none wait.
  int vms_for_waiting = 0;
  std::vector<PoolVm> movable;
  Micros surplus_since = 0;  // start of the present surplus of VMs; 0: no surplus
  /// VMs in the pool that its long-running tasks take up, by the resource of which they use most.
  double long_running_vms = 0;
};

/// The number of VMs that each pool is to have.
struct PoolTargets {
  std::map<std::string, int> vms;  // by service
  bool scarce = false;             // the pools together need more VMs than exist
};

struct PoolMove {
  VmId vm;
  std::string from;
  std::string to;
};

struct PoolPlanOptions {
  int min_vms = 3;    // in each pool that is not standby
  int spare_vms = 1;  // surplus VMs of a pool that are not switched off
  /// How long a pool must have a surplus before its VMs are switched off.
  Micros surplus_delay = 2'500 * kMillisecond;
};

/// Identical tasks that have been waiting for room for some time.
struct WaitingDemand {
  std::uint32_t count = 0;
  Resources size;
  std::uint32_t max_per_worker = 0;  // 0: no limit
};

/// Returns the number of VMs that can hold all of these tasks, which wait although their pool has
/// enough cores: they must be spread over VMs, or its free cores and memory lie on different ones.
int VmsForWaiting(const std::vector<WaitingDemand>& waits, const Resources& vm);

/// Returns the number of VMs that a pool needs; 0 for a standby pool.
int NeededVms(const Pool& pool, const PoolPlanOptions& options);

/// Returns the need of each pool, or its share if there are fewer VMs than needed.
PoolTargets SetTargets(const std::vector<Pool>& pools, const PoolPlanOptions& options);

/// Returns the moves to make now. VMs with running tasks must be drained before they move. The
/// result depends on the arguments only.
std::vector<PoolMove> PlanMoves(std::vector<Pool> pools, const PoolPlanOptions& options,
                                Micros now);

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_POOL_PLAN_H_

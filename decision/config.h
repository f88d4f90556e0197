#ifndef GODWITPADDLE_DECISION_CONFIG_H_
#define GODWITPADDLE_DECISION_CONFIG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/codec.h"

namespace godwitpaddle {

using PoolId = std::string;
using VmId = std::string;
using QueueId = std::string;
using TeamId = std::string;
using WaveId = std::string;
using NodeId = std::string;

/// How a changed file takes effect.
enum class ReviewMode : std::uint8_t { kExplicit, kWindow };

/// Weights of the four measures in decisions that trade one for another; each at least 0.
struct PolicyWeights {
  double share = 1.0;
  double rollout = 1.0;
  double buffer = 1.0;
  double moves = 1.0;
  MSGPACK_DEFINE(share, rollout, buffer, moves)
};

/// Settings of the whole fleet ("fleet" in the files).
struct FleetOptions {
  std::string name;
  ReviewMode review = ReviewMode::kExplicit;
  std::int64_t review_window_s = 3600;
  std::int64_t claim_retention_s = 900;
  std::int64_t max_claims = 1'000'000;
  bool automatic_moves = true;
  PolicyWeights weights;
  MSGPACK_DEFINE(name, review, review_window_s, claim_retention_s, max_claims, automatic_moves,
                 weights)
};

/// One pool of VMs that run one service.
struct PoolConfig {
  std::string service;
  int min_available = 0;           // VMs that planned work must leave in service
  bool spare = false;              // may give VMs to other pools
  bool one_zone_at_a_time = true;  // planned work touches one availability zone at a time
  int slots_per_vm = 8;
  int max_queue = 1000;           // queued requests over all queues of the pool
  std::int64_t hold_down_s = 30;  // after verification, before a VM counts again
  MSGPACK_DEFINE(service, min_available, spare, one_zone_at_a_time, slots_per_vm, max_queue,
                 hold_down_s)
};

/// One VM and the pool that the configuration gives it.
struct VmConfig {
  PoolId pool;
  std::string region;
  std::string zone;
  std::string rack;
  int cores = 0;
  std::int64_t memory_mb = 0;
  int accelerators = 0;
  MSGPACK_DEFINE(pool, region, zone, rack, cores, memory_mb, accelerators)
};

/// One queue of requests for a pool.
struct QueueConfig {
  PoolId pool;
  bool idempotent = false;
  bool open = false;       // takes work without a key, for `team`
  TeamId team;             // open queue: the team that unkeyed work counts for
  std::set<TeamId> teams;  // keyed queue: the teams allowed; empty means all
  std::int64_t default_deadline_ms = 30'000;
  std::int64_t max_body_bytes = 1'048'576;
  double objective = 0.999;  // share of requests to be served in time
  MSGPACK_DEFINE(pool, idempotent, open, team, teams, default_deadline_ms, max_body_bytes,
                 objective)
};

/// One team (an organisation).
struct TeamConfig {
  double share = 1.0;  // weight when everything is full
  int limit = 0;       // most requests running at once over the fleet
  MSGPACK_DEFINE(share, limit)
};

/// One maintenance wave: every VM of the pools is rebooted once.
struct WaveConfig {
  std::vector<PoolId> pools;
  int max_parallel = 0;                  // 0: as many as the budgets allow
  int pause_after_failures = 2;          // failures within the wave that pause it
  std::int64_t checkpoint_after_s = 60;  // a drain asks running work to checkpoint after this
  MSGPACK_DEFINE(pools, max_parallel, pause_after_failures, checkpoint_after_s)
};

/// The merged configuration in force.
struct FleetConfig {
  FleetOptions fleet;
  std::map<PoolId, PoolConfig> pools;
  std::map<VmId, VmConfig> vms;
  std::map<QueueId, QueueConfig> queues;
  std::map<TeamId, TeamConfig> teams;
  std::map<WaveId, WaveConfig> waves;
  MSGPACK_DEFINE(fleet, pools, vms, queues, teams, waves)
};

/// A reason why configuration is not accepted. `file` may be empty for the merged whole; `path` is
/// like
/// "/pools/quoting/min_available"; `line` is 0 where unknown.
struct ConfigError {
  std::string file;
  std::string path;
  int line = 0;
  std::string reason;
  MSGPACK_DEFINE(file, path, line, reason)
};

/// Outcome of merging: a configuration, or the reasons against it.
struct MergeResult {
  FleetConfig config;
  std::vector<ConfigError> errors;
  bool ok() const { return errors.empty(); }
};

/// Parses each file (JSON with comments), merges them in the order of their names and checks the
/// whole: unknown keys, types, ranges, references between sections, budgets that the pool's VMs
/// cannot meet, shares and limits. Objects merge by key, later wins, lists replace, null removes.
MergeResult MergeConfig(const std::map<std::string, std::string>& files);

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::ReviewMode)

#endif  // GODWITPADDLE_DECISION_CONFIG_H_

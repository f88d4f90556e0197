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

/// When a submitted file comes into force: once approved, or also when its review window ends
/// without a veto.
enum class ReviewMode : std::uint8_t { kExplicit, kWindow };

/// Weights of the four measures that planning decisions trade against each other: fair shares
/// of the teams, time of roll-outs, free capacity, number of moves. Each is at least 0.
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
  std::int64_t review_window_s = 3600;   // used with ReviewMode::kWindow
  std::int64_t claim_retention_s = 900;  // a claim is kept at least until its request is this old
  std::int64_t max_claims = 1'000'000;   // claims stored at once; more are refused
  bool automatic_moves = true;           // whether the leader may move VMs between pools by load
  PolicyWeights weights;
  MSGPACK_DEFINE(name, review, review_window_s, claim_retention_s, max_claims, automatic_moves,
                 weights)
};

/// One pool of VMs that run one service.
struct PoolConfig {
  std::string service;
  int min_available = 0;  // availability budget: VMs that planned work must leave in service
  bool spare = false;     // its VMs may be moved to other pools by load
  bool one_zone_at_a_time = true;  // planned work is limited to one availability zone at a time
  int slots_per_vm = 8;
  int max_queue = 1000;           // most queued requests over all queues of the pool
  std::int64_t hold_down_s = 30;  // from verification until a VM counts as available again
  MSGPACK_DEFINE(service, min_available, spare, one_zone_at_a_time, slots_per_vm, max_queue,
                 hold_down_s)
};

/// One VM. `pool` is the pool that it belongs to unless it has been moved to another one by load.
/// Cores or memory of 0 are unknown.
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
  bool open = false;       // accepts requests without an API key, on behalf of `team`
  TeamId team;             // open queue: the team that requests without a key count for
  std::set<TeamId> teams;  // other queue: the teams that may use it; empty: all
  std::int64_t default_deadline_ms = 30'000;
  std::int64_t max_body_bytes = 1'048'576;
  double objective = 0.999;  // fraction of requests to be served before their deadlines
  MSGPACK_DEFINE(pool, idempotent, open, team, teams, default_deadline_ms, max_body_bytes,
                 objective)
};

/// One team (an organisation).
struct TeamConfig {
  double share = 1.0;  // weight of the team when slots or queue places are scarce
  int limit = 0;       // most requests of the team running at once in the fleet
  MSGPACK_DEFINE(share, limit)
};

/// One maintenance wave: every VM of the pools is rebooted once.
struct WaveConfig {
  std::vector<PoolId> pools;
  // Most VMs of the wave in operation at once; 0: as many as the pools' availability budgets allow.
  int max_parallel = 0;
  int pause_after_failures = 2;          // number of failures that pauses the wave
  std::int64_t checkpoint_after_s = 60;  // a drain asks running tasks to checkpoint after this time
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

/// A reason why a configuration is not accepted. `file` may be empty for an error of the merged
/// configuration; `path` is a JSON pointer such as "/pools/quoting/min_available"; `line` counts
/// from 1, 0: unknown.
struct ConfigError {
  std::string file;
  std::string path;
  int line = 0;
  std::string reason;
  MSGPACK_DEFINE(file, path, line, reason)
};

/// Result of MergeConfig: a configuration, or the errors found.
struct MergeResult {
  FleetConfig config;
  std::vector<ConfigError> errors;
  bool ok() const { return errors.empty(); }
};

/// Parses the files (JSON with comments, by name), merges them in the order of their names and
/// checks the result: unknown keys, types, ranges, references between sections, availability
/// budgets that exceed the number of the pool's VMs, shares and limits. Objects are merged by key;
/// a value or list of a later file replaces that of an earlier one, and null removes it.
MergeResult MergeConfig(const std::map<std::string, std::string>& files);

}  // namespace godwitpaddle

MSGPACK_ADD_ENUM(godwitpaddle::ReviewMode)

#endif  // GODWITPADDLE_DECISION_CONFIG_H_

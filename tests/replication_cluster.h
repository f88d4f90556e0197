#ifndef GODWITPADDLE_TESTS_REPLICATION_CLUSTER_H_
#define GODWITPADDLE_TESTS_REPLICATION_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "replication/replica.h"

namespace godwitpaddle::replication {

/// What a disk holds, and the batch that is being written to it.
struct SimDisk {
  StoredState stored;
  std::optional<PersistBatch> pending;

  void Apply(const PersistBatch& batch);
  /// A crash: the pending batch is lost, or only its first parts are kept.
  void Tear(Rng& rng);
};

/// State machine of the tests: a digest over all applied commands.
struct SimState {
  Index applied = 0;
  std::uint64_t digest = 0;
  std::string padding;  // makes snapshots larger than one chunk
  MSGPACK_DEFINE(applied, digest, padding)
};

/// One process on one VM. A restart makes a new `replica`, a lost disk also a new id.
struct SimNode {
  std::string name;
  Member self;
  ReplicaId id;
  int id_count = 0;
  Micros clock_offset = 0;  // clocks do not agree
  std::unique_ptr<Replica> replica;
  std::uint64_t incarnation = 0;  // grows with each start; events of earlier lives are dropped
  SimDisk disk;
  SimState state;
  Micros frozen_until = 0;
};

/// Probabilities and delays of all links.
struct LinkFaults {
  double loss = 0;
  double duplicate = 0;
  double delay = 0;  // share of messages that take up to `late_by`
  Micros max_delay = 1'500 * kMillisecond;
};

/// A replicated group in virtual time with in-memory links and disks. Each event checks what must
/// always hold and records violations.
class Cluster {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int disks = 5;
    int diskless = 2;
    int zones = 3;
    int voter_target = 3;
    Index snapshot_every = 200;
    std::size_t state_padding = 0;
  };

  explicit Cluster(Options options);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts all nodes and bootstraps the first one.
  void Start();
  void RunFor(Micros duration);
  /// Runs one event.
  void Step();
  bool RunUntil(const std::function<bool()>& done, Micros limit);

  void Crash(int node, bool torn = true);
  void Restart(int node);
  void LoseDisk(int node);  // of a node that is down
  void Freeze(int node, Micros duration);
  void BlockLink(int from, int to, Micros until);
  /// Separates the nodes in `side` from the others.
  void Partition(const std::set<int>& side, Micros until);
  void Heal();

  /// Proposes at the node that holds the lease, or at any leader.
  std::optional<Index> Propose(const std::string& payload);
  bool AddLearner(int node);
  bool Remove(int node);

  int Leader() const;  // -1 without a leader that holds its lease
  bool IsUp(int node) const { return nodes_[node].replica != nullptr; }
  SimNode& node(int index) { return nodes_[index]; }
  int size() const { return static_cast<int>(nodes_.size()); }
  int FindNode(const ReplicaId& id) const;
  Micros LocalNow(const SimNode& node) const { return now_ + node.clock_offset; }
  /// Whether every membership that may be in force keeps a majority of its voters' disks without
  /// the disk of `lost`, and also once the member `removed` is taken out.
  bool MajorityKeepsDisks(int lost, const ReplicaId& removed = {}) const;
  /// Every up node is a member and has applied everything that was ever committed.
  bool Converged() const;

  Micros now() const { return now_; }
  Rng& rng() { return rng_; }
  LinkFaults& links() { return links_; }
  bool auto_join = true;  // nodes that are no members ask the leader each second
  Micros slow_disk = 0;   // upper bound of extra time for a sync
  Index committed() const { return committed_.size(); }
  const Membership& committed_membership() const { return committed_membership_; }
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t steps() const { return steps_; }
  std::map<std::string, std::uint64_t> sent_messages;  // by kind
  std::deque<std::string> trace;                       // the newest events

  void Trace(std::string line);
  void TraceNodes();

 private:
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Schedule(Micros time, std::function<void()> run);
  /// Runs `step` on the replica once it is not frozen, unless it restarted meanwhile.
  void OnNode(int node, std::uint64_t incarnation, Micros time, std::function<void(SimNode&)> step);
  void Tick(int node, std::uint64_t incarnation);
  void StartReplica(int node);
  void ExecuteEffects(int node, Effects& effects);
  void Transmit(int node, const Envelope& envelope);
  void ApplyEntry(SimNode& node, const Entry& entry);
  void Install(SimNode& node, const Snapshot& snapshot);
  void TryJoin(int node);
  void CheckInvariants();
  void RecordViolation(const std::string& what);

  Options options_;
  Rng rng_;
  LinkFaults links_;
  Micros now_ = 0;
  std::uint64_t next_order_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t steps_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<SimNode> nodes_;
  std::map<std::pair<int, int>, Micros>
      blocked_links_;  // until when the link from, to drops everything
  std::vector<std::pair<Term, std::uint64_t>> committed_;  // term and digest after each index
  std::vector<std::string> committed_payloads_;
  Membership committed_membership_;
  Index committed_membership_index_ = 0;
  std::map<Term, ReplicaId> leaders_;
  std::vector<std::string> violations_;
};

}  // namespace godwitpaddle::replication

#endif  // GODWITPADDLE_TESTS_REPLICATION_CLUSTER_H_

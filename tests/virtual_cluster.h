#ifndef GODWITPADDLE_TESTS_VIRTUAL_CLUSTER_H_
#define GODWITPADDLE_TESTS_VIRTUAL_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "node/node.h"

namespace godwitpaddle::testing {

/// Faults of the links between nodes: probabilities per message and the bound on its delay.
struct LinkFaults {
  double loss = 0;
  double duplicate = 0;
  Micros max_delay = 2 * kMillisecond;
};

/// Carries out the effects of nodes on backend servers and the platform.
class Environment {
 public:
  virtual ~Environment() = default;
  virtual void StartTask(std::size_t node, const StartTaskEffect& start) = 0;
  virtual void OrderTask(std::size_t node, const OrderTaskEffect& order) = 0;
  virtual void CallPlatform(std::size_t node, const PlatformCall& call) = 0;
};

/// Resources that one node has used since StartAccounting.
struct NodeUsage {
  std::int64_t cpu_ns = 0;  // CPU time of the thread in Node::Step
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t messages_out = 0;
  std::map<std::size_t, std::uint64_t> bytes_by_type;  // bytes sent, by index in PeerMessage
};

/// Runs nodes in virtual time on simulated links, disks and clocks that can fail. All randomness is
/// derived from one seed.
class VirtualCluster {
 public:
  /// Starts the nodes. The first `with_disk` of them have a disk.
  VirtualCluster(std::size_t nodes, std::size_t with_disk, std::uint64_t seed);
  VirtualCluster(const VirtualCluster&) = delete;
  VirtualCluster& operator=(const VirtualCluster&) = delete;

  Micros now() const { return now_; }
  Rng& rng() { return rng_; }
  std::size_t size() const { return slots_.size(); }
  void set_environment(Environment* environment) { environment_ = environment; }
  void set_faults(const LinkFaults& faults) { faults_ = faults; }

  void At(Micros time, std::function<void()> action);
  void After(Micros delay, std::function<void()> action) { At(now_ + delay, std::move(action)); }
  void RunUntil(Micros time);
  void RunFor(Micros duration) { RunUntil(now_ + duration); }
  /// Runs until the condition holds. Returns false if it does not hold within `limit`.
  bool RunUntilTrue(const std::function<bool()>& condition, Micros limit);

  /// Sends an HTTP request to a node. `done` receives the response, or nothing if the node is
  /// killed first. Returns the connection for CloseConnection, or 0 if the node is down.
  std::uint64_t Http(std::size_t node, HttpEvent request,
                     std::function<void(const std::optional<RespondEffect>&)> done);
  void CloseConnection(std::size_t node, std::uint64_t connection);
  /// Delivers an event to an incarnation of a node, after its freeze if it is frozen. The event is
  /// dropped if that incarnation has ended.
  void Deliver(std::size_t node, std::uint64_t incarnation, Event event);

  void Kill(std::size_t node);
  void Start(std::size_t node);
  void LoseDisk(std::size_t node);
  void Freeze(std::size_t node, Micros duration);
  void Shutdown(std::size_t node);
  /// Drops all messages from `from` to `to` for the duration.
  void CutLink(std::size_t from, std::size_t to, Micros duration);
  void Isolate(std::size_t node, Micros duration);

  bool alive(std::size_t node) const { return slots_[node].node != nullptr; }
  bool frozen(std::size_t node) const { return slots_[node].frozen_until > now_; }
  std::uint64_t incarnation(std::size_t node) const { return slots_[node].incarnation; }
  const Node& node(std::size_t index) const { return *slots_[index].node; }
  const replication::ReplicaId& replica_id(std::size_t node) const { return slots_[node].replica; }
  bool HoldsLease(std::size_t node) const;
  std::optional<std::size_t> LeaderIndex() const;
  WallMs wall() const { return kWallStart + now_ / kMillisecond; }
  /// Number of events handled by all nodes, and of messages sent between them.
  std::uint64_t steps() const { return steps_; }
  std::uint64_t messages() const { return messages_; }
  /// Starts to count CPU time and bytes per node. From then on each message is encoded
  /// to determine its size.
  void StartAccounting() { usage_.assign(slots_.size(), NodeUsage{}); }
  const std::vector<NodeUsage>& usage() const { return usage_; }
  /// The latest log lines of all nodes, oldest first.
  const std::vector<std::string>& log() const { return log_; }

  static constexpr WallMs kWallStart = 1'700'000'000'000;

 private:
  struct Slot {
    NodeOptions options;
    std::unique_ptr<Node> node;
    std::uint64_t incarnation = 0;
    replication::ReplicaId replica;
    replication::StoredState disk;
    std::vector<replication::PersistBatch> unsynced;
    Micros frozen_until = 0;
    double clock_rate = 1;
    Micros clock_offset = 0;
    std::map<std::uint64_t, std::function<void(const std::optional<RespondEffect>&)>> connections;
  };
  struct ScheduledAction {
    Micros time = 0;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator>(const ScheduledAction& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  Micros LocalTime(const Slot& slot) const;
  void Step(std::size_t node, const Event& event);
  void ExecuteEffect(std::size_t node, Effect& effect);
  void Send(std::size_t from, const SendEffect& send);
  void Persist(std::size_t node, replication::PersistBatch batch);
  void ScheduleTick(std::size_t node, std::uint64_t incarnation);

  std::vector<Slot> slots_;
  std::map<std::string, std::size_t> by_address_;
  std::map<std::pair<std::size_t, std::size_t>, Micros> cut_links_;
  Environment* environment_ = nullptr;
  LinkFaults faults_;
  Rng rng_;
  Micros now_ = 0;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_replica_ = 1;
  std::uint64_t steps_ = 0;
  std::uint64_t messages_ = 0;
  std::vector<NodeUsage> usage_;  // empty: not accounting
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> queue_;
  std::vector<std::string> log_;
};

/// Applies a batch to the stored state of a disk.
void WriteBatch(replication::StoredState& disk, const replication::PersistBatch& batch);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_VIRTUAL_CLUSTER_H_

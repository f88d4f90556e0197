#include "tests/replication_soak.h"

#include <array>
#include <set>
#include <utility>

#include "tests/replication_cluster.h"

namespace godwitpaddle::replication {
namespace {

/// Time after the last fault within which all nodes must have converged: a silent voter is replaced
/// after 10 s, and elections and joins take a few seconds more.
constexpr Micros kRecoveryTime = 40 * kSecond;
constexpr Micros kLongestPartition = 30 * kSecond;

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options), cluster_(RandomOptions(options.seed)), rng_(options.seed + 1) {}

  SoakTotals Run() {
    cluster_.Start();
    cluster_.RunFor(3 * kSecond);
    while (cluster_.steps() < options_.steps && NoViolations()) RunRound();
    totals_.committed = cluster_.committed();
    totals_.messages = cluster_.messages();
    totals_.steps = cluster_.steps();
    totals_.virtual_seconds = cluster_.now() / kSecond;
    totals_.violations.insert(totals_.violations.end(), cluster_.violations().begin(),
                              cluster_.violations().end());
    totals_.trace.assign(cluster_.trace.begin(), cluster_.trace.end());
    return std::move(totals_);
  }

 private:
  static Cluster::Options RandomOptions(std::uint64_t seed) {
    Rng rng(seed);
    Cluster::Options options{.seed = seed};
    options.voter_target = UniformBelow(rng, 2) == 0 ? 3 : 5;
    options.disks = options.voter_target + static_cast<int>(UniformBelow(rng, 3));
    options.diskless = static_cast<int>(UniformBelow(rng, 3));
    options.snapshot_every = 20 + UniformBelow(rng, 200);
    // Snapshots of three chunks, so that faults interrupt their transfer.
    if (UniformBelow(rng, 4) == 0) options.state_padding = 150'000;
    return options;
  }

  bool NoViolations() const { return cluster_.violations().empty() && totals_.violations.empty(); }
  int RandomNode() { return RandomBelow(cluster_.size()); }
  int RandomBelow(int bound) { return static_cast<int>(UniformBelow(rng_, bound)); }
  Micros RandomDuration(Micros bound) { return static_cast<Micros>(UniformBelow(rng_, bound)); }
  void Count(const char* kind) { ++totals_.faults[kind]; }

  void RunRound() {
    const Micros end = cluster_.now() + 10 * kSecond + RandomDuration(30 * kSecond);
    while (cluster_.now() < end && cluster_.violations().empty()) {
      cluster_.RunFor(RandomDuration(100 * kMillisecond));
      Propose();
      if (RandomBelow(8) == 0) InjectFault();
    }
    if (RandomBelow(2) == 0) LoseSecondVoter();
    cluster_.Heal();
    if (!cluster_.violations().empty()) return;
    if (!cluster_.RunUntil([&] { return cluster_.Converged(); }, kRecoveryTime) &&
        cluster_.violations().empty()) {
      cluster_.TraceNodes();
      totals_.violations.emplace_back("not converged " + std::to_string(kRecoveryTime / kSecond) +
                                      " s after the last fault");
    }
  }

  void Propose() {
    for (int i = RandomBelow(4); i > 0; --i) {
      cluster_.Propose(std::to_string(totals_.proposals++) + std::string(RandomBelow(200), 'x'));
    }
  }

  void InjectFault() {
    using Action = void (Soak::*)();
    static constexpr std::array<Action, 11> kActions = {
        &Soak::DegradeLinks, &Soak::PartitionGroup, &Soak::BlockOneWay,  &Soak::IsolateLeader,
        &Soak::Freeze,       &Soak::Crash,          &Soak::CrashAll,     &Soak::LoseDisk,
        &Soak::Remove,       &Soak::SlowDisks,      &Soak::ElectionStorm};
    (this->*kActions[UniformBelow(rng_, kActions.size())])();
    for (int i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.IsUp(i) && RandomBelow(3) == 0) cluster_.Restart(i);
    }
  }

  void DegradeLinks() {
    Count("bad_links");
    cluster_.links() = {.loss = RandomBelow(3) * 0.1,
                        .duplicate = RandomBelow(3) * 0.1,
                        .delay = RandomBelow(3) * 0.1};
  }

  void PartitionGroup() {
    Count("partition");
    std::set<int> side;
    for (int i = 0; i < cluster_.size(); ++i) {
      if (RandomBelow(2) == 0) side.insert(i);
    }
    cluster_.Partition(
        side, cluster_.now() + RandomDuration(RandomBelow(4) == 0 ? kLongestPartition : kSecond));
  }

  void BlockOneWay() {
    Count("one_way_cut");
    for (int i = 0; i < 3; ++i) {
      cluster_.BlockLink(RandomNode(), RandomNode(), cluster_.now() + RandomDuration(5 * kSecond));
    }
  }

  void IsolateLeader() {
    const int leader = cluster_.Leader();
    if (leader < 0) return;
    Count("leader_cut");
    for (int i = 0; i < cluster_.size(); ++i) {
      if (i == leader) continue;
      const Micros until = cluster_.now() + RandomDuration(3 * kSecond);
      const int direction = RandomBelow(3);
      if (direction != 0) cluster_.BlockLink(leader, i, until);
      if (direction != 1) cluster_.BlockLink(i, leader, until);
    }
  }

  void Freeze() {
    Count("freeze");
    cluster_.Freeze(RandomNode(), RandomDuration(4 * kSecond));
  }

  void Crash() {
    const int node = RandomNode();
    if (!cluster_.IsUp(node)) return;
    Count("restart");
    cluster_.Crash(node);
    if (RandomBelow(2) == 0) cluster_.Restart(node);
  }

  void CrashAll() {
    if (RandomBelow(3) != 0) return;
    Count("restart_all");
    for (int i = 0; i < cluster_.size(); ++i) {
      if (cluster_.IsUp(i)) cluster_.Crash(i);
    }
    for (int i = 0; i < cluster_.size(); ++i) cluster_.Restart(i);
  }

  void LoseDisk() {
    const int node = RandomNode();
    if (!cluster_.node(node).self.has_disk || !cluster_.MajorityKeepsDisks(node)) return;
    Count("lost_disk");
    if (cluster_.IsUp(node)) cluster_.Crash(node);
    cluster_.LoseDisk(node);
    if (RandomBelow(2) == 0) cluster_.Restart(node);
  }

  void Remove() {
    const int node = RandomNode();
    const ReplicaId& id = cluster_.node(node).id;
    if (!cluster_.IsUp(node) || !cluster_.MajorityKeepsDisks(-1, id)) return;
    Count("remove");
    cluster_.Remove(node);
  }

  void SlowDisks() {
    Count("slow_disk");
    cluster_.slow_disk = RandomBelow(2) == 0 ? 0 : 300 * kMillisecond;
  }

  /// Blocks the links between the leader and one other node only, so that this node requests votes
  /// from the others, and restarts those repeatedly while votes and acknowledgements are in flight.
  void ElectionStorm() {
    const int leader = cluster_.Leader();
    const int candidate = RandomNode();
    if (leader < 0 || leader == candidate) return;
    Count("election_storm");
    const Micros end = cluster_.now() + 3 * kSecond;
    cluster_.BlockLink(leader, candidate, end);
    cluster_.BlockLink(candidate, leader, end);
    const bool block_more = RandomBelow(2) == 0;
    if (RandomBelow(2) == 0) cluster_.slow_disk = 100 * kMillisecond;
    if (RandomBelow(2) == 0) cluster_.links().delay = 0.3;
    const int restarts = RandomBelow(3);
    while (cluster_.now() < end) {
      cluster_.RunFor(RandomDuration(100 * kMillisecond));
      if (block_more) {
        cluster_.BlockLink(RandomNode(), RandomNode(), cluster_.now() + RandomDuration(kSecond));
      }
      const int node = RandomNode();
      const bool excluded = node == leader || node == candidate;
      if (excluded || !cluster_.IsUp(node) || RandomBelow(2) >= restarts) continue;
      cluster_.Crash(node);
      cluster_.Restart(node);
    }
  }

  /// Loses the disk of one node, waits until the group tolerates the loss of another disk, and
  /// loses that one at once.
  void LoseSecondVoter() {
    cluster_.Heal();
    if (!cluster_.RunUntil([&] { return cluster_.Converged(); }, kRecoveryTime)) return;
    const int first = RandomNode();
    if (!cluster_.node(first).self.has_disk || !cluster_.MajorityKeepsDisks(first)) return;
    Count("loss_then_repair");
    cluster_.Crash(first);
    cluster_.LoseDisk(first);
    const ReplicaId lost = cluster_.node(first).id;
    if (RandomBelow(2) == 0) cluster_.Restart(first);
    cluster_.RunUntil([&] { return cluster_.MajorityKeepsDisks(RandomNode()); }, kRecoveryTime);
    const int second = RandomNode();
    if (!cluster_.IsUp(second) || !cluster_.MajorityKeepsDisks(second)) return;
    Count("second_loss");
    cluster_.Crash(second);
    cluster_.LoseDisk(second);
    Propose();
    cluster_.RunFor(RandomDuration(15 * kSecond));
  }

  SoakOptions options_;
  Cluster cluster_;
  Rng rng_;
  SoakTotals totals_;
};

}  // namespace

SoakTotals RunSoak(const SoakOptions& options) { return Soak(options).Run(); }

std::string Describe(const SoakOptions& options, const SoakTotals& totals) {
  std::string line = "seed=" + std::to_string(options.seed) +
                     " steps=" + std::to_string(totals.steps) +
                     " virtual_s=" + std::to_string(totals.virtual_seconds) +
                     " proposals=" + std::to_string(totals.proposals) +
                     " committed=" + std::to_string(totals.committed) +
                     " messages=" + std::to_string(totals.messages);
  for (const auto& [kind, count] : totals.faults) line += " " + kind + "=" + std::to_string(count);
  return line + " violations=" + std::to_string(totals.violations.size());
}

}  // namespace godwitpaddle::replication

#include "tests/node_soak_run.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "node/admin.h"

namespace godwitpaddle::testing {
namespace {

constexpr int kServersPerPool = 4;
constexpr int kSlots = 4;
constexpr Micros kRevocationBound = 2 * kSecond;   // specified bound on the use of a revoked key
constexpr Micros kActivationBound = 12 * kSecond;  // specified bound on putting a change in force

const std::vector<std::string>& Pools() {
  static const std::vector<std::string> names = {"alpha", "beta", "spare"};
  return names;
}

const std::vector<std::string>& Teams() {
  static const std::vector<std::string> names = {"large", "middle", "small"};
  return names;
}

int LimitOf(const TeamId& team) { return team == "large" ? 24 : team == "middle" ? 12 : 3; }

std::map<std::string, std::string> Files() {
  nlohmann::json pools;
  nlohmann::json vms;
  nlohmann::json queues;
  for (const std::string& pool : Pools()) {
    pools[pool] = {{"service", pool},          {"min_available", kServersPerPool - 1},
                   {"spare", pool == "spare"}, {"one_zone_at_a_time", false},
                   {"slots_per_vm", kSlots},   {"hold_down_s", 2}};
    for (int i = 0; i < kServersPerPool; ++i) {
      vms[pool + "-" + std::to_string(i)] = {{"pool", pool},
                                             {"region", "r1"},
                                             {"zone", "z" + std::to_string(i % 4 + 1)},
                                             {"rack", "rack" + std::to_string(i)},
                                             {"cores", 64},
                                             {"memory_mb", 128'000}};
    }
    queues[pool + "-once"] = {{"pool", pool}, {"idempotent", false}};
    queues[pool + "-any"] = {{"pool", pool}, {"idempotent", true}};
  }
  nlohmann::json teams;
  for (const std::string& team : Teams()) {
    teams[team] = {{"share", LimitOf(team)}, {"limit", LimitOf(team)}};
  }
  return {
      {"00-fleet.json", nlohmann::json{{"fleet", {{"name", "soak"}}}}.dump()},
      {"10-pools.json", nlohmann::json{{"pools", pools}, {"vms", vms}, {"queues", queues}}.dump()},
      {"30-teams.json", nlohmann::json{{"teams", teams}}.dump()},
      {"50-waves.json", nlohmann::json{{"waves", {{"reboot", {{"pools", Pools()}}}}}}.dump()}};
}

/// One soak run.
class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        cluster_(options.nodes, options.disks, options.seed),
        backend_(cluster_),
        operator_(cluster_) {
    cluster_.set_environment(&backend_);
  }

  SoakTotals Run() {
    try {
      if (!SetUp()) {
        backend_.AddViolation("the group was not formed or the configuration was not put in force");
      } else {
        RunSteps();
        CheckRecovery();
      }
    } catch (const std::exception& error) {
      backend_.AddViolation(std::string("invariant: ") + error.what());
    }
    totals_.starts = backend_.starts();
    totals_.reboots = backend_.reboots();
    totals_.node_steps = cluster_.steps();
    totals_.violations = backend_.violations();
    if (!totals_.violations.empty()) totals_.log = cluster_.log();
    return totals_;
  }

 private:
  struct Call {
    Job job;
    bool not_run = false;
    std::string refusal;
  };

  std::uint64_t RandomBelow(std::uint64_t bound) { return UniformBelow(cluster_.rng(), bound); }

  bool SetUp() {
    for (const std::string& pool : Pools()) {
      for (int i = 0; i < kServersPerPool; ++i) {
        backend_.AddServer(pool + "-" + std::to_string(i), pool, "rack" + std::to_string(i),
                           "z" + std::to_string(i % 4 + 1), kSlots);
      }
      backend_.set_min_available(pool, kServersPerPool - 1);
    }
    for (const std::string& team : Teams()) backend_.set_limit(team, LimitOf(team));
    if (!operator_.Bootstrap(3) || !operator_.Configure(Files())) return false;
    for (const std::string& team : Teams()) {
      keys_[team] = operator_.GrantTeamKey(team);
      if (keys_[team].empty()) return false;
    }
    cluster_.RunFor(8 * kSecond);
    return true;
  }

  void RunSteps() {
    for (std::uint64_t step = 0; step < options_.steps; ++step) {
      cluster_.RunFor(static_cast<Micros>(RandomBelow(20 * kMillisecond)));
      const std::uint64_t choice = RandomBelow(1'000);
      if (options_.inject_faults && choice < 12) {
        InjectFault();
      } else if (choice < 20) {
        OperatorAction();
      } else if (choice < 24) {
        CancelRecentCalls();
      } else {
        Submit();
      }
      if (step % 64 == 0) CheckConfiguration();
    }
  }

  /// Ends all faults and waits 40 s, within which every call must be answered. Then checks that new
  /// requests are served: at least 30 of 40.
  void CheckRecovery() {
    cluster_.set_faults({});
    backend_.set_platform_failures(0);
    for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.Start(i);
    for (auto& [vm, server] : backend_.servers()) {
      server.fails_everything = server.refuses_everything = false;
      server.leaving_since = server.leave_accepted = server.silent_until = 0;
    }
    cluster_.RunFor(40 * kSecond);
    if (open_calls_ != 0) {
      backend_.AddViolation(std::to_string(open_calls_) + " calls were never answered");
    }
    for (const Call& call : calls_) {
      if (call.not_run && backend_.StartsOf(call.job.id) > 0) {
        backend_.AddViolation("refused as not run, but started: " + call.job.id +
                              (call.job.once ? " once" : " any") +
                              backend_.StartLogOf(call.job.id) + " " + call.refusal);
      }
    }
    CheckConfiguration();
    const std::uint64_t before = totals_.answered;
    if (key_pending_) backend_.AddViolation("a new key could not be granted");
    for (int i = 0; i < 40; ++i) {
      Submit();
      cluster_.RunFor(50 * kMillisecond);
    }
    cluster_.RunFor(15 * kSecond);
    if (totals_.answered < before + 30) {
      std::string refusals;
      for (std::size_t i = calls_.size() - 40; i < calls_.size(); ++i) {
        refusals += "\n      " + calls_[i].refusal;
      }
      backend_.AddViolation("requests are not served after the faults: " +
                            std::to_string(totals_.answered - before) + " of 40" + refusals);
    }
  }

  void Submit() {
    const std::string& team = Teams()[RandomBelow(Teams().size())];
    const std::string& pool = Pools()[RandomBelow(Pools().size())];
    const bool once = RandomBelow(2) == 0;
    ++totals_.requests;
    Job job{.id = std::to_string(cluster_.wall()) + "-" + std::to_string(totals_.requests),
            .team = team,
            .once = once,
            .run_ms = static_cast<int>(10 + RandomBelow(400))};
    Send(pool + (once ? "-once" : "-any"), job);
    if (once && RandomBelow(8) == 0) Send(pool + "-once", job);  // repeated at another node
  }

  void Send(const std::string& queue, const Job& job) {
    HttpEvent request{.method = "POST",
                      .path = "/v1/queues/" + queue + "/requests",
                      .headers = {{"authorization", "Bearer " + keys_[job.team]},
                                  {"idempotency-key", job.id},
                                  {"x-deadline-ms", std::to_string(1'000 + RandomBelow(8'000))},
                                  {"x-priority", RandomBelow(5) == 0 ? "urgent" : "normal"}},
                      .body = job.Body()};
    const std::size_t index = calls_.size();
    calls_.push_back({.job = job});
    ++calls_by_id_[job.id];
    const Micros sent = cluster_.now();
    ++open_calls_;
    cluster_.Http(RandomBelow(cluster_.size()), std::move(request),
                  [this, index, sent](const std::optional<RespondEffect>& response) {
                    --open_calls_;
                    OnAnswer(calls_[index], sent, response);
                  });
  }

  void OnAnswer(Call& call, Micros sent, const std::optional<RespondEffect>& response) {
    if (!response) return;
    if (response->status == 200) {
      ++totals_.answered;
      if (response->body != "answer " + call.job.Body()) {
        backend_.AddViolation("wrong answer for " + call.job.id);
      }
      const auto revoked = revoked_.find(call.job.team);
      if (revoked != revoked_.end() && sent > revoked->second + kRevocationBound) {
        backend_.AddViolation("a revoked key of " + call.job.team + " still works");
      }
      return;
    }
    call.refusal = std::to_string(cluster_.now()) + " " + response->body;
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    // With several calls of one id, the refusal of one does not tell whether another one runs.
    call.not_run =
        json.is_object() && json.value("not_run", false) && calls_by_id_.at(call.job.id) == 1;
    ++(call.not_run ? totals_.refused_not_run : totals_.unknown);
  }

  std::int64_t CallsOf(const std::string& id) const {
    return std::count_if(calls_.begin(), calls_.end(),
                         [&id](const Call& call) { return call.job.id == id; });
  }

  void CancelRecentCalls() {
    ++totals_.faults["cancel_wave"];
    for (std::size_t i = calls_.size() > 20 ? calls_.size() - 20 : 0; i < calls_.size(); ++i) {
      const Job& job = calls_[i].job;
      HttpEvent request{
          .method = "DELETE",
          .path = "/v1/requests/" + Pools()[RandomBelow(Pools().size())] + "-once:" + job.id,
          .headers = {{"authorization", "Bearer " + keys_[job.team]}}};
      cluster_.Http(RandomBelow(cluster_.size()), std::move(request), [](const auto&) {});
    }
  }

  void OperatorAction() {
    ++totals_.operator_actions;
    switch (RandomBelow(5)) {
      case 0:
        return SubmitConcurrently();
      case 1:
        return RevokeAndGrant();
      case 2:
        return operator_.Call("POST", "/v1/admin/waves/reboot",
                              {{"change_id", operator_.NewChangeId()}, {"action", "start"}},
                              operator_.operator_key(), [](int, const auto&) {});
      case 3:
        return operator_.Call("POST", "/v1/admin/waves/reboot",
                              {{"change_id", operator_.NewChangeId()}, {"action", "resume"}},
                              operator_.operator_key(), [](int, const auto&) {});
      default:
        return operator_.Call("GET", "/v1/admin/status", nullptr, operator_.operator_key(),
                              [](int, const auto&) {});
    }
  }

  /// Two operators submit changes on the same base revision, of which at most one may be accepted.
  /// It is approved and must remain in force.
  void SubmitConcurrently() {
    const std::uint64_t base = operator_.revision();
    auto wins = std::make_shared<int>(0);
    for (int i = 0; i < 2; ++i) {
      const std::string marker = std::to_string(next_marker_++);
      const nlohmann::json files = {
          {"90-marker.json", "{\"fleet\":{\"name\":\"soak-" + marker + "\"}}"}};
      const nlohmann::json change = {
          {"change_id", operator_.NewChangeId()}, {"base_revision", base}, {"files", files}};
      operator_.Call("POST", "/v1/admin/changes", change, operator_.operator_key(),
                     [this, wins](int status, auto&) {
                       if (status != 200) return;
                       if (++*wins > 1) backend_.AddViolation("both changes were accepted");
                       const nlohmann::json review = {{"change_id", operator_.NewChangeId()},
                                                      {"approve", true},
                                                      {"files", {"90-marker.json"}}};
                       operator_.Call("POST", "/v1/admin/review", review, operator_.customer_key(),
                                      [this](int approved, const nlohmann::json& answer) {
                                        if (approved != 200 || !answer.contains("in_force")) return;
                                        accepted_.emplace_back(
                                            cluster_.now(),
                                            answer.at("in_force").get<std::uint64_t>());
                                      });
                     });
    }
  }

  void RevokeAndGrant() {
    const TeamId team = "small";
    if (revoked_.contains(team) || key_pending_) return;
    const std::string id =
        "key-" + team + (key_number_ == 0 ? "" : "-" + std::to_string(key_number_));
    key_pending_ = true;
    operator_.Call("DELETE", "/v1/admin/keys", {{"change_id", operator_.NewChangeId()}, {"id", id}},
                   operator_.operator_key(), [this, team](int status, const auto&) {
                     if (status != 200) return;
                     revoked_[team] = cluster_.now();
                     cluster_.After(6 * kSecond, [this, team] { GrantNewKey(team); });
                   });
  }

  void GrantNewKey(const TeamId& team) {
    ++key_number_;
    const std::string secret = "secret-" + team + "-" + std::to_string(key_number_);
    const nlohmann::json grant = {{"change_id", operator_.NewChangeId()},
                                  {"id", "key-" + team + "-" + std::to_string(key_number_)},
                                  {"role", "team"},
                                  {"team", team},
                                  {"hash", Hex(HashKey(secret))}};
    operator_.Call("POST", "/v1/admin/keys", grant, operator_.operator_key(),
                   [this, team, secret](int status, const auto&) {
                     if (status != 200) return;
                     revoked_.erase(team);
                     keys_[team] = secret;
                     key_pending_ = false;
                   });
  }

  /// Checks that each node with a lease has every configuration that was accepted longer ago than
  /// kActivationBound, and that it is not older than the newest seen on any node for longer than
  /// this.
  void CheckConfiguration() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.HoldsLease(i)) {
        behind_since_[i] = 0;  // a node without a lease may lag behind
        continue;
      }
      const std::uint64_t in_force = cluster_.node(i).state().in_force_version;
      for (const auto& [at, accepted] : accepted_) {
        if (cluster_.now() > at + kActivationBound && in_force < accepted) {
          backend_.AddViolation("node " + std::to_string(i) + " lacks an accepted configuration");
        }
      }
      if (in_force < newest_config_) {
        const auto before = std::exchange(
            behind_since_[i], behind_since_[i] == 0 ? cluster_.now() : behind_since_[i]);
        if (before != 0 && cluster_.now() > before + kActivationBound) {
          backend_.AddViolation("a configuration reverted");
        }
      } else {
        behind_since_[i] = 0;
      }
      newest_config_ = std::max(newest_config_, in_force);
    }
    if (accepted_.size() > 50) accepted_.erase(accepted_.begin(), accepted_.end() - 50);
  }

  // ---- faults ----

  std::size_t RandomNode() { return RandomBelow(cluster_.size()); }

  VmId RandomServer() {
    auto server = backend_.servers().begin();
    std::advance(server, RandomBelow(backend_.servers().size()));
    return server->first;
  }

  /// Returns whether all voters and disks are available. A disk may be lost only then, since the
  /// group tolerates one loss at a time.
  bool AllVotersLive() const {
    const auto leader = cluster_.LeaderIndex();
    if (!leader || DisksDown() > 0) return false;
    std::size_t voters = 0;
    for (const auto& [id, member] : cluster_.node(*leader).replica().membership()) {
      if (member.role != replication::Role::kVoter) continue;
      ++voters;
      bool live = false;
      for (std::size_t i = 0; i < options_.disks; ++i) {
        live |= cluster_.replica_id(i) == id && !cluster_.frozen(i);
      }
      if (!live) return false;
    }
    return voters >= 3;
  }

  std::size_t DisksDown() const {
    std::size_t down = 0;
    for (std::size_t i = 0; i < options_.disks; ++i) down += cluster_.alive(i) ? 0 : 1;
    return down;
  }

  void RestartLater(std::size_t node) {
    cluster_.After(static_cast<Micros>(RandomBelow(6 * kSecond)),
                   [this, node] { cluster_.Start(node); });
  }

  void InjectFault() {
    static const std::vector<std::pair<std::string, void (Soak::*)()>> kinds = {
        {"kill", &Soak::KillNode},
        {"lose_disk", &Soak::LoseDisk},
        {"freeze", &Soak::FreezeNode},
        {"isolate", &Soak::IsolateNode},
        {"cut_one_way", &Soak::CutOneWay},
        {"lossy_links", &Soak::LossyLinks},
        {"shutdown", &Soak::ShutdownNode},
        {"server_crash", &Soak::CrashServer},
        {"server_fails", &Soak::FailServer},
        {"server_silent", &Soak::SilenceServer},
        {"server_leaves", &Soak::DrainServer},
        {"platform", &Soak::FailPlatform},
        {"kill_leader", &Soak::KillLeader},
    };
    const auto& [name, run] = kinds[RandomBelow(kinds.size())];
    ++totals_.faults[name];
    (this->*run)();
  }

  void KillNode() {
    const std::size_t node = RandomNode();
    cluster_.Kill(node);
    RestartLater(node);
  }
  void KillLeader() {
    const auto leader = cluster_.LeaderIndex();
    if (!leader) return;
    cluster_.Kill(*leader);
    RestartLater(*leader);
  }
  /// Loses one disk. The next one is lost 40 s later at the earliest, so that the group can replace
  /// the replica first.
  void LoseDisk() {
    const std::size_t node = RandomBelow(options_.disks);
    if (!AllVotersLive() || cluster_.now() < next_disk_loss_) {
      --totals_.faults["lose_disk"];
      return;
    }
    next_disk_loss_ = cluster_.now() + 40 * kSecond;
    cluster_.Kill(node);
    cluster_.LoseDisk(node);
    RestartLater(node);
    // Kills another node with a disk 25 s later (it keeps its disk), when the group should just
    // have replaced the replica. Skipped while any node with a disk is down.
    cluster_.After(25 * kSecond, [this, node] {
      const std::size_t second = (node + 1) % options_.disks;
      if (DisksDown() > 0) return;
      ++totals_.faults["second_loss"];
      cluster_.Kill(second);
      RestartLater(second);
    });
  }
  void FreezeNode() {
    cluster_.Freeze(RandomNode(), static_cast<Micros>(RandomBelow(9 * kSecond)));
  }
  void IsolateNode() {
    cluster_.Isolate(RandomNode(), static_cast<Micros>(RandomBelow(20 * kSecond)));
  }
  void CutOneWay() {
    cluster_.CutLink(RandomNode(), RandomNode(), static_cast<Micros>(RandomBelow(10 * kSecond)));
  }
  void LossyLinks() {
    cluster_.set_faults(
        {.loss = UniformUnit(cluster_.rng()) * 0.2,
         .duplicate = UniformUnit(cluster_.rng()) * 0.1,
         .max_delay = 1 * kMillisecond + static_cast<Micros>(RandomBelow(60 * kMillisecond))});
    cluster_.After(8 * kSecond, [this] { cluster_.set_faults({}); });
  }
  void ShutdownNode() { cluster_.Shutdown(RandomNode()); }
  void CrashServer() {
    backend_.Crash(RandomServer(), static_cast<Micros>(RandomBelow(10 * kSecond)));
  }
  void FailServer() {
    FakeServer& server = backend_.servers().at(RandomServer());
    (RandomBelow(2) == 0 ? server.fails_everything : server.refuses_everything) = true;
    cluster_.After(10 * kSecond,
                   [&server] { server.fails_everything = server.refuses_everything = false; });
  }
  void SilenceServer() {
    backend_.servers().at(RandomServer()).silent_until =
        cluster_.now() + static_cast<Micros>(RandomBelow(12 * kSecond));
  }
  void DrainServer() {
    FakeServer& server = backend_.servers().at(RandomServer());
    if (server.leaving_since == 0) server.leaving_since = cluster_.now();
    cluster_.After(8 * kSecond, [&server] { server.leaving_since = server.leave_accepted = 0; });
  }
  void FailPlatform() {
    backend_.set_platform_failures(0.5);
    cluster_.After(10 * kSecond, [this] { backend_.set_platform_failures(0); });
  }

  SoakOptions options_;
  VirtualCluster cluster_;
  FakeBackend backend_;
  FakeOperator operator_;
  SoakTotals totals_;
  std::map<TeamId, std::string> keys_;
  std::deque<Call> calls_;
  std::map<std::string, int> calls_by_id_;
  std::int64_t open_calls_ = 0;
  std::vector<std::pair<Micros, std::uint64_t>> accepted_;
  std::map<std::size_t, Micros> behind_since_;
  std::uint64_t newest_config_ = 0;
  std::map<TeamId, Micros> revoked_;
  bool key_pending_ = false;
  int key_number_ = 0;
  int next_marker_ = 0;
  Micros next_disk_loss_ = 0;
};

}  // namespace

SoakTotals RunSoak(const SoakOptions& options) { return Soak(options).Run(); }

void Accumulate(SoakTotals& sum, const SoakTotals& run) {
  sum.requests += run.requests;
  sum.answered += run.answered;
  sum.refused_not_run += run.refused_not_run;
  sum.unknown += run.unknown;
  sum.starts += run.starts;
  sum.operator_actions += run.operator_actions;
  sum.reboots += run.reboots;
  sum.node_steps += run.node_steps;
  for (const auto& [name, count] : run.faults) sum.faults[name] += count;
  sum.violations.insert(sum.violations.end(), run.violations.begin(), run.violations.end());
}

std::string TotalsLine(const SoakTotals& totals) {
  std::string line = "requests=" + std::to_string(totals.requests) +
                     " answered=" + std::to_string(totals.answered) +
                     " refused_not_run=" + std::to_string(totals.refused_not_run) +
                     " unknown=" + std::to_string(totals.unknown) +
                     " starts=" + std::to_string(totals.starts) +
                     " operator_actions=" + std::to_string(totals.operator_actions) +
                     " reboots=" + std::to_string(totals.reboots) +
                     " node_steps=" + std::to_string(totals.node_steps) + " faults{";
  for (const auto& [name, count] : totals.faults) line += " " + name + "=" + std::to_string(count);
  return line + " } violations=" + std::to_string(totals.violations.size());
}

}  // namespace godwitpaddle::testing

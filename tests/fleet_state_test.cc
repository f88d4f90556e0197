#include "decision/fleet_state.h"

#include <catch2/catch.hpp>
#include <string>

#include "base/codec.h"
#include "decision/commands.h"

namespace godwitpaddle {
namespace {

constexpr WallMs kStart = 1'764'812'520'000;

constexpr const char* kBase = R"({
  "fleet": {"max_claims": 3, "claim_retention_s": 60},
  "pools": {"quoting": {"service": "quoting", "min_available": 1},
            "notice": {"service": "notice", "spare": true}},
  "vms": {"q1": {"pool": "quoting", "zone": "a"}, "q2": {"pool": "quoting", "zone": "b"},
          "q3": {"pool": "quoting", "zone": "b"}, "n1": {"pool": "notice", "zone": "a"}},
  "teams": {"dyers": {"limit": 10}},
  "queues": {"orders": {"pool": "quoting"}},
  "waves": {"monthly": {"pools": ["quoting"]}}})";

/// A fleet state to which a test applies commands one by one. Checks the invariants after each.
struct FleetFixture {
  FleetState state;
  std::uint64_t index = 0;
  WallMs wall = kStart;

  ApplyResult Execute(CommandBody body) {
    const Command command{.wall = wall, .body = std::move(body)};
    ApplyResult result = Apply(state, ++index, command);
    CHECK(FindViolationAfter(state, command) == std::nullopt);
    CHECK(FindViolation(state) == std::nullopt);
    return result;
  }
  ApplyResult Submit(const std::string& id,
                     std::map<std::string, std::optional<std::string>> files) {
    return Execute(SubmitConfig{id, state.revision, "op", std::move(files)});
  }
  ApplyResult Decide(const std::string& id, bool approve, std::vector<std::string> files) {
    return Execute(DecideReview{id, "customer", approve, std::move(files)});
  }
  /// Puts the base configuration in force, sets all VMs to healthy, adds the nodes n1 and n2 and
  /// assigns both pools to n1.
  FleetFixture& SetUp() {
    REQUIRE(Submit("base", {{"10-base.json", kBase}}).ok());
    REQUIRE(Decide("base-ok", true, {"10-base.json"}).ok());
    for (const char* vm : {"q1", "q2", "q3", "n1"}) Execute(SetVmHealth{vm, true});
    for (const char* id : {"n1", "n2"}) Execute(NodeJoined{std::string(id) + "-0a", {.node = id}});
    for (const char* id : {"quoting", "notice"}) REQUIRE(Execute(AssignPool{id, "n1-0a", 1}).ok());
    return *this;
  }
  ApplyResult Claim(const std::string& id, const std::string& attempt, std::uint64_t epoch = 1,
                    const Incarnation& owner = "n1-0a") {
    return Execute(ClaimBatch{"quoting", epoch, owner, {{"orders", id, attempt, wall}}});
  }
  ApplyResult Start(const VmId& vm, VmOperation operation) {
    return Execute(StartVmOperation{.vm = vm, .operation = std::move(operation)});
  }
  ApplyResult Advance(const VmId& vm, VmPhase from, VmPhase to) {
    return Execute(AdvanceVmOperation{.vm = vm, .operation_id = Id(vm), .from = from, .to = to});
  }
  std::string Id(const VmId& vm) const {
    const auto& operation = state.vms.at(vm).operation;
    return operation ? operation->id : "";
  }
  /// Takes a started operation through its remaining phases and finishes it.
  void Complete(const VmId& vm) {
    REQUIRE(Advance(vm, VmPhase::kDraining, VmPhase::kStopping).ok());
    REQUIRE(Advance(vm, VmPhase::kStopping, VmPhase::kVerifying).ok());
    REQUIRE(Advance(vm, VmPhase::kVerifying, VmPhase::kHoldDown).ok());
    REQUIRE(Execute(FinishVmOperation{.vm = vm, .operation_id = Id(vm)}).ok());
  }
};

TEST_CASE("a configuration change is reviewed") {
  FleetFixture fleet;
  REQUIRE(fleet.Submit("c1", {{"10-base.json", kBase}}).ok());
  const FleetState& state = fleet.state;
  CHECK(state.revision == 1);
  CHECK(state.in_force_version == 0);
  CHECK(state.vms.empty());

  SECTION("concurrent submissions conflict, and a resent command gets its first result") {
    const ApplyResult conflicting =
        fleet.Execute(SubmitConfig{"c2", 0, "other", {{"20-x.json", "{}"}}});
    CHECK(conflicting.code == ResultCode::kConflict);
    fleet.Submit("c3", {{"20-x.json", "{}"}});
    const ApplyResult resent =
        fleet.Execute(SubmitConfig{"c1", 0, "op", {{"10-base.json", kBase}}});
    CHECK(resent.ok());
    CHECK(resent.revision == 1);
    CHECK(fleet.Execute(SubmitConfig{"c2", 2, "other", {}}).code == ResultCode::kConflict);
    CHECK(state.revision == 2);
  }
  SECTION("approval puts the file in force, and revision and version only increase") {
    const ApplyResult approved = fleet.Decide("a1", true, {"10-base.json"});
    REQUIRE(approved.ok());
    CHECK(approved.in_force_version == 1);
    CHECK(state.in_force_index == fleet.index);
    CHECK(state.vms.at("q1").pool == "quoting");
    CHECK(fleet.Decide("a2", true, {"10-base.json"}).code == ResultCode::kNotFound);
    CHECK(state.in_force_version == 1);
  }
  SECTION("a vetoed file never takes effect, and files that need it are blocked with the reason") {
    REQUIRE(
        fleet.Submit("c2", {{"20-v.json", R"({"vms": {"q4": {"pool": "quoting", "zone": "c"}}})"}})
            .ok());
    REQUIRE(fleet.Decide("v1", false, {"10-base.json"}).ok());
    CHECK(state.pending.at("20-v.json").state == ReviewState::kBlocked);
    CHECK(state.pending.at("20-v.json").reason.find("no pool") != std::string::npos);
    CHECK(fleet.Decide("a1", true, {"20-v.json"}).code == ResultCode::kInvalid);
    CHECK(state.files.empty());
    SECTION("a blocked file is pending again once the file that it needs is resubmitted") {
      fleet.Submit("c3", {{"10-base.json", kBase}});
      CHECK(state.pending.at("20-v.json").state == ReviewState::kPending);
      CHECK(fleet.Decide("a3", true, {"20-v.json"}).code == ResultCode::kInvalid);
      CHECK(fleet.Decide("a4", true, {"20-v.json", "10-base.json"}).ok());
      CHECK(state.vms.count("q4") == 1);
    }
  }
  SECTION("a later submission of a file replaces the pending one and restarts its review") {
    fleet.wall += 1000;
    std::string other = kBase;
    other.replace(other.find("\"limit\": 10"), 11, "\"limit\": 20");
    REQUIRE(fleet.Submit("c2", {{"10-base.json", other}}).ok());
    CHECK(state.pending.at("10-base.json").submitted == fleet.wall);
    fleet.Decide("a1", true, {"10-base.json"});
    CHECK(state.config.teams.at("dyers").limit == 20);
  }
  SECTION("files take effect when the review window ends without a veto") {
    fleet.Decide("a1", true, {"10-base.json"});
    fleet.Submit("c2",
                 {{"00-w.json", R"({"fleet": {"review": "window", "review_window_s": 60}})"}});
    fleet.Decide("a2", true, {"00-w.json"});
    fleet.Submit("c3", {{"20-t.json", R"({"teams": {"dyers": {"limit": 5}}})"}});
    fleet.wall += 59'000;
    fleet.Execute(ActivateDueFiles{});
    CHECK(state.config.teams.at("dyers").limit == 10);
    fleet.wall += 1'000;
    fleet.Execute(ActivateDueFiles{});
    CHECK(state.config.teams.at("dyers").limit == 5);
    CHECK(state.history.back().action == "lapse");
  }
  // Guards against pending files that stay blocked after the reason has disappeared.
  SECTION("submitting the content in force withdraws the pending change of a file") {
    fleet.Decide("a1", true, {"10-base.json"});
    fleet.Submit("c2", {{"20-t.json", R"({"teams": {"weavers": {}}})"}});
    const std::string queue = R"({"queues": {"orders": {"teams": ["weavers"]}}})";
    REQUIRE(fleet.Submit("c3", {{"30-q.json", queue}}).ok());
    REQUIRE(fleet.Decide("a2", true, {"20-t.json"}).ok());
    REQUIRE(fleet.Submit("c4", {{"20-t.json", "{}"}}).ok());
    REQUIRE(fleet.Submit("c5", {{"20-t.json", state.files.at("20-t.json")}}).ok());
    CHECK(state.pending.count("20-t.json") == 0);
    CHECK(state.pending.at("30-q.json").state == ReviewState::kPending);
    CHECK(fleet.Submit("c6", {{"20-t.json", state.files.at("20-t.json")}}).message ==
          "nothing changes");
  }
  SECTION("invalid files are refused with all errors and change nothing") {
    const ApplyResult bad = fleet.Submit("c2", {{"20-t.json", R"({"teams": {"x": {"limt": 5}}})"}});
    CHECK(bad.code == ResultCode::kInvalid);
    CHECK(bad.errors.front().file == "20-t.json");
    CHECK(fleet.Submit("c3", {{"../x.json", "{}"}}).code == ResultCode::kInvalid);
    CHECK(fleet.Submit("c4", {{"none.json", std::nullopt}}).code == ResultCode::kNotFound);
    CHECK(state.revision == 1);
    CHECK(state.pending.size() == 1);
  }
}

TEST_CASE("the fleet state is reconciled with the configuration") {
  FleetFixture fleet;
  fleet.SetUp();
  const auto change = [&](const std::string& text) {
    const std::string id = std::to_string(fleet.index);
    REQUIRE(fleet.Submit("c" + id, {{"20-more.json", text}}).ok());
    return fleet.Decide("a" + id, true, {"20-more.json"});
  };
  // Guards against a new VM that counts as available before it was seen ready, and against the loss
  // of the operation in progress on a removed VM.
  SECTION("new VMs are added, and removed VMs are dropped once they have no operation") {
    REQUIRE(fleet.Start("q3", {.id = "o1", .kind = VmOperationKind::kReboot}).ok());
    REQUIRE(change(R"({"vms": {"q3": null, "n1": null, "q5": {"pool": "quoting", "zone": "c"}}})")
                .ok());
    CHECK_FALSE(fleet.state.vms.at("q5").healthy);
    CHECK(fleet.state.vms.count("n1") == 0);
    REQUIRE(fleet.state.vms.count("q3") == 1);
    fleet.Complete("q3");
    CHECK(fleet.state.vms.count("q3") == 0);
  }
  SECTION("a changed pool of a VM takes effect by a planned move only") {
    REQUIRE(change(R"({"vms": {"q3": {"pool": "notice"}}})").ok());
    CHECK(fleet.state.vms.at("q3").pool == "quoting");
  }
  SECTION("a pool that still has VMs cannot be removed") {
    const std::string removal =
        R"({"pools": {"notice": null}, "vms": {"n1": {"pool": "quoting"}}})";
    CHECK(fleet.Submit("c9", {{"20-more.json", removal}}).code == ResultCode::kInvalid);
    // The pool may be removed together with its VMs. If it is added again, its epoch continues.
    REQUIRE(change(R"({"pools": {"notice": null}, "vms": {"n1": null}})").ok());
    CHECK(fleet.state.owners.at("notice").owner.empty());
    CHECK(fleet.Execute(AssignPool{"notice", "n2-0a", 2}).code == ResultCode::kNotFound);
    REQUIRE(change("{}").ok());
    CHECK(fleet.Execute(AssignPool{"notice", "n2-0a", 1}).code == ResultCode::kConflict);
    CHECK(fleet.Execute(AssignPool{"notice", "n2-0a", 2}).ok());
  }
}

TEST_CASE("non-idempotent requests are claimed") {
  FleetFixture fleet;
  fleet.SetUp();
  REQUIRE(fleet.Claim("r1", "a1").claimed == std::vector<bool>{true});
  // Guards against a non-idempotent request that runs twice.
  SECTION("one attempt holds the claim and may repeat it") {
    CHECK(fleet.Claim("r1", "a1").claimed == std::vector<bool>{true});
    const ApplyResult other = fleet.Claim("r1", "a2");
    CHECK(other.claimed == std::vector<bool>{false});
    CHECK(other.claims == std::vector<ClaimState>{ClaimState::kRunning});
    CHECK(fleet.Claim("r2", "a2", 2).code == ResultCode::kConflict);
    CHECK(fleet.Claim("r2", "a2", 1, "n2-0a").code == ResultCode::kConflict);
  }
  SECTION("a request that did not run may be claimed again, one that ran may not") {
    fleet.Execute(ClaimEnds{{{"orders", "r1", "a1", ClaimState::kNotRun}}});
    CHECK(fleet.Claim("r1", "a2").claimed == std::vector<bool>{true});
    fleet.Execute(ClaimEnds{{{"orders", "r1", "a1", ClaimState::kDone}}});
    CHECK(fleet.state.claims.at("orders:r1").state == ClaimState::kRunning);
    fleet.Execute(ClaimEnds{{{"orders", "r1", "a2", ClaimState::kDone}}});
    CHECK(fleet.Claim("r1", "a3").claimed == std::vector<bool>{false});
  }
  SECTION("claims become unknown when the owner's lease expires, and its epoch can claim no more") {
    fleet.Execute(NodeLeaseExpired{"n1-0a"});
    CHECK(fleet.Claim("r2", "a1").code == ResultCode::kConflict);
    REQUIRE(fleet.Execute(AssignPool{"quoting", "n2-0a", 2}).ok());
    CHECK(fleet.Claim("r1", "a1", 2, "n2-0a").claims ==
          std::vector<ClaimState>{ClaimState::kUnknown});
    fleet.Execute(ClaimEnds{{{"orders", "r1", "a1", ClaimState::kNotRun}}});
    CHECK(fleet.state.claims.at("orders:r1").state == ClaimState::kUnknown);
  }
  SECTION("a full claim table refuses claims as not run until the retention time has passed") {
    fleet.Claim("r2", "a2");
    fleet.Claim("r3", "a3");
    const ApplyResult full = fleet.Claim("r4", "a4");
    CHECK(full.code == ResultCode::kFull);
    CHECK(full.claimed == std::vector<bool>{false});
    const WallMs old = fleet.wall;
    fleet.wall += 121'000;
    CHECK(fleet.Claim("r4", "a4").claimed == std::vector<bool>{true});
    CHECK(fleet.state.claims.size() == 1);
    const ApplyResult late =
        fleet.Execute(ClaimBatch{"quoting", 1, "n1-0a", {{"orders", "r1", "a9", old}}});
    CHECK(late.claimed == std::vector<bool>{false});
    CHECK(late.claims == std::vector<ClaimState>{ClaimState::kUnknown});
    const ApplyResult from_future = fleet.Execute(
        ClaimBatch{"quoting", 1, "n1-0a", {{"orders", "r5", "a9", fleet.wall + 60'001}}});
    CHECK(from_future.claims == std::vector<ClaimState>{ClaimState::kNotRun});
  }
}

TEST_CASE("a pool changes its owner in two steps") {
  FleetFixture fleet;
  fleet.SetUp();
  CHECK(fleet.Execute(AssignPool{"quoting", "n2-0a", 2}).code == ResultCode::kConflict);
  CHECK(fleet.Execute(ReleasePool{"quoting", 7}).code == ResultCode::kConflict);
  REQUIRE(fleet.Execute(ReleasePool{"quoting", 1}).ok());
  CHECK(fleet.state.owners.at("quoting").released_by == "n1-0a");
  CHECK(fleet.state.owners.at("quoting").release_index == fleet.index);
  CHECK(fleet.Claim("r1", "a1").code == ResultCode::kConflict);
  REQUIRE(fleet.Execute(AssignPool{"quoting", "n2-0a", 2}).ok());
  CHECK(fleet.Execute(AssignPool{"quoting", "n2-0a", 2}).code == ResultCode::kConflict);
  // Guards against an incarnation that returns after its claims have become unknown.
  SECTION("an incarnation whose lease has expired cannot rejoin, even after its removal") {
    fleet.Execute(NodeLeaseExpired{"n2-0a"});
    CHECK(fleet.Execute(NodeJoined{"n2-0a", {.node = "n2"}}).code == ResultCode::kConflict);
    CHECK(fleet.Execute(AssignPool{"quoting", "n2-0a", 3}).code == ResultCode::kConflict);
    REQUIRE(fleet.Execute(NodeRemoved{"n2-0a"}).ok());
    CHECK(fleet.Execute(NodeJoined{"n2-0a", {.node = "n2"}}).code == ResultCode::kConflict);
    CHECK(fleet.Execute(NodeJoined{"n2-0b", {.node = "n2"}}).ok());
    CHECK(fleet.Execute(AssignPool{"quoting", "n2-0b", 3}).ok());
  }
}

TEST_CASE("a team's limit is divided between nodes") {
  FleetFixture fleet;
  fleet.SetUp();
  const auto set = [&](const Incarnation& node, int granted, int target) {
    fleet.Execute(SetAllotments{{{"dyers", node, granted, target}}});
    const auto& allotments = fleet.state.allotments["dyers"];
    const auto it = allotments.find(node);
    return it == allotments.end() ? 0 : it->second.granted;
  };
  CHECK(set("n1-0a", 6, 6) == 6);
  CHECK(set("n2-0a", 5, 5) == 0);
  CHECK(set("n2-0a", 4, 4) == 4);
  CHECK(set("unknown", 0, 1) == 0);
  SECTION("a reduction lowers the target first") {
    CHECK(set("n1-0a", 2, 2) == 6);
    CHECK(set("n1-0a", 6, 2) == 6);
    CHECK(fleet.state.allotments["dyers"]["n1-0a"].target_index == fleet.index);
    CHECK(set("n1-0a", 1, 1) == 6);
    CHECK(set("n1-0a", 2, 2) == 2);
    CHECK(set("n2-0a", 8, 8) == 8);
  }
  SECTION("allotments of a node with an expired lease count until it is removed") {
    fleet.Execute(NodeLeaseExpired{"n1-0a"});
    CHECK(set("n1-0a", 7, 7) == 6);
    CHECK(set("n2-0a", 10, 10) == 4);
    fleet.Execute(NodeRemoved{"n1-0a"});
    CHECK(set("n2-0a", 10, 10) == 10);
  }
  SECTION("while the sum exceeds a lowered limit, it may only decrease") {
    fleet.Submit("c9", {{"20-t.json", R"({"teams": {"dyers": {"limit": 3}}})"}});
    fleet.Decide("a9", true, {"20-t.json"});
    CHECK(fleet.state.over_limit.at("dyers") == 10);
    CHECK(set("n1-0a", 7, 7) == 6);
    set("n1-0a", 6, 1);
    CHECK(set("n1-0a", 1, 1) == 1);
    CHECK(fleet.state.over_limit.at("dyers") == 5);
    set("n2-0a", 4, 2);
    CHECK(set("n2-0a", 2, 2) == 2);
    CHECK(fleet.state.over_limit.empty());
  }
}

TEST_CASE("planned work on VMs") {
  FleetFixture fleet;
  fleet.SetUp();
  const FleetState& state = fleet.state;
  const VmOperation reboot{.id = "o1", .kind = VmOperationKind::kReboot};
  REQUIRE(fleet.Start("q2", reboot).ok());
  SECTION("one operation per VM, one availability zone at a time") {
    CHECK(fleet.Start("q2", reboot).code == ResultCode::kConflict);
    CHECK(fleet.Start("q1", {.id = "o2"}).message.find("availability zone b") != std::string::npos);
    CHECK(fleet.Start("q3", {.id = "o2"}).ok());
  }
  SECTION("unplanned losses count for the budget before the start and before the stop") {
    fleet.Execute(SetVmHealth{"q1", false});
    CHECK(fleet.Start("q3", {.id = "o2"}).code == ResultCode::kConflict);
    fleet.Execute(SetVmHealth{"q3", false});
    CHECK(fleet.Advance("q2", VmPhase::kDraining, VmPhase::kStopping).code ==
          ResultCode::kConflict);
    REQUIRE(fleet.Execute(FinishVmOperation{.vm = "q2", .operation_id = "o1", .succeeded = false})
                .ok());
    CHECK(AvailableVms(state, "quoting") == 1);
  }
  SECTION("phases follow in order, and a failed operation gets a second attempt") {
    CHECK(fleet.Advance("q2", VmPhase::kDraining, VmPhase::kVerifying).code ==
          ResultCode::kInvalid);
    CHECK(fleet.Advance("q2", VmPhase::kStopping, VmPhase::kVerifying).code ==
          ResultCode::kConflict);
    REQUIRE(fleet.Advance("q2", VmPhase::kDraining, VmPhase::kStopping).ok());
    REQUIRE(fleet.Advance("q2", VmPhase::kStopping, VmPhase::kFailed).ok());
    REQUIRE(fleet.Advance("q2", VmPhase::kFailed, VmPhase::kDraining).ok());
    CHECK(fleet.Id("q2") == "o1-retry");
    fleet.Complete("q2");
    CHECK(AvailableVms(state, "quoting") == 3);
  }
  SECTION("a VM changes its pool when the platform has moved it") {
    REQUIRE(
        fleet.Start("q3", {.id = "m", .kind = VmOperationKind::kMove, .target = "notice"}).ok());
    CHECK(fleet.state.vms.at("q3").pool == "quoting");
    fleet.Complete("q3");
    CHECK(fleet.state.vms.at("q3").pool == "notice");
    CHECK(fleet.Start("n1", {.id = "m2", .kind = VmOperationKind::kMove, .target = "none"}).code ==
          ResultCode::kInvalid);
  }
  SECTION("a drain by an operator lasts until the undrain, and a resent drain changes nothing") {
    fleet.Complete("q2");
    const StartVmOperation drain{"d1", "q1", {.id = "d1", .kind = VmOperationKind::kDrain}};
    REQUIRE(fleet.Execute(drain).ok());
    REQUIRE(fleet.Advance("q1", VmPhase::kDraining, VmPhase::kDrained).ok());
    CHECK(fleet.Start("q2", {.id = "o2"}).ok());
    REQUIRE(
        fleet.Execute(FinishVmOperation{.change_id = "u1", .vm = "q1", .operation_id = "d1"}).ok());
    CHECK(fleet.Execute(drain).ok());
    CHECK_FALSE(state.vms.at("q1").operation);
  }
}

TEST_CASE("a wave records the progress of its VMs") {
  FleetFixture fleet;
  fleet.SetUp();
  const auto control = [&](WaveAction action) {
    return fleet.Execute(ControlWave{"", "monthly", action});
  };
  const WaveRecord& wave = fleet.state.waves["monthly"];
  REQUIRE(control(WaveAction::kStart).ok());
  CHECK(wave.remaining == std::set<VmId>{"q1", "q2", "q3"});
  CHECK(control(WaveAction::kStart).code == ResultCode::kConflict);
  const auto start = [&](const VmId& vm) {
    return fleet.Start(vm, {.id = "w-" + vm, .kind = VmOperationKind::kReboot, .wave = "monthly"});
  };
  REQUIRE(start("q1").ok());
  fleet.Complete("q1");
  CHECK(start("q1").code == ResultCode::kConflict);
  SECTION("a wave ends when every VM is done or has failed for good") {
    REQUIRE(start("q2").ok());
    fleet.Complete("q2");
    REQUIRE(start("q3").ok());
    fleet.Advance("q3", VmPhase::kDraining, VmPhase::kStopping);
    fleet.Advance("q3", VmPhase::kStopping, VmPhase::kFailed);
    CHECK(WaveFailures(fleet.state, "monthly") == std::set<VmId>{"q3"});
    REQUIRE(fleet.Execute(FinishVmOperation{.vm = "q3", .operation_id = "w-q3", .succeeded = false})
                .ok());
    CHECK(wave.state == WaveState::kDone);
    CHECK(wave.failed == std::set<VmId>{"q3"});
    CHECK(control(WaveAction::kResume).code == ResultCode::kConflict);
    CHECK(control(WaveAction::kStart).ok());
    CHECK(wave.run_number == 2);
  }
  SECTION("a paused wave starts nothing, and a resume accepts the failures so far") {
    fleet.Execute(SetVmHealth{"q1", false});
    CHECK(WaveFailures(fleet.state, "monthly").size() == 1);
    REQUIRE(control(WaveAction::kPause).ok());
    CHECK(start("q2").code == ResultCode::kConflict);
    REQUIRE(control(WaveAction::kResume).ok());
    CHECK(WaveFailures(fleet.state, "monthly").empty());
    CHECK(start("q2").ok());
  }
  SECTION("a wave that is removed from the configuration is cancelled with that reason") {
    fleet.Submit("c9", {{"20-w.json", R"({"waves": {"monthly": null}})"}});
    fleet.Decide("a9", true, {"20-w.json"});
    CHECK(wave.state == WaveState::kCancelled);
    CHECK(wave.reason == "removed from the configuration");
  }
}

TEST_CASE("API keys are granted and revoked") {
  FleetFixture fleet;
  fleet.SetUp();
  const KeyRecord key{
      .id = "k1", .role = KeyRole::kTeam, .team = "dyers", .hash = std::string(32, 'h')};
  REQUIRE(fleet.Execute(GrantKey{"g1", key}).ok());
  CHECK(fleet.state.keys_version == 1);
  CHECK(fleet.Execute(GrantKey{"g2", {.id = "k2", .team = "none", .hash = key.hash}}).code ==
        ResultCode::kNotFound);
  CHECK(fleet.Execute(GrantKey{"g3", {.id = "k3", .hash = key.hash}}).code == ResultCode::kInvalid);
  REQUIRE(fleet.Execute(RevokeKey{"w1", "k1"}).ok());
  // A grant that is sent again after the revocation must not restore the key.
  CHECK(fleet.Execute(GrantKey{"g1", key}).ok());
  CHECK(fleet.state.keys.empty());
  CHECK(fleet.Execute(RevokeKey{"w2", "k1"}).code == ResultCode::kNotFound);
}

// Guards against a field that is missing from the encoded state.
TEST_CASE("a snapshot contains the whole state") {
  FleetFixture fleet;
  fleet.SetUp();
  fleet.Claim("r1", "a1");
  fleet.Execute(SetAllotments{{{"dyers", "n1-0a", 6, 6}}});
  fleet.Execute(ControlWave{"w", "monthly", WaveAction::kStart});
  fleet.Start("q1", {.id = "w-q1", .wave = "monthly"});
  fleet.Submit("c8", {{"20-t.json", R"({"teams": {"dyers": {"limit": 3}}})"}});
  fleet.Decide("a8", true, {"20-t.json"});
  fleet.Submit("c9", {{"30-t.json", std::string("{}")}});
  fleet.Execute(NodeLeaseExpired{"n2-0a"});
  fleet.Execute(NodeRemoved{"n2-0a"});
  const std::string bytes = Encode(fleet.state);
  auto restored = Decode<FleetState>(bytes);
  CHECK(Encode(restored) == bytes);
  // The next command has the same effect on both states.
  const Command next{fleet.wall, AdvanceVmOperation{.vm = "q1", .operation_id = "w-q1"}};
  CHECK(Apply(restored, 99, next).ok());
  CHECK(Apply(fleet.state, 99, next).ok());
  CHECK(Encode(restored) == Encode(fleet.state));
}

}  // namespace
}  // namespace godwitpaddle

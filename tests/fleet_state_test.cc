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

/// A state with the commands applied so far; every step must keep the invariants.
struct Story {
  FleetState state;
  std::uint64_t index = 0;
  WallMs wall = kStart;

  ApplyResult Do(CommandBody body) {
    const Command command{.wall = wall, .body = std::move(body)};
    ApplyResult result = Apply(state, ++index, command);
    CHECK(FindViolationAfter(state, command) == std::nullopt);
    CHECK(FindViolation(state) == std::nullopt);
    return result;
  }
  ApplyResult Submit(const std::string& id,
                     std::map<std::string, std::optional<std::string>> files) {
    return Do(SubmitConfig{id, state.revision, "op", std::move(files)});
  }
  ApplyResult Decide(const std::string& id, bool approve, std::vector<std::string> files) {
    return Do(DecideReview{id, "customer", approve, std::move(files)});
  }
  /// The base configuration in force, all VMs healthy, nodes n1 and n2 up, n1 owning both pools.
  Story& Ready() {
    REQUIRE(Submit("base", {{"10-base.json", kBase}}).ok());
    REQUIRE(Decide("base-ok", true, {"10-base.json"}).ok());
    for (const char* vm : {"q1", "q2", "q3", "n1"}) Do(SetVmHealth{vm, true});
    for (const char* node : {"n1", "n2"}) Do(NodeUp{std::string(node) + "-0a", {.node = node}});
    for (const char* pool : {"quoting", "notice"}) REQUIRE(Do(AssignPool{pool, "n1-0a", 1}).ok());
    return *this;
  }
  ApplyResult Claim(const std::string& id, const std::string& attempt, std::uint64_t epoch = 1,
                    const Incarnation& owner = "n1-0a") {
    return Do(ClaimBatch{"quoting", epoch, owner, {{"orders", id, attempt, wall}}});
  }
  ApplyResult Start(const VmId& vm, VmOperation operation) {
    return Do(StartVmOperation{.vm = vm, .operation = std::move(operation)});
  }
  ApplyResult Advance(const VmId& vm, VmPhase from, VmPhase to) {
    return Do(AdvanceVmOperation{.vm = vm, .operation_id = Id(vm), .from = from, .to = to});
  }
  std::string Id(const VmId& vm) const {
    const auto& operation = state.vms.at(vm).operation;
    return operation ? operation->id : "";
  }
  /// Takes a started operation to its end.
  void Complete(const VmId& vm) {
    REQUIRE(Advance(vm, VmPhase::kDraining, VmPhase::kStopping).ok());
    REQUIRE(Advance(vm, VmPhase::kStopping, VmPhase::kVerifying).ok());
    REQUIRE(Advance(vm, VmPhase::kVerifying, VmPhase::kHoldDown).ok());
    REQUIRE(Do(FinishVmOperation{.vm = vm, .operation_id = Id(vm)}).ok());
  }
};

TEST_CASE("a change of configuration is reviewed") {
  Story story;
  REQUIRE(story.Submit("c1", {{"10-base.json", kBase}}).ok());
  const FleetState& state = story.state;
  CHECK(state.revision == 1);
  CHECK(state.in_force == 0);
  CHECK(state.vms.empty());

  SECTION("racing operators conflict, and a resent command gets the first answer") {
    const ApplyResult lost = story.Do(SubmitConfig{"c2", 0, "other", {{"20-x.json", "{}"}}});
    CHECK(lost.code == ResultCode::kConflict);
    story.Submit("c3", {{"20-x.json", "{}"}});
    const ApplyResult again = story.Do(SubmitConfig{"c1", 0, "op", {{"10-base.json", kBase}}});
    CHECK(again.ok());
    CHECK(again.revision == 1);
    CHECK(story.Do(SubmitConfig{"c2", 2, "other", {}}).code == ResultCode::kConflict);
    CHECK(state.revision == 2);
  }
  SECTION("approval puts it in force, and both counters only grow") {
    const ApplyResult approved = story.Decide("a1", true, {"10-base.json"});
    REQUIRE(approved.ok());
    CHECK(approved.in_force == 1);
    CHECK(state.in_force_index == story.index);
    CHECK(state.vms.at("q1").pool == "quoting");
    CHECK(story.Decide("a2", true, {"10-base.json"}).code == ResultCode::kNotFound);
    CHECK(state.in_force == 1);
  }
  SECTION("a vetoed file never takes effect, and what needs it is blocked with the reason") {
    REQUIRE(
        story.Submit("c2", {{"20-v.json", R"({"vms": {"q4": {"pool": "quoting", "zone": "c"}}})"}})
            .ok());
    REQUIRE(story.Decide("v1", false, {"10-base.json"}).ok());
    CHECK(state.pending.at("20-v.json").state == ReviewState::kBlocked);
    CHECK(state.pending.at("20-v.json").reason.find("no pool") != std::string::npos);
    CHECK(story.Decide("a1", true, {"20-v.json"}).code == ResultCode::kInvalid);
    CHECK(state.files.empty());
    SECTION("and is free again when the file it needs is submitted again") {
      story.Submit("c3", {{"10-base.json", kBase}});
      CHECK(state.pending.at("20-v.json").state == ReviewState::kPending);
      CHECK(story.Decide("a3", true, {"20-v.json"}).code == ResultCode::kInvalid);
      CHECK(story.Decide("a4", true, {"20-v.json", "10-base.json"}).ok());
      CHECK(state.vms.count("q4") == 1);
    }
  }
  SECTION("a later submission of the file replaces the pending one and starts its review anew") {
    story.wall += 1000;
    std::string other = kBase;
    other.replace(other.find("\"limit\": 10"), 11, "\"limit\": 20");
    REQUIRE(story.Submit("c2", {{"10-base.json", other}}).ok());
    CHECK(state.pending.at("10-base.json").submitted == story.wall);
    story.Decide("a1", true, {"10-base.json"});
    CHECK(state.config.teams.at("dyers").limit == 20);
  }
  SECTION("files take effect when the window lapses without a veto") {
    story.Decide("a1", true, {"10-base.json"});
    story.Submit("c2",
                 {{"00-w.json", R"({"fleet": {"review": "window", "review_window_s": 60}})"}});
    story.Decide("a2", true, {"00-w.json"});
    story.Submit("c3", {{"20-t.json", R"({"teams": {"dyers": {"limit": 5}}})"}});
    story.wall += 59'000;
    story.Do(LapseReviews{});
    CHECK(state.config.teams.at("dyers").limit == 10);
    story.wall += 1'000;
    story.Do(LapseReviews{});
    CHECK(state.config.teams.at("dyers").limit == 5);
    CHECK(state.history.back().action == "lapse");
  }
  // Guards against pending files that keep an outdated verdict.
  SECTION("a file submitted as it is in force withdraws its pending change") {
    story.Decide("a1", true, {"10-base.json"});
    story.Submit("c2", {{"20-t.json", R"({"teams": {"weavers": {}}})"}});
    const std::string queue = R"({"queues": {"orders": {"teams": ["weavers"]}}})";
    REQUIRE(story.Submit("c3", {{"30-q.json", queue}}).ok());
    REQUIRE(story.Decide("a2", true, {"20-t.json"}).ok());
    REQUIRE(story.Submit("c4", {{"20-t.json", "{}"}}).ok());
    REQUIRE(story.Submit("c5", {{"20-t.json", state.files.at("20-t.json")}}).ok());
    CHECK(state.pending.count("20-t.json") == 0);
    CHECK(state.pending.at("30-q.json").state == ReviewState::kPending);
    CHECK(story.Submit("c6", {{"20-t.json", state.files.at("20-t.json")}}).message ==
          "nothing changes");
  }
  SECTION("invalid files are refused with every reason and change nothing") {
    const ApplyResult bad = story.Submit("c2", {{"20-t.json", R"({"teams": {"x": {"limt": 5}}})"}});
    CHECK(bad.code == ResultCode::kInvalid);
    CHECK(bad.errors.front().file == "20-t.json");
    CHECK(story.Submit("c3", {{"../x.json", "{}"}}).code == ResultCode::kInvalid);
    CHECK(story.Submit("c4", {{"none.json", std::nullopt}}).code == ResultCode::kNotFound);
    CHECK(state.revision == 1);
    CHECK(state.pending.size() == 1);
  }
}

TEST_CASE("the fleet follows the configuration") {
  Story story;
  story.Ready();
  const auto change = [&](const std::string& text) {
    const std::string id = std::to_string(story.index);
    REQUIRE(story.Submit("c" + id, {{"20-more.json", text}}).ok());
    return story.Decide("a" + id, true, {"20-more.json"});
  };
  // Guards against a VM that counts before it was seen, or is lost with its operation.
  SECTION("VMs appear, and go once they have no operation") {
    REQUIRE(story.Start("q3", {.id = "o1", .kind = VmOperationKind::kReboot}).ok());
    REQUIRE(change(R"({"vms": {"q3": null, "n1": null, "q5": {"pool": "quoting", "zone": "c"}}})")
                .ok());
    CHECK_FALSE(story.state.vms.at("q5").healthy);
    CHECK(story.state.vms.count("n1") == 0);
    REQUIRE(story.state.vms.count("q3") == 1);
    story.Complete("q3");
    CHECK(story.state.vms.count("q3") == 0);
  }
  SECTION("a changed pool is a move to be planned") {
    REQUIRE(change(R"({"vms": {"q3": {"pool": "notice"}}})").ok());
    CHECK(story.state.vms.at("q3").pool == "quoting");
  }
  SECTION("a pool that still holds VMs cannot be removed") {
    const std::string removal =
        R"({"pools": {"notice": null}, "vms": {"n1": {"pool": "quoting"}}})";
    CHECK(story.Submit("c9", {{"20-more.json", removal}}).code == ResultCode::kInvalid);
    // The same removal is fine when its VMs go as well; a returning pool gets a new epoch.
    REQUIRE(change(R"({"pools": {"notice": null}, "vms": {"n1": null}})").ok());
    CHECK(story.state.owners.at("notice").owner.empty());
    CHECK(story.Do(AssignPool{"notice", "n2-0a", 2}).code == ResultCode::kNotFound);
    REQUIRE(change("{}").ok());
    CHECK(story.Do(AssignPool{"notice", "n2-0a", 1}).code == ResultCode::kConflict);
    CHECK(story.Do(AssignPool{"notice", "n2-0a", 2}).ok());
  }
}

TEST_CASE("non-idempotent requests are claimed") {
  Story story;
  story.Ready();
  REQUIRE(story.Claim("r1", "a1").claimed == std::vector<bool>{true});
  // Guards against a request that runs twice.
  SECTION("one attempt holds the claim and may repeat it") {
    CHECK(story.Claim("r1", "a1").claimed == std::vector<bool>{true});
    const ApplyResult other = story.Claim("r1", "a2");
    CHECK(other.claimed == std::vector<bool>{false});
    CHECK(other.claims == std::vector<ClaimState>{ClaimState::kRunning});
    CHECK(story.Claim("r2", "a2", 2).code == ResultCode::kConflict);
    CHECK(story.Claim("r2", "a2", 1, "n2-0a").code == ResultCode::kConflict);
  }
  SECTION("a claim that did not run may be claimed again, one that ran may not") {
    story.Do(ClaimEnds{{{"orders", "r1", "a1", ClaimState::kNotRun}}});
    CHECK(story.Claim("r1", "a2").claimed == std::vector<bool>{true});
    story.Do(ClaimEnds{{{"orders", "r1", "a1", ClaimState::kDone}}});
    CHECK(story.state.claims.at("orders:r1").state == ClaimState::kRunning);
    story.Do(ClaimEnds{{{"orders", "r1", "a2", ClaimState::kDone}}});
    CHECK(story.Claim("r1", "a3").claimed == std::vector<bool>{false});
  }
  SECTION("claims of a lapsed owner become unknown, and the old epoch claims no more") {
    story.Do(NodeLapsed{"n1-0a"});
    CHECK(story.Claim("r2", "a1").code == ResultCode::kConflict);
    REQUIRE(story.Do(AssignPool{"quoting", "n2-0a", 2}).ok());
    CHECK(story.Claim("r1", "a1", 2, "n2-0a").claims ==
          std::vector<ClaimState>{ClaimState::kUnknown});
    story.Do(ClaimEnds{{{"orders", "r1", "a1", ClaimState::kNotRun}}});
    CHECK(story.state.claims.at("orders:r1").state == ClaimState::kUnknown);
  }
  SECTION("a full table refuses, not run; the retention window makes room") {
    story.Claim("r2", "a2");
    story.Claim("r3", "a3");
    const ApplyResult full = story.Claim("r4", "a4");
    CHECK(full.code == ResultCode::kFull);
    CHECK(full.claimed == std::vector<bool>{false});
    const WallMs old = story.wall;
    story.wall += 121'000;
    CHECK(story.Claim("r4", "a4").claimed == std::vector<bool>{true});
    CHECK(story.state.claims.size() == 1);
    const ApplyResult late =
        story.Do(ClaimBatch{"quoting", 1, "n1-0a", {{"orders", "r1", "a9", old}}});
    CHECK(late.claimed == std::vector<bool>{false});
    CHECK(late.claims == std::vector<ClaimState>{ClaimState::kUnknown});
    const ApplyResult ahead =
        story.Do(ClaimBatch{"quoting", 1, "n1-0a", {{"orders", "r5", "a9", story.wall + 60'001}}});
    CHECK(ahead.claims == std::vector<ClaimState>{ClaimState::kNotRun});
  }
}

TEST_CASE("a pool changes its owner in two steps") {
  Story story;
  story.Ready();
  CHECK(story.Do(AssignPool{"quoting", "n2-0a", 2}).code == ResultCode::kConflict);
  CHECK(story.Do(ReleasePool{"quoting", 7}).code == ResultCode::kConflict);
  REQUIRE(story.Do(ReleasePool{"quoting", 1}).ok());
  CHECK(story.state.owners.at("quoting").released_by == "n1-0a");
  CHECK(story.state.owners.at("quoting").release_index == story.index);
  CHECK(story.Claim("r1", "a1").code == ResultCode::kConflict);
  REQUIRE(story.Do(AssignPool{"quoting", "n2-0a", 2}).ok());
  CHECK(story.Do(AssignPool{"quoting", "n2-0a", 2}).code == ResultCode::kConflict);
  // Guards against an incarnation that returns after its claims became unknown.
  SECTION("a lapsed life stays lapsed, even after it was freed") {
    story.Do(NodeLapsed{"n2-0a"});
    CHECK(story.Do(NodeUp{"n2-0a", {.node = "n2"}}).code == ResultCode::kConflict);
    CHECK(story.Do(AssignPool{"quoting", "n2-0a", 3}).code == ResultCode::kConflict);
    REQUIRE(story.Do(NodeFreed{"n2-0a"}).ok());
    CHECK(story.Do(NodeUp{"n2-0a", {.node = "n2"}}).code == ResultCode::kConflict);
    CHECK(story.Do(NodeUp{"n2-0b", {.node = "n2"}}).ok());
    CHECK(story.Do(AssignPool{"quoting", "n2-0b", 3}).ok());
  }
}

TEST_CASE("a team's limit is divided over nodes") {
  Story story;
  story.Ready();
  const auto set = [&](const Incarnation& node, int granted, int target) {
    story.Do(SetAllotments{{{"dyers", node, granted, target}}});
    const auto& held = story.state.allotments["dyers"];
    const auto it = held.find(node);
    return it == held.end() ? 0 : it->second.granted;
  };
  CHECK(set("n1-0a", 6, 6) == 6);
  CHECK(set("n2-0a", 5, 5) == 0);
  CHECK(set("n2-0a", 4, 4) == 4);
  CHECK(set("unknown", 0, 1) == 0);
  SECTION("a cut lowers the target first") {
    CHECK(set("n1-0a", 2, 2) == 6);
    CHECK(set("n1-0a", 6, 2) == 6);
    CHECK(story.state.allotments["dyers"]["n1-0a"].target_index == story.index);
    CHECK(set("n1-0a", 1, 1) == 6);
    CHECK(set("n1-0a", 2, 2) == 2);
    CHECK(set("n2-0a", 8, 8) == 8);
  }
  SECTION("allotments of a lapsed node count until it is freed") {
    story.Do(NodeLapsed{"n1-0a"});
    CHECK(set("n1-0a", 7, 7) == 6);
    CHECK(set("n2-0a", 10, 10) == 4);
    story.Do(NodeFreed{"n1-0a"});
    CHECK(set("n2-0a", 10, 10) == 10);
  }
  SECTION("a lowered limit lets the sum only fall") {
    story.Submit("c9", {{"20-t.json", R"({"teams": {"dyers": {"limit": 3}}})"}});
    story.Decide("a9", true, {"20-t.json"});
    CHECK(story.state.over_limit.at("dyers") == 10);
    CHECK(set("n1-0a", 7, 7) == 6);
    set("n1-0a", 6, 1);
    CHECK(set("n1-0a", 1, 1) == 1);
    CHECK(story.state.over_limit.at("dyers") == 5);
    set("n2-0a", 4, 2);
    CHECK(set("n2-0a", 2, 2) == 2);
    CHECK(story.state.over_limit.empty());
  }
}

TEST_CASE("planned work on VMs") {
  Story story;
  story.Ready();
  const FleetState& state = story.state;
  const VmOperation reboot{.id = "o1", .kind = VmOperationKind::kReboot};
  REQUIRE(story.Start("q2", reboot).ok());
  SECTION("one operation per VM, one availability zone at a time") {
    CHECK(story.Start("q2", reboot).code == ResultCode::kConflict);
    CHECK(story.Start("q1", {.id = "o2"}).message.find("availability zone b") != std::string::npos);
    CHECK(story.Start("q3", {.id = "o2"}).ok());
  }
  SECTION("unplanned losses count for the budget at the start and before the stop") {
    story.Do(SetVmHealth{"q1", false});
    CHECK(story.Start("q3", {.id = "o2"}).code == ResultCode::kConflict);
    story.Do(SetVmHealth{"q3", false});
    CHECK(story.Advance("q2", VmPhase::kDraining, VmPhase::kStopping).code ==
          ResultCode::kConflict);
    REQUIRE(story.Do(FinishVmOperation{.vm = "q2", .operation_id = "o1", .succeeded = false}).ok());
    CHECK(AvailableVms(state, "quoting") == 1);
  }
  SECTION("steps in order only, and a second attempt after a failure") {
    CHECK(story.Advance("q2", VmPhase::kDraining, VmPhase::kVerifying).code ==
          ResultCode::kInvalid);
    CHECK(story.Advance("q2", VmPhase::kStopping, VmPhase::kVerifying).code ==
          ResultCode::kConflict);
    REQUIRE(story.Advance("q2", VmPhase::kDraining, VmPhase::kStopping).ok());
    REQUIRE(story.Advance("q2", VmPhase::kStopping, VmPhase::kFailed).ok());
    REQUIRE(story.Advance("q2", VmPhase::kFailed, VmPhase::kDraining).ok());
    CHECK(story.Id("q2") == "o1-retry");
    story.Complete("q2");
    CHECK(AvailableVms(state, "quoting") == 3);
  }
  SECTION("a move leaves its pool for good when the platform is done") {
    REQUIRE(
        story.Start("q3", {.id = "m", .kind = VmOperationKind::kMove, .target = "notice"}).ok());
    CHECK(story.state.vms.at("q3").pool == "quoting");
    story.Complete("q3");
    CHECK(story.state.vms.at("q3").pool == "notice");
    CHECK(story.Start("n1", {.id = "m2", .kind = VmOperationKind::kMove, .target = "none"}).code ==
          ResultCode::kInvalid);
  }
  SECTION("a drain by hand stays until it is undone, and the resent command changes nothing") {
    story.Complete("q2");
    const StartVmOperation drain{"d1", "q1", {.id = "d1", .kind = VmOperationKind::kDrain}};
    REQUIRE(story.Do(drain).ok());
    REQUIRE(story.Advance("q1", VmPhase::kDraining, VmPhase::kDrained).ok());
    CHECK(story.Start("q2", {.id = "o2"}).ok());
    REQUIRE(story.Do(FinishVmOperation{.change_id = "u1", .vm = "q1", .operation_id = "d1"}).ok());
    CHECK(story.Do(drain).ok());
    CHECK_FALSE(state.vms.at("q1").operation);
  }
}

TEST_CASE("a wave keeps its books") {
  Story story;
  story.Ready();
  const auto control = [&](WaveAction action) {
    return story.Do(ControlWave{"", "monthly", action});
  };
  const WaveRecord& wave = story.state.waves["monthly"];
  REQUIRE(control(WaveAction::kStart).ok());
  CHECK(wave.remaining == std::set<VmId>{"q1", "q2", "q3"});
  CHECK(control(WaveAction::kStart).code == ResultCode::kConflict);
  const auto start = [&](const VmId& vm) {
    return story.Start(vm, {.id = "w-" + vm, .kind = VmOperationKind::kReboot, .wave = "monthly"});
  };
  REQUIRE(start("q1").ok());
  story.Complete("q1");
  CHECK(start("q1").code == ResultCode::kConflict);
  SECTION("it ends when every VM is done or given up") {
    REQUIRE(start("q2").ok());
    story.Complete("q2");
    REQUIRE(start("q3").ok());
    story.Advance("q3", VmPhase::kDraining, VmPhase::kStopping);
    story.Advance("q3", VmPhase::kStopping, VmPhase::kFailed);
    CHECK(WaveFailures(story.state, "monthly") == std::set<VmId>{"q3"});
    REQUIRE(
        story.Do(FinishVmOperation{.vm = "q3", .operation_id = "w-q3", .succeeded = false}).ok());
    CHECK(wave.state == WaveState::kDone);
    CHECK(wave.failed == std::set<VmId>{"q3"});
    CHECK(control(WaveAction::kResume).code == ResultCode::kConflict);
    CHECK(control(WaveAction::kStart).ok());
    CHECK(wave.run == 2);
  }
  SECTION("a pause stops starts, and a resume accepts the failures that led to it") {
    story.Do(SetVmHealth{"q1", false});
    CHECK(WaveFailures(story.state, "monthly").size() == 1);
    REQUIRE(control(WaveAction::kPause).ok());
    CHECK(start("q2").code == ResultCode::kConflict);
    REQUIRE(control(WaveAction::kResume).ok());
    CHECK(WaveFailures(story.state, "monthly").empty());
    CHECK(start("q2").ok());
  }
  SECTION("a wave that leaves the configuration is cancelled with the reason") {
    story.Submit("c9", {{"20-w.json", R"({"waves": {"monthly": null}})"}});
    story.Decide("a9", true, {"20-w.json"});
    CHECK(wave.state == WaveState::kCancelled);
    CHECK(wave.reason == "removed from the configuration");
  }
}

TEST_CASE("keys") {
  Story story;
  story.Ready();
  const KeyRecord key{
      .id = "k1", .role = KeyRole::kTeam, .team = "dyers", .hash = std::string(32, 'h')};
  REQUIRE(story.Do(GrantKey{"g1", key}).ok());
  CHECK(story.state.keys_version == 1);
  CHECK(story.Do(GrantKey{"g2", {.id = "k2", .team = "none", .hash = key.hash}}).code ==
        ResultCode::kNotFound);
  CHECK(story.Do(GrantKey{"g3", {.id = "k3", .hash = key.hash}}).code == ResultCode::kInvalid);
  REQUIRE(story.Do(WithdrawKey{"w1", "k1"}).ok());
  // A grant that is resent after the withdrawal must not bring the key back.
  CHECK(story.Do(GrantKey{"g1", key}).ok());
  CHECK(story.state.keys.empty());
  CHECK(story.Do(WithdrawKey{"w2", "k1"}).code == ResultCode::kNotFound);
}

// Guards against a field that a snapshot loses.
TEST_CASE("a snapshot holds the whole state") {
  Story story;
  story.Ready();
  story.Claim("r1", "a1");
  story.Do(SetAllotments{{{"dyers", "n1-0a", 6, 6}}});
  story.Do(ControlWave{"w", "monthly", WaveAction::kStart});
  story.Start("q1", {.id = "w-q1", .wave = "monthly"});
  story.Submit("c8", {{"20-t.json", R"({"teams": {"dyers": {"limit": 3}}})"}});
  story.Decide("a8", true, {"20-t.json"});
  story.Submit("c9", {{"30-t.json", std::string("{}")}});
  story.Do(NodeLapsed{"n2-0a"});
  story.Do(NodeFreed{"n2-0a"});
  const std::string bytes = Encode(story.state);
  auto restored = Decode<FleetState>(bytes);
  CHECK(Encode(restored) == bytes);
  // Both go on in the same way.
  const Command next{story.wall, AdvanceVmOperation{.vm = "q1", .operation_id = "w-q1"}};
  CHECK(Apply(restored, 99, next).ok());
  CHECK(Apply(story.state, 99, next).ok());
  CHECK(Encode(restored) == Encode(story.state));
}

}  // namespace
}  // namespace godwitpaddle

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "jobs/state.h"

// Tests what the replicated state keeps of a job's queue and team across configurations, snapshots
// and versions of the program.
namespace godwitpaddle::jobs {
namespace {

constexpr std::int64_t kWallMs = 1'000;

/// A state that the version before queue numbers encoded: job 1 was accepted at "/q/", whose queue
/// "quotes" was renamed to "offers" since, and has a task on worker w1; job 2 waits in "dyes".
constexpr const char* kFormerState =
    "969502929ba66f6666657273a473686f70a32f712fa57072696e7400020100cd0bb8c2c29ba464796573a473686f70"
    "a32f642fa364796500020100cd0bb8c2c29293a57072696e74c2c293a3647965c2c29194a46d696c6c91a26b310193"
    "cd07d00000a17682019d01a671756f746573a57072696e74a46d696c6c0295a17091dc00100293cd03e800000090c2"
    "c2c2c2c2c2a0a0a00000000000000001cd03e8009193929c010100a27731a0c29000909090009c000000a0a0c29000"
    "90909000000101c2029d02a464796573a3647965a46d696c6c0295a17091dc00100293cd03e800000090c2c2c2c2c2"
    "c2a0a0a00000000000000000cd03e8009193929c000000a0a0c29000909090009c000000a0a0c290009090900000"
    "0000c281a277319799a2773101a0a57072696e74a0a09093cd0fa00000000091940100000093cd03e80000c2800080"
    "80cd03e8";
/// A Submit of job 3 to "offers" in the form of that version.
constexpr const char* kFormerSubmit =
    "92019503a66f6666657273a26b31cd03e895a17091dc00100293cd03e800000090c2c2c2c2c2c2a0a0a00000000000"
    "00";

JobPath At(const Queue& queue, JobId job) {
  return {.host = queue.host, .prefix = queue.prefix, .job = job};
}

std::string FromHex(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

/// A job and a snapshot as the version before queue numbers reads them.
struct FormerJob {
  JobId id = 0;
  std::string queue;
  std::string service;
  std::string team;
  std::uint32_t attempts = 1;
  JobSpec spec;
  std::int64_t critical_path_ms = 0;
  JobPhase phase = JobPhase::kQueued;
  std::int64_t accepted_ms = 0;
  std::int64_t ended_ms = 0;
  std::vector<StepRun> steps;
  std::uint32_t assigned = 0;
  bool begun = false;
  MSGPACK_DEFINE(id, queue, service, team, attempts, spec, critical_path_ms, phase, accepted_ms,
                 ended_ms, steps, assigned, begun)
};
using FormerSnapshot =
    std::tuple<Configuration, std::map<JobId, FormerJob>, std::map<WorkerId, Worker>,
               std::map<WaveId, Wave>, std::map<VmId, RecordVmOrder>, std::int64_t>;

Queue MakeQueue(std::string name, std::string prefix, std::string service) {
  return {.name = std::move(name),
          .host = "shop",
          .prefix = std::move(prefix),
          .service = std::move(service),
          .timeout_ms = 3'000};
}

Configuration MakeConfiguration(std::uint64_t version, std::vector<Queue> queues) {
  Configuration configuration{.version = version, .queues = std::move(queues)};
  configuration.services = {{.name = "print"}, {.name = "dye"}};
  configuration.teams = {{.name = "mill", .keys = {"k1"}, .limit = {.cpu = 2'000}}};
  return configuration;
}

Submit MakeSubmit(JobId job, const Queue& queue, std::int64_t wall_ms = kWallMs) {
  return {.job = job,
          .queue = queue.name,
          .key = "k1",
          .wall_ms = wall_ms,
          .spec = {.steps = {{.count = 1, .size = {.cpu = 1'000}, .estimate_ms = 100}}},
          .host = queue.host,
          .prefix = queue.prefix};
}

State Reload(const State& state) {
  State copy;
  copy.Decode(state.Encode());
  return copy;
}

}  // namespace

// Guards against jobs on the disks of the former version that are lost, or that no call reaches.
TEST_CASE("a snapshot of the version before queue numbers") {
  State state;
  state.Decode(FromHex(kFormerState));
  const Queue offers = MakeQueue("offers", "/q/", "print");
  const Queue dyes = MakeQueue("dyes", "/d/", "dye");
  SECTION("has its jobs, at every queue because theirs is not certain") {
    REQUIRE(state.jobs().size() == 2);
    CHECK(State::IsJobAt(*state.FindJob(1), At(offers, 1)));
    CHECK(State::IsJobAt(*state.FindJob(2), At(dyes, 2)));
    CHECK(State::QueueOf(*state.FindJob(1)).service == "print");
    CHECK(State::QueueOf(*state.FindJob(2)).service == "dye");
    CHECK(state.FindKnownQueue(dyes)->queued_jobs == 1);
  }
  SECTION("has the usage of its teams") {
    const KnownTeam* mill = State::TeamOf(*state.FindJob(1));
    REQUIRE(mill != nullptr);
    CHECK(mill->used.cpu == 1'000);
    CHECK(mill->team.limit.cpu == 2'000);
  }
  SECTION("takes the commands of both versions") {
    const auto former = Decode<Command>(FromHex(kFormerSubmit));
    CHECK(state.Apply(former) == ApplyOutcome::kApplied);
    CHECK(state.Apply(MakeSubmit(4, dyes)) == ApplyOutcome::kApplied);
    CHECK_FALSE(State::IsJobAt(*state.FindJob(3), At(dyes, 3)));
    CHECK(State::IsJobAt(*state.FindJob(4), At(dyes, 4)));
    CHECK(state.Apply(RecordEnd{
              .worker = "w1", .incarnation_ms = 1, .number = 1, .task = {.job = 1}, .run = 1}) ==
          ApplyOutcome::kApplied);
    CHECK(State::TeamOf(*state.FindJob(1))->used.cpu == 0);
  }
  SECTION("is stored again without loss") {
    const State again = Reload(state);
    CHECK(State::IsJobAt(*again.FindJob(1), At(offers, 1)));
    CHECK(State::TeamOf(*again.FindJob(1))->used.cpu == 1'000);
  }
}

// Guards against a node of the former version that cannot read a snapshot of this one during a
// release.
TEST_CASE("a snapshot is read by the version before queue numbers") {
  State state;
  const Queue quotes = MakeQueue("quotes", "/q/", "print");
  state.Apply(Configure{.configuration = MakeConfiguration(1, {quotes})});
  REQUIRE(state.Apply(MakeSubmit(1, quotes)) == ApplyOutcome::kApplied);
  const auto [configuration, jobs, workers, waves, orders, wall_ms] =
      Decode<FormerSnapshot>(state.Encode());
  CHECK(configuration.version == 1);
  REQUIRE(jobs.size() == 1);
  CHECK(jobs.at(1).queue == "quotes");
  CHECK(jobs.at(1).team == "mill");
  CHECK(jobs.at(1).steps.size() == 1);
}

// Guards against open work that counts for the service that its queue had at the acceptance: the
// pool of that service grows, and that of the present one does not.
TEST_CASE("open work") {
  State state;
  const Queue quotes = MakeQueue("quotes", "/q/", "print");
  state.Apply(Configure{.configuration = MakeConfiguration(1, {quotes})});
  state.Apply(MakeSubmit(1, quotes));
  REQUIRE(state.OpenCoreMs()["print"] == Approx(100));
  SECTION("follows its queue to another service") {
    state.Apply(
        Configure{.configuration = MakeConfiguration(2, {MakeQueue("quotes", "/q/", "dye")})});
    CHECK(state.OpenCoreMs()["print"] == Approx(0));
    CHECK(state.OpenCoreMs()["dye"] == Approx(100));
    CHECK(Reload(state).OpenCoreMs()["dye"] == Approx(100));
  }
  SECTION("counts for the last service of a removed queue") {
    state.Apply(Configure{.configuration = MakeConfiguration(2, {})});
    CHECK(state.OpenCoreMs()["print"] == Approx(100));
    CHECK(Reload(state).OpenCoreMs()["print"] == Approx(100));
  }
}

// Guards against records of removed queues and teams that stay for good.
TEST_CASE("a removed queue and team") {
  State state;
  const Queue quotes = MakeQueue("quotes", "/q/", "print");
  const Queue dyes = MakeQueue("dyes", "/d/", "dye");
  state.Apply(Configure{.configuration = MakeConfiguration(1, {quotes})});
  state.Apply(MakeSubmit(1, quotes));
  Configuration other = MakeConfiguration(2, {dyes});
  other.teams = {{.name = "loom", .keys = {"k2"}}};
  state.Apply(Configure{.configuration = other});
  REQUIRE(state.FindKnownQueue(quotes) != nullptr);
  REQUIRE(State::TeamOf(*state.FindJob(1))->team.name == "mill");
  const std::size_t with_job = state.Encode().size();
  SECTION("are kept while their job is, also after a restart") {
    CHECK(Reload(state).FindKnownQueue(quotes)->queue.service == "print");
    CHECK(Reload(state).Encode().size() == with_job);
  }
  SECTION("are dropped with their last job") {
    state.Apply(Cancel{.job = 1, .wall_ms = kWallMs});
    Submit later = MakeSubmit(2, dyes, kWallMs + StateOptions().ended_retention_ms + 1);
    later.key = "k2";
    REQUIRE(state.Apply(later) == ApplyOutcome::kApplied);
    REQUIRE(state.FindJob(1) == nullptr);
    CHECK(state.FindKnownQueue(quotes) == nullptr);
    CHECK(state.Encode().size() < with_job);
  }
}

// Guards against a key that makes two teams of one, or one of two.
TEST_CASE("a team that is split in two") {
  State state;
  const Queue quotes = MakeQueue("quotes", "/q/", "print");
  Configuration first = MakeConfiguration(1, {quotes});
  first.teams[0].keys = {"k1", "k2"};
  state.Apply(Configure{.configuration = first});
  state.Apply(MakeSubmit(1, quotes));
  Configuration split = first;
  split.version = 2;
  split.teams = {{.name = "loom", .keys = {"k1"}}, {.name = "mill", .keys = {"k2"}}};
  state.Apply(Configure{.configuration = split});
  SECTION("keeps its jobs under its name") {
    CHECK(State::TeamOf(*state.FindJob(1))->team.name == "mill");
  }
  SECTION("gives the other one the jobs that come with its key") {
    state.Apply(MakeSubmit(2, quotes));
    CHECK(State::TeamOf(*state.FindJob(2))->team.name == "loom");
    CHECK(State::TeamOf(*state.FindJob(1)) != State::TeamOf(*state.FindJob(2)));
  }
}

}  // namespace godwitpaddle::jobs

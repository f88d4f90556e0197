#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/shop.h"

// Tests which job a path names when the queues have changed since its acceptance, and that a
// cancellation that was acknowledged holds for good, whatever is on its way.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;
using jobs::JobCallKind;

/// Checks that calls at the job's path reach it, and that its cancellation ends it.
void CheckReachedAndCancelled(Shop& shop, const std::string& prefix) {
  CHECK(shop.Query(prefix, kJob).text == "running");
  CHECK(shop.Submit(prefix, kJob, 2) == AnswerCode::kOk);
  CHECK(shop.Running("print", kJob) == 2);
  CHECK(shop.Cancel(prefix, kJob) == AnswerCode::kOk);
  shop.cluster.RunFor(3 * kSecond);
  CHECK(shop.Running("print", kJob) == 0);
  CHECK(shop.Query(prefix, kJob).text == "cancelled");
}

}  // namespace

// Guards against 410 for a running job because another queue's prefix is now the longest one.
TEST_CASE("a job whose path selects another queue than at its acceptance") {
  Shop shop(GENERATE(1, 2));
  shop.queues.push_back(MakeQueue("quick", "/d/quick/", "print"));
  shop.Configure();
  SECTION("because a nested queue is gone") {
    REQUIRE(shop.Submit("/d/quick/", kJob, 2) == AnswerCode::kOk);
    shop.cluster.RunFor(kSecond);
    shop.queues.pop_back();
    shop.Configure();
    SECTION("is reached") { CheckReachedAndCancelled(shop, "/d/quick/"); }
    SECTION("is reached after a change of leader") {
      shop.KillLeader();
      CheckReachedAndCancelled(shop, "/d/quick/");
    }
    SECTION("is reached after a loss of power") {
      shop.RestartCoreNodes();
      CheckReachedAndCancelled(shop, "/d/quick/");
    }
    SECTION("stays cancelled when the queue comes back") {
      REQUIRE(shop.Cancel("/d/quick/", kJob) == AnswerCode::kOk);
      shop.queues.push_back(MakeQueue("quick", "/d/quick/", "print"));
      shop.Configure();
      shop.cluster.RunFor(3 * kSecond);
      CHECK(shop.Running("print", kJob) == 0);
      CHECK(shop.Query("/d/quick/", kJob).text == "cancelled");
    }
    SECTION("is not reached at the path of the outer queue") {
      CHECK(shop.Query("/d/", kJob).code == AnswerCode::kNoSuchJob);
      CHECK(shop.Cancel("/d/", kJob) == AnswerCode::kNoSuchJob);
      shop.cluster.RunFor(3 * kSecond);
      CHECK(shop.Running("print", kJob) == 2);
    }
    SECTION("needs a key although the outer queue is open") {
      shop.queues[1].open = true;
      shop.Configure();
      const std::string path = "/d/quick/" + jobs::FormatJob(kJob);
      jobs::JobCall call = Shop::MakeCall(JobCallKind::kCancel, path);
      call.key = "unknown";
      CHECK(shop.Ask(call).code == AnswerCode::kBadKey);
      CHECK(shop.Query("/d/quick/", kJob).text == "running");
    }
    SECTION("takes no new jobs at its prefix") {
      CHECK(shop.Submit("/d/quick/", kJob + 1, 1) == AnswerCode::kInvalid);
    }
  }
  SECTION("because a new prefix continues into its id") {
    REQUIRE(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
    shop.cluster.RunFor(kSecond);
    shop.queues.push_back(MakeQueue("zeros", "/q/00", "dye"));
    shop.Configure();
    CheckReachedAndCancelled(shop, "/q/");
  }
}

// Guards against a job that cannot be ended by its clients because its queue is gone.
TEST_CASE("a job whose path selects no queue any more") {
  Shop shop(GENERATE(1, 2));
  REQUIRE(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
  shop.cluster.RunFor(kSecond);
  const jobs::Queue quotes = shop.queues[0];
  shop.queues.erase(shop.queues.begin());
  shop.Configure();
  SECTION("is cancelled, though its path finds nothing") {
    CHECK(shop.Cancel("/q/", kJob) == AnswerCode::kNoSuchJob);
    shop.cluster.RunFor(3 * kSecond);
    CHECK(shop.Running("print", kJob) == 0);
    CHECK(shop.Query("/q/", kJob).code == AnswerCode::kNoQueue);
    shop.queues.push_back(quotes);
    shop.Configure();
    CHECK(shop.Query("/q/", kJob).text == "cancelled");
  }
  SECTION("is not cancelled without a key") {
    jobs::JobCall call = Shop::MakeCall(JobCallKind::kCancel, "/q/" + jobs::FormatJob(kJob));
    call.key = "unknown";
    CHECK(shop.Ask(call).code == AnswerCode::kNoQueue);
    shop.cluster.RunFor(3 * kSecond);
    CHECK(shop.Running("print", kJob) == 2);
  }
}

// Guards against a job that is accepted after its cancellation was answered with 410.
TEST_CASE("a cancellation that overtakes its submission") {
  Shop shop(GENERATE(1, 2));
  REQUIRE(shop.Cancel("/q/", kJob) == AnswerCode::kNoSuchJob);
  const auto check = [&] {
    CHECK(shop.Submit("/q/", kJob, 2) == AnswerCode::kNoSuchJob);
    CHECK(shop.Query("/q/", kJob).code == AnswerCode::kNoSuchJob);
    CHECK(shop.Cancel("/q/", kJob) == AnswerCode::kNoSuchJob);
    shop.cluster.RunFor(2 * kSecond);
    CHECK(shop.Running("print") == 0);
  };
  SECTION("holds") { check(); }
  SECTION("holds for the next leader") {
    shop.KillLeader();
    check();
  }
  SECTION("holds after a loss of power") {
    shop.RestartCoreNodes();
    check();
  }
  SECTION("holds although its queue was removed meanwhile") {
    const std::vector<jobs::Queue> before = shop.queues;
    shop.queues.erase(shop.queues.begin());
    shop.Configure();
    shop.queues = before;
    shop.Configure();
    check();
  }
  SECTION("concerns no other job") {
    CHECK(shop.Submit("/q/", kJob + 1, 2) == AnswerCode::kOk);
    CHECK(shop.Submit("/d/", kJob, 2) == AnswerCode::kOk);
  }
}

// Guards against jobs that run on because their Submit was proposed, held or sent again while the
// cancellation was answered.
TEST_CASE("cancellations by another edge shortly after their submissions") {
  Shop shop(GENERATE(1, 2, 3), 40);
  const bool leader_ends = GENERATE(false, true);
  const bool configures = GENERATE(false, true);
  constexpr jobs::JobId kJobs = 30;
  std::vector<std::optional<AnswerCode>> cancelled(kJobs);
  for (jobs::JobId i = 0; i < kJobs; ++i) {
    if (leader_ends && i == kJobs / 2) shop.cluster.Kill(*shop.cluster.Leader());
    if (configures && i % 5 == 0) {
      shop.cluster.Call(1, shop.NextConfiguration(), [](const auto&) {});
    }
    shop.cluster.Call(shop.cluster.edge(0), Shop::MakeSubmit("/q/", kJob + i, 1),
                      [](const auto&) {});
    shop.cluster.RunFor(static_cast<Micros>(i % 8) * 3 * kMillisecond);
    shop.cluster.Call(shop.cluster.edge(1),
                      Shop::MakeCall(JobCallKind::kCancel, "/q/" + jobs::FormatJob(kJob + i)),
                      [&cancelled, i](const auto& answer) { cancelled[i] = answer.code; });
  }
  shop.cluster.RunFor(8 * kSecond);
  for (jobs::JobId i = 0; i < kJobs; ++i) {
    const bool acknowledged =
        cancelled[i] == AnswerCode::kOk || cancelled[i] == AnswerCode::kNoSuchJob;
    CHECK((acknowledged || leader_ends));
    if (acknowledged) CHECK(shop.Running("print", kJob + i) == 0);
  }
}

// Guards against cancellations of unknown jobs that fill the state, or are forgotten too early.
TEST_CASE("early cancellations in the state") {
  jobs::State state({.ended_retention_ms = 1'000, .max_early_cancels = 2});
  jobs::Configuration configuration{.version = 1};
  configuration.queues = {{.name = "quotes", .prefix = "/q/", .service = "print", .open = true}};
  state.Apply(jobs::Configure{.configuration = configuration});
  const auto cancel = [](jobs::State& target, jobs::JobId job, std::int64_t wall_ms) {
    return target.Apply(jobs::Cancel{.job = job, .wall_ms = wall_ms, .prefix = "/q/"});
  };
  const auto submit = [](jobs::State& target, jobs::JobId job, std::int64_t wall_ms) {
    jobs::Submit command{.job = job, .wall_ms = wall_ms, .prefix = "/q/"};
    command.spec.steps = {{.count = 1}};
    return target.Apply(command);
  };
  REQUIRE(cancel(state, 1, 5'000) == jobs::ApplyOutcome::kNoSuchJob);
  REQUIRE(cancel(state, 2, 5'500) == jobs::ApplyOutcome::kNoSuchJob);
  SECTION("are limited in number") {
    CHECK(cancel(state, 3, 5'600) == jobs::ApplyOutcome::kJobTableFull);
    CHECK(cancel(state, 2, 5'600) == jobs::ApplyOutcome::kNoSuchJob);
    CHECK(cancel(state, 3, 6'200) == jobs::ApplyOutcome::kNoSuchJob);
  }
  SECTION("are kept as long as ended jobs") {
    CHECK(submit(state, 1, 6'000) == jobs::ApplyOutcome::kCancelledBefore);
    CHECK(submit(state, 1, 6'001) == jobs::ApplyOutcome::kApplied);
    CHECK(submit(state, 2, 6'001) == jobs::ApplyOutcome::kCancelledBefore);
  }
  SECTION("are in a snapshot") {
    jobs::State restored({.ended_retention_ms = 1'000, .max_early_cancels = 2});
    restored.Decode(state.Encode());
    CHECK(submit(restored, 2, 6'000) == jobs::ApplyOutcome::kCancelledBefore);
    CHECK(cancel(restored, 3, 6'001) == jobs::ApplyOutcome::kNoSuchJob);
  }
  SECTION("need the path, which commands of earlier versions lack") {
    CHECK(state.Apply(jobs::Cancel{.job = 3, .wall_ms = 5'600}) == jobs::ApplyOutcome::kNoSuchJob);
    CHECK(submit(state, 3, 5'600) == jobs::ApplyOutcome::kApplied);
  }
}

}  // namespace godwitpaddle::testing

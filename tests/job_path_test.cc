#include <catch2/catch.hpp>
#include <string>

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

}  // namespace godwitpaddle::testing

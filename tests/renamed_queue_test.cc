#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "tests/shop.h"

// Tests what calls and tasks of accepted jobs get when configurations rename, exchange, move,
// remove and bring back queues and teams. A call names a host, a path and a key, and nothing else.
namespace godwitpaddle::testing {
namespace {

using jobs::AnswerCode;

}  // namespace

// Guards against accepted jobs that no call reads, repeats, counts or ends after their queue was
// renamed.
TEST_CASE("a queue that is renamed at its host and prefix") {
  Shop shop(GENERATE(1, 2));
  REQUIRE(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
  // The second job finds no room: it is pending.
  REQUIRE(shop.Submit("/q/", kJob + 1, 8) == AnswerCode::kOk);
  REQUIRE(shop.Submit("/q/", kJob + 2, 1) == AnswerCode::kOk);
  shop.cluster.RunFor(2 * kSecond);
  REQUIRE(shop.Pending("/q/") == 1);
  shop.queues[0].name = "offers";
  shop.Configure();
  const auto check = [&] {
    CHECK(shop.Query("/q/", kJob).text == "running");
    CHECK(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
    CHECK(shop.Pending("/q/") == 1);
    CHECK(shop.Running("print", kJob) == 2);
    CHECK(shop.Cancel("/q/", kJob) == AnswerCode::kOk);
    shop.cluster.RunFor(3 * kSecond);
    CHECK(shop.Running("print", kJob) == 0);
    CHECK(shop.Query("/q/", kJob).text == "cancelled");
  };
  SECTION("still has its jobs") { check(); }
  SECTION("still has its jobs after a change of leader") {
    shop.KillLeader();
    check();
  }
  SECTION("still has its jobs after a loss of power") {
    shop.RestartCoreNodes();
    check();
  }
}

// Guards against jobs that change over to the queue that took the name of theirs.
TEST_CASE("two queues that exchange their names") {
  Shop shop(GENERATE(1, 2));
  REQUIRE(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
  shop.cluster.RunFor(kSecond);
  std::swap(shop.queues[0].name, shop.queues[1].name);
  shop.Configure();
  SECTION("keep their jobs") {
    CHECK(shop.Query("/q/", kJob).text == "running");
    CHECK(shop.Query("/d/", kJob).code == AnswerCode::kNoSuchJob);
    CHECK(shop.Cancel("/d/", kJob) == AnswerCode::kNoSuchJob);
    CHECK(shop.Submit("/d/", kJob, 2) == AnswerCode::kInvalid);
    shop.cluster.RunFor(3 * kSecond);
    CHECK(shop.Running("print", kJob) == 2);
  }
  SECTION("keep their services") {
    shop.RestartWorkers("print");
    CHECK(shop.Running("print", kJob) == 2);
    CHECK(shop.Running("dye") == 0);
  }
  SECTION("keep their services for the next leader") {
    shop.KillLeader();
    shop.RestartWorkers("print");
    CHECK(shop.Running("print", kJob) == 2);
    CHECK(shop.Running("dye") == 0);
  }
}

// Guards against tasks that start on the service of another queue that took the name of theirs.
TEST_CASE("a name that moves to another prefix and service") {
  Shop shop(GENERATE(1, 2));
  REQUIRE(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
  shop.cluster.RunFor(kSecond);
  SECTION("while the former prefix gets another name") {
    shop.queues = {MakeQueue("offers", "/q/", "print"), MakeQueue("quotes", "/x/", "dye")};
    shop.Configure();
    shop.RestartWorkers("print");
    CHECK(shop.Query("/q/", kJob).text == "running");
    CHECK(shop.Query("/x/", kJob).code == AnswerCode::kNoSuchJob);
    CHECK(shop.Running("print", kJob) == 2);
    CHECK(shop.Running("dye") == 0);
  }
  SECTION("while the former prefix gets no queue") {
    shop.queues = {MakeQueue("quotes", "/x/", "dye")};
    shop.Configure();
    shop.RestartWorkers("print");
    CHECK(shop.Query("/x/", kJob).code == AnswerCode::kNoSuchJob);
    CHECK(shop.Running("print", kJob) == 2);
    CHECK(shop.Running("dye") == 0);
  }
}

// Guards against jobs that end, or that calls reach, while their prefix has no queue, and against
// jobs that are not found again once it has one.
TEST_CASE("a queue that is removed and brought back") {
  Shop shop(GENERATE(1, 2));
  REQUIRE(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
  shop.cluster.RunFor(kSecond);
  const std::vector<jobs::Queue> before = shop.queues;
  shop.queues = {before[1]};
  shop.Configure();
  CHECK(shop.Query("/q/", kJob).code == AnswerCode::kNoQueue);
  CHECK(shop.Submit("/q/", kJob, 2) == AnswerCode::kNoQueue);
  CHECK(shop.Cancel("/q/", kJob + 1) == AnswerCode::kNoQueue);
  SECTION("has its jobs run meanwhile") {
    shop.RestartWorkers("print");
    CHECK(shop.Running("print", kJob) == 2);
  }
  SECTION("has its jobs again, under another name") {
    shop.queues = {before[1], MakeQueue("offers", "/q/", "print")};
    shop.Configure();
    CHECK(shop.Query("/q/", kJob).text == "running");
    CHECK(shop.Submit("/q/", kJob, 2) == AnswerCode::kOk);
    CHECK(shop.Cancel("/q/", kJob) == AnswerCode::kOk);
    shop.cluster.RunFor(3 * kSecond);
    CHECK(shop.Running("print") == 0);
  }
  SECTION("has its jobs run on its new service") {
    shop.queues = {before[1], MakeQueue("offers", "/q/", "dye")};
    shop.Configure();
    shop.RestartWorkers("print");
    CHECK(shop.Running("dye", kJob) == 2);
    SECTION("also once it is removed again") {
      shop.queues = {before[1]};
      shop.Configure();
      shop.RestartWorkers("dye");
      CHECK(shop.Running("dye", kJob) == 2);
      SECTION("and after a loss of power") {
        shop.RestartCoreNodes();
        shop.RestartWorkers("dye");
        CHECK(shop.Running("dye", kJob) == 2);
        CHECK(shop.Running("print") == 0);
      }
    }
  }
}

// Guards against a job that is refused for want of a queue because the configuration changed
// between the leader's check and the application.
TEST_CASE("jobs that arrive while the name of their queue changes") {
  Shop shop(GENERATE(1, 2, 3));
  jobs::JobId next = kJob;
  int refused = 0;
  int answered = 0;
  for (int round = 0; round < 60; ++round) {
    shop.queues[0].name = "quotes-" + std::to_string(round);
    // Two operators send their changes at the same time.
    for (std::size_t node = 0; node < 2; ++node) {
      shop.cluster.Call(node, shop.NextConfiguration(), [](const auto&) {});
    }
    for (int i = 0; i < 10; ++i) {
      const jobs::JobId job = next++;
      shop.cluster.Call(shop.cluster.edge(job % 2), Shop::MakeSubmit("/q/", job, 1, 100),
                        [&](const auto& answer) {
                          ++answered;
                          if (answer.code != AnswerCode::kOk) ++refused;
                        });
      shop.cluster.RunFor(5 * kMillisecond);
    }
  }
  shop.cluster.RunFor(3 * kSecond);
  CHECK(refused == 0);
  CHECK(answered == 600);
  CHECK(shop.Query("/q/", kJob).code == AnswerCode::kOk);
}

// Guards against two queues of the same name, which a valid configuration may have, that share
// jobs.
TEST_CASE("two queues with the same name") {
  Shop shop(GENERATE(1, 2));
  shop.queues[1].name = shop.queues[0].name;
  shop.Configure();
  REQUIRE(shop.Submit("/d/", kJob, 2) == AnswerCode::kOk);
  shop.cluster.RunFor(kSecond);
  CHECK(shop.Running("dye", kJob) == 2);
  CHECK(shop.Query("/d/", kJob).text == "running");
  CHECK(shop.Query("/q/", kJob).code == AnswerCode::kNoSuchJob);
}

// Guards against a team that uses its limit twice, or without bound, after its name has changed.
TEST_CASE("a team with a limit") {
  Shop shop(GENERATE(1, 2), 20);
  const jobs::Team mill{.name = "mill", .keys = {"k1", "k2"}, .limit = {.cpu = 4 * kTaskCpu}};
  const jobs::Team loom{.name = "loom", .keys = {"k3"}};
  shop.teams = {mill, loom};
  shop.Configure();
  REQUIRE(shop.Submit("/q/", kJob, 10) == AnswerCode::kOk);
  shop.cluster.RunFor(kSecond);
  REQUIRE(shop.Running("print") == 4);
  const auto check_limit = [&] {
    shop.cluster.RunFor(2 * kSecond);
    CHECK(shop.Running("print") == 4);
    shop.RestartWorkers("print");
    // Tasks whose worker has crashed start alone on a worker at first.
    CHECK(shop.Running("print") > 0);
    CHECK(shop.Running("print") <= 4);
  };
  const auto submit_more = [&](const std::string& key) {
    jobs::JobCall more = Shop::MakeSubmit("/q/", kJob + 1, 10);
    more.key = key;
    REQUIRE(shop.Ask(more).code == AnswerCode::kOk);
  };
  SECTION("keeps it under another name") {
    shop.teams[0].name = "spinners";
    shop.Configure();
    submit_more("k1");
    check_limit();
  }
  SECTION("keeps it when it exchanges its name with another team") {
    std::swap(shop.teams[0].name, shop.teams[1].name);
    shop.Configure();
    submit_more("k2");
    check_limit();
  }
  SECTION("keeps it when its keys are replaced, and its name later") {
    shop.teams[0].keys = {"k4"};
    shop.Configure();
    shop.teams[0].name = "spinners";
    shop.Configure();
    submit_more("k4");
    check_limit();
  }
  SECTION("keeps it after its removal") {
    shop.teams = {loom};
    shop.Configure();
    SECTION("while it is away") { check_limit(); }
    SECTION("and when it is added again under another name") {
      shop.teams = {loom, mill};
      shop.teams[1].name = "spinners";
      shop.Configure();
      submit_more("k1");
      check_limit();
    }
    SECTION("and after a loss of power") {
      shop.RestartCoreNodes();
      check_limit();
    }
  }
  SECTION("does not hand it to the team that takes its name") {
    shop.teams = {mill, loom};
    shop.teams[0].name = "spinners";
    shop.teams[1].name = "mill";
    shop.Configure();
    submit_more("k3");
    shop.cluster.RunFor(2 * kSecond);
    CHECK(shop.Running("print") == 14);
  }
}

}  // namespace godwitpaddle::testing

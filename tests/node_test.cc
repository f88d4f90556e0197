#include "node/node.h"

#include <catch2/catch.hpp>

#include "tests/fake_backend.h"
#include "tests/fake_operator.h"
#include "tests/virtual_cluster.h"

namespace godwitpaddle::testing {
namespace {

constexpr char kFleet[] = R"({
  // One pool of two VMs, one queue of each kind and an open one.
  "fleet": {"name": "test"},
  "pools": {"web": {"service": "web", "min_available": 1, "slots_per_vm": 2, "hold_down_s": 1}},
  "vms": {
    "web-0": {"pool": "web", "region": "r1", "zone": "z1", "rack": "a", "cores": 64, "memory_mb": 128000},
    "web-1": {"pool": "web", "region": "r1", "zone": "z2", "rack": "b", "cores": 64, "memory_mb": 128000}
  },
  "teams": {"t1": {"share": 1, "limit": 3}, "t2": {"share": 1, "limit": 4}},
  "queues": {
    "once": {"pool": "web", "idempotent": false, "teams": ["t1"]},
    "any": {"pool": "web", "idempotent": true},
    "open": {"pool": "web", "idempotent": true, "open": true, "team": "t2"}
  }
})";

/// Three nodes and two backend servers, with the configuration of kFleet in force.
struct Fixture {
  VirtualCluster cluster{3, 3, 11};
  FakeBackend backend{cluster};
  FakeOperator admin{cluster};
  std::string key1;
  std::string key2;

  Fixture() {
    cluster.set_environment(&backend);
    backend.AddServer("web-0", "web", "a", "z1", 2);
    backend.AddServer("web-1", "web", "b", "z2", 2);
    backend.set_limit("t1", 3);
    backend.set_limit("t2", 4);
    backend.set_min_available("web", 1);
    REQUIRE(admin.Bootstrap(3));
    REQUIRE(admin.Configure({{"00-fleet.json", kFleet}}));
    key1 = admin.GrantTeamKey("t1");
    key2 = admin.GrantTeamKey("t2");
    cluster.RunFor(8 * kSecond);
  }

  struct Answer {
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
  };

  std::shared_ptr<Answer> Send(std::size_t node, HttpEvent request) {
    auto answer = std::make_shared<Answer>();
    cluster.Http(node, std::move(request), [answer](const std::optional<RespondEffect>& response) {
      if (!response) {
        answer->status = -1;
      } else {
        *answer = {
            .status = response->status, .body = response->body, .headers = response->headers};
      }
    });
    return answer;
  }

  std::shared_ptr<Answer> Submit(std::size_t node, const std::string& queue, const Job& job,
                                 const std::string& key, int deadline_ms = 5'000) {
    HttpEvent request{
        .method = "POST", .path = "/v1/queues/" + queue + "/requests", .body = job.Body()};
    request.headers["idempotency-key"] = job.id;
    request.headers["x-deadline-ms"] = std::to_string(deadline_ms);
    if (!key.empty()) request.headers["authorization"] = "Bearer " + key;
    return Send(node, std::move(request));
  }

  std::string Id(const std::string& suffix) const {
    return std::to_string(cluster.wall()) + "-" + suffix;
  }
};

// Guards against requests with the key of a wrong team, lost or mixed-up answers, and a second run
// of one request id.
TEST_CASE("a caller's request") {
  Fixture f;

  SECTION("is answered completely through any node") {
    for (std::size_t node = 0; node < 3; ++node) {
      const Job job{.id = f.Id("a" + std::to_string(node)), .team = "t1", .once = true};
      const auto answer = f.Submit(node, "once", job, f.key1);
      f.cluster.RunFor(2 * kSecond);
      CHECK(answer->status == 200);
      CHECK(answer->body == "answer " + job.Body());
    }
    CHECK(f.backend.violations().empty());
  }

  SECTION("needs a key of a team that may use the queue, except on an open queue") {
    const Job job{.id = f.Id("k"), .team = "t2"};
    const auto none = f.Submit(0, "once", job, "");
    const auto wrong = f.Submit(0, "once", job, "no-such-key");
    const auto other = f.Submit(0, "once", job, f.key2);
    const auto open = f.Submit(0, "open", job, "");
    const auto missing = f.Submit(0, "absent", job, f.key1);
    f.cluster.RunFor(2 * kSecond);
    CHECK(none->status == 401);
    CHECK(wrong->status == 401);
    CHECK(other->status == 403);
    CHECK(open->status == 200);
    CHECK(missing->status == 404);
    CHECK(none->body.find("\"not_run\":true") != std::string::npos);
  }

  SECTION("that is repeated with the same id at any node runs once") {
    const Job job{.id = f.Id("same"), .team = "t1", .once = true, .run_ms = 500};
    const auto first = f.Submit(0, "once", job, f.key1);
    f.cluster.RunFor(100 * kMillisecond);
    const auto during = f.Submit(1, "once", job, f.key1);
    f.cluster.RunFor(2 * kSecond);
    const auto after = f.Submit(2, "once", job, f.key1);
    f.cluster.RunFor(1 * kSecond);
    CHECK(first->status == 200);
    CHECK(during->status == 409);
    CHECK(after->status == 200);
    CHECK(after->body == first->body);
    CHECK(f.backend.StartsOf(job.id) == 1);
  }

  SECTION("with an id older than the retention window is refused") {
    const Job job{
        .id = std::to_string(f.cluster.wall() - 3'600'000) + "-old", .team = "t1", .once = true};
    const auto answer = f.Submit(0, "once", job, f.key1);
    f.cluster.RunFor(1 * kSecond);
    CHECK(answer->status == 400);
    CHECK(f.backend.StartsOf(job.id) == 0);
  }

  SECTION("waits for its team's limit and is refused as not run if its deadline passes first") {
    std::vector<std::shared_ptr<Fixture::Answer>> answers;
    for (int i = 0; i < 4; ++i) {
      if (i == 3) f.cluster.RunFor(300 * kMillisecond);  // the first three are running
      const Job job{
          .id = f.Id("l" + std::to_string(i)), .team = "t1", .once = true, .run_ms = 3'000};
      answers.push_back(f.Submit(0, "once", job, f.key1, i < 3 ? 10'000 : 1'000));
    }
    f.cluster.RunFor(8 * kSecond);
    for (int i = 0; i < 3; ++i) CHECK(answers[i]->status == 200);
    INFO(answers[3]->body);
    CHECK(answers[3]->status == 503);
    CHECK(answers[3]->body.find("\"not_run\":true") != std::string::npos);
    CHECK(f.backend.violations().empty());
  }

  SECTION("can be cancelled while it is queued") {
    for (int i = 0; i < 3; ++i) {
      f.Submit(0, "once",
               {.id = f.Id("b" + std::to_string(i)), .team = "t1", .once = true, .run_ms = 3'000},
               f.key1, 10'000);
    }
    f.cluster.RunFor(500 * kMillisecond);
    const Job job{.id = f.Id("c"), .team = "t1", .once = true};
    const auto queued = f.Submit(0, "once", job, f.key1, 10'000);
    f.cluster.RunFor(200 * kMillisecond);
    const auto cancel = f.Send(1, {.method = "DELETE",
                                   .path = "/v1/requests/once:" + job.id,
                                   .headers = {{"authorization", "Bearer " + f.key1}}});
    f.cluster.RunFor(8 * kSecond);
    CHECK(cancel->status == 200);
    CHECK(queued->status == 503);
    CHECK(f.backend.StartsOf(job.id) == 0);
  }

  SECTION("that is asynchronous is accepted at once and its answer can be fetched later") {
    const Job job{.id = f.Id("async"), .team = "t1", .once = true};
    HttpEvent request{.method = "POST", .path = "/v1/queues/once/requests", .body = job.Body()};
    request.headers = {{"idempotency-key", job.id},
                       {"authorization", "Bearer " + f.key1},
                       {"prefer", "respond-async"}};
    const auto accepted = f.Send(0, std::move(request));
    f.cluster.RunFor(2 * kSecond);
    CHECK(accepted->status == 202);
    const auto answer = f.Send(2, {.method = "GET",
                                   .path = "/v1/requests/once:" + job.id,
                                   .headers = {{"authorization", "Bearer " + f.key1}}});
    f.cluster.RunFor(1 * kSecond);
    CHECK(answer->status == 200);
    CHECK(answer->body == "answer " + job.Body());
  }
}

// Guards against requests that are admitted by a node without the current state, and against
// requests that are lost or run twice when a node ends.
TEST_CASE("a node that fails, is isolated or shuts down") {
  Fixture f;

  SECTION("stops admitting requests before a key that is revoked elsewhere could be used there") {
    f.cluster.Isolate(2, 60 * kSecond);
    int status = 0;
    f.admin.CallAndWait("DELETE", "/v1/admin/keys",
                        {{"change_id", f.admin.NewChangeId()}, {"id", "key-t1"}},
                        f.admin.operator_key(), &status);
    REQUIRE(status == 200);
    f.cluster.RunFor(2 * kSecond);
    const auto reachable =
        f.Submit(0, "once", {.id = f.Id("w0"), .team = "t1", .once = true}, f.key1);
    const auto isolated =
        f.Submit(2, "once", {.id = f.Id("w2"), .team = "t1", .once = true}, f.key1);
    f.cluster.RunFor(1 * kSecond);
    CHECK(reachable->status == 401);
    CHECK(isolated->status == 503);
    CHECK(isolated->body.find("\"not_run\":true") != std::string::npos);
  }

  SECTION("as leader is replaced, and requests are answered again within 2 s") {
    const auto leader = f.cluster.LeaderIndex();
    REQUIRE(leader);
    const Micros killed = f.cluster.now();
    f.cluster.Kill(*leader);
    const std::size_t node = (*leader + 1) % 3;
    std::shared_ptr<Fixture::Answer> answer;
    int round = 0;
    const bool served = f.cluster.RunUntilTrue(
        [&] {
          if (answer && answer->status == 200) return true;
          if (!answer || answer->status != 0) {
            answer = f.Submit(
                node, "any", {.id = f.Id("r" + std::to_string(round++)), .team = "t1", .run_ms = 5},
                f.key1, 500);
          }
          return false;
        },
        10 * kSecond);
    std::string log;
    for (const std::string& line : f.cluster.log()) log += line + "\n";
    INFO("killed at " << killed << "\n" << log);
    CHECK(served);
    CHECK(f.cluster.now() - killed <= 2 * kSecond);
  }

  SECTION(
      "as owner of a pool: the next owner runs idempotent requests and reports claimed ones as "
      "unknown") {
    const auto& state = f.cluster.node(0).state();
    const Incarnation owner = state.owners.at("web").owner;
    const std::size_t index = state.nodes.at(owner).node[1] - '1';
    const std::size_t gateway = (index + 1) % 3;
    const Job any{.id = f.Id("any"), .team = "t1", .run_ms = 1'000};
    const Job once{.id = f.Id("once"), .team = "t1", .once = true, .run_ms = 1'000};
    const auto first = f.Submit(gateway, "any", any, f.key1, 20'000);
    const auto second = f.Submit(gateway, "once", once, f.key1, 20'000);
    f.cluster.RunFor(300 * kMillisecond);
    f.cluster.Kill(index);
    f.cluster.RunFor(20 * kSecond);
    CHECK(first->status == 200);
    CHECK(second->status == 504);
    CHECK(second->body.find("\"not_run\":false") != std::string::npos);
    CHECK(f.backend.StartsOf(once.id) == 1);
    CHECK(f.backend.violations().empty());
  }

  SECTION("exits even if all nodes shut down at once and none can take over the pools") {
    std::vector<std::uint64_t> incarnations;
    for (std::size_t i = 0; i < 3; ++i) incarnations.push_back(f.cluster.incarnation(i));
    for (std::size_t i = 0; i < 3; ++i) f.cluster.Shutdown(i);
    f.cluster.RunFor(20 * kSecond);
    for (std::size_t i = 0; i < 3; ++i) CHECK(f.cluster.incarnation(i) > incarnations[i]);
  }

  SECTION("that shuts down gracefully interrupts no request") {
    const auto& state = f.cluster.node(0).state();
    const std::size_t index = state.nodes.at(state.owners.at("web").owner).node[1] - '1';
    const auto answer =
        f.Submit(index, "once", {.id = f.Id("g"), .team = "t1", .once = true, .run_ms = 2'000},
                 f.key1, 10'000);
    f.cluster.RunFor(300 * kMillisecond);
    f.cluster.Shutdown(index);
    const std::uint64_t incarnation = f.cluster.incarnation(index);
    f.cluster.RunFor(10 * kSecond);
    CHECK(answer->status == 200);
    CHECK(f.cluster.incarnation(index) == incarnation + 1);  // it exited and was restarted
    CHECK(f.backend.violations().empty());
  }
}

// Guards against maintenance that interrupts requests or takes a pool below min_available.
TEST_CASE("a maintenance wave reboots every VM once, within min_available, under load") {
  Fixture f;
  REQUIRE(f.admin.Configure({{"50-waves.json", R"({"waves": {"kernel": {"pools": ["web"]}}})"}}));
  int status = 0;
  f.admin.CallAndWait("POST", "/v1/admin/waves/kernel",
                      {{"change_id", f.admin.NewChangeId()}, {"action", "start"}},
                      f.admin.operator_key(), &status);
  REQUIRE(status == 200);
  std::vector<std::shared_ptr<Fixture::Answer>> answers;
  for (int i = 0; i < 400; ++i) {
    const Job job{.id = f.Id("w" + std::to_string(i)), .team = "t1", .once = true, .run_ms = 150};
    answers.push_back(f.Submit(i % 3, "once", job, f.key1, 8'000));
    f.cluster.RunFor(100 * kMillisecond);
  }
  f.cluster.RunFor(20 * kSecond);
  for (const auto& answer : answers) CHECK(answer->status == 200);
  CHECK(f.backend.reboots() == 2);
  CHECK(f.cluster.node(0).state().waves.at("kernel").state == WaveState::kDone);
  CHECK(f.backend.violations().empty());
}

}  // namespace
}  // namespace godwitpaddle::testing

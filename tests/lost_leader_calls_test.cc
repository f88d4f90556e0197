#include <catch2/catch.hpp>
#include <variant>
#include <vector>

#include "control/gateway.h"

namespace godwitpaddle::jobs {
namespace {

constexpr Micros kStep = 50 * kMillisecond;
constexpr std::int64_t kTimeoutMs = 3'000;

/// A gateway that knows a leader, which has just become silent.
struct SilentLeader {
  Outbox out;
  Gateway gateway{{.own_address = "edge", .seeds = {"a", "b"}, .first_call = 1}};
  Micros now = kSecond;

  SilentLeader() { Hear(1); }
  void Hear(replication::Term term) {
    const std::string leader = term == 1 ? "a" : "b";
    gateway.OnInfo(
        {.sender_address = leader, .serving = true, .term = term, .leader_address = leader}, now,
        out);
  }
  void Call(JobCallKind kind) {
    gateway.OnCall({.connection = 7, .call = JobCall{.kind = kind}, .timeout_ms = kTimeoutMs}, now,
                   out);
  }
  /// Runs until the call is answered, for at most `most`. Returns the answers.
  std::vector<Answer> RunUntilAnswered(Micros most) {
    for (const Micros end = now + most; now < end && gateway.waiting() > 0; now += kStep) {
      gateway.Tick(now, out);
    }
    std::vector<Answer> answers;
    for (const Effect& effect : out.effects) {
      const auto* sent = std::get_if<AnswerEffect>(&effect);
      if (sent != nullptr) answers.push_back(sent->answer);
    }
    return answers;
  }
};

}  // namespace

// Guards against callers that are held until their time is over while no leader can answer them.
TEST_CASE("a call whose leader is lost is answered before half of its time is over") {
  SilentLeader node;
  SECTION("a job's outcome is unknown, and its caller may ask again soon") {
    node.Call(JobCallKind::kSubmit);
    const auto answers = node.RunUntilAnswered(kTimeoutMs * kMillisecond);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().code == AnswerCode::kUnknown);
    CHECK(answers.front().retry_after_s == 1);
    CHECK(node.now - kSecond < kTimeoutMs * kMillisecond / 2);
  }
  SECTION("a query has not run") {
    node.Call(JobCallKind::kQuery);
    const auto answers = node.RunUntilAnswered(kTimeoutMs * kMillisecond);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().code == AnswerCode::kUnavailable);
    CHECK(node.now - kSecond < kTimeoutMs * kMillisecond / 2);
  }
}

// Guards against a call that is given up although the next leader is elected in time.
TEST_CASE("a call waits for the next leader while an election takes its usual time") {
  SilentLeader node;
  node.Call(JobCallKind::kSubmit);
  CHECK(node.RunUntilAnswered(kSecond).empty());
  node.Hear(2);
  CHECK(node.gateway.waiting() == 1);
  CHECK(node.RunUntilAnswered(kSecond).empty());
}

}  // namespace godwitpaddle::jobs

#include "decision/pool_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"

namespace godwitpaddle {
namespace {

SchedulerOptions Options() {
  SchedulerOptions options;
  options.pool = "press";
  options.config = {.service = "press", .slots_per_vm = 4, .max_queue = 80};
  options.queues["iron"] = {.pool = "press", .idempotent = true};
  options.queues["bill"] = {.pool = "press", .idempotent = false};
  options.teams["large"] = {.share = 3, .limit = 100};
  options.teams["small"] = {.share = 1, .limit = 100};
  options.teams["closed"] = {.share = 1, .limit = 0};
  options.task_prefix = "n1-a-";
  options.urgent = {.reserve = 0, .checkpoint = true};
  return options;
}

Announcement Server(int number, std::string incarnation = "i1") {
  const std::string n = std::to_string(number);
  return {.server = "s" + n,
          .incarnation = std::move(incarnation),
          .vm = "vm" + n,
          .rack = "r" + std::to_string(number / 2),
          .zone = "z" + std::to_string(number % 2),
          .service = "press",
          .address = "127.0.0.1:" + std::to_string(7000 + number),
          .slots = 4,
          .connections = 16,
          .cores = 8,
          .memory_mb = 8000};
}

QueuedRequest Request(RequestId id, const TeamId& team, Micros now) {
  return {.id = id,
          .queue = "iron",
          .team = team,
          .size = {.cores = 1, .memory_mb = 500, .run_time = kSecond},
          .arrived = now,
          .deadline = now + 30 * kSecond,
          .idempotent = true};
}

int Unlimited(const TeamId&) { return 1'000'000; }

}  // namespace

TEST_CASE("A pool starts requests only on usable servers and within all limits") {
  PoolScheduler scheduler(Options());
  Micros now = kSecond;
  RequestId next = 1;
  const auto admit = [&](const TeamId& team) {
    return scheduler.Admit(Request(next++, team, now), now);
  };
  const auto dispatch = [&] { return scheduler.Dispatch(Unlimited, now); };
  for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
  REQUIRE(scheduler.ready_slots() == 16);

  SECTION("Admission refuses at once a request that cannot run") {
    auto oversized = Request(900, "large", now);
    oversized.size.cores = 9;
    CHECK(scheduler.Admit(oversized, now)->reason == RefusalReason::kInfeasible);
    auto accelerated = Request(901, "large", now);
    accelerated.size.accelerators = 1;
    CHECK(scheduler.Admit(accelerated, now)->reason == RefusalReason::kInfeasible);
    CHECK(admit("closed")->reason == RefusalReason::kOverLimit);
    CHECK(scheduler.queued() == 0);

    SECTION("but admits a request that fits a configured VM which has not announced itself") {
      SchedulerOptions options = Options();
      options.configured_vms.push_back({.pool = "press", .cores = 16, .memory_mb = 8000});
      scheduler.Reconfigure(options);
      CHECK_FALSE(scheduler.Admit(oversized, now));
    }
  }

  SECTION("A team that floods the queue leaves the other teams their guaranteed places") {
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
      if (!admit("large")) ++admitted;
    }
    CHECK(admitted < 80);
    CHECK(admitted >= 40);
    CHECK_FALSE(admit("small"));
    CHECK(admit("large")->reason == RefusalReason::kQueueFull);

    SECTION("and an urgent request displaces one of its normal ones, which is refused once") {
      const int queued = scheduler.queued();
      auto urgent = Request(900, "large", now);
      urgent.priority = Priority::kUrgent;
      CHECK_FALSE(scheduler.Admit(urgent, now));
      CHECK(scheduler.queued() == queued);
      const auto refusals = scheduler.Expire(now);
      REQUIRE(refusals.size() == 1);
      CHECK(refusals.front().reason == RefusalReason::kQueueFull);
      CHECK(scheduler.Expire(now).empty());
    }
  }

  SECTION("A request whose expected wait exceeds its deadline is refused before it is queued") {
    for (int i = 0; i < 16; ++i) REQUIRE_FALSE(admit("small"));
    REQUIRE(dispatch().size() == 16);
    REQUIRE_FALSE(admit("small"));
    auto short_deadline = Request(900, "small", now);
    short_deadline.deadline = now + 50 * kMillisecond;
    short_deadline.size.run_time = 10 * kSecond;
    for (int i = 0; i < 5; ++i) REQUIRE_FALSE(admit("small"));
    short_deadline.deadline = now + 1;
    now += 1;
    CHECK(scheduler.Admit(short_deadline, now));
  }

  SECTION("Placement spreads over zones and racks") {
    for (int i = 0; i < 4; ++i) REQUIRE_FALSE(admit("small"));
    std::set<ServerId> used;
    for (const Placement& placement : dispatch()) used.insert(placement.server);
    CHECK(used.size() == 4);
  }

  SECTION("Large requests are placed by cores and memory, not by slots alone") {
    for (int i = 0; i < 6; ++i) {
      auto request = Request(next++, "small", now);
      request.size.cores = 5;
      REQUIRE_FALSE(scheduler.Admit(request, now));
    }
    CHECK(dispatch().size() == 4);
  }

  SECTION("A full pool is divided by share, and an unused share is lent and reclaimed") {
    std::deque<Placement> placed;
    const auto step = [&] {
      now += 10 * kMillisecond;
      for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
      REQUIRE_FALSE(placed.empty());
      scheduler.Finish(placed.front().id, TaskEnd::kDone, now);
      placed.pop_front();
      for (const Placement& placement : dispatch()) placed.push_back(placement);
    };
    for (int i = 0; i < 30; ++i) REQUIRE_FALSE(admit("small"));
    for (const Placement& placement : dispatch()) placed.push_back(placement);
    CHECK(scheduler.RunningOf("small") == 16);
    for (int i = 0; i < 14; ++i) REQUIRE_FALSE(admit("large"));
    for (int i = 0; i < 12; ++i) step();
    CHECK(scheduler.RunningOf("large") >= 12);
    double large = 0;
    for (int i = 0; i < 1000; ++i) {
      while (scheduler.QueuedOf("large") < 3) REQUIRE_FALSE(admit("large"));
      while (scheduler.QueuedOf("small") < 3) REQUIRE_FALSE(admit("small"));
      step();
      large += scheduler.RunningOf("large") / 1000.0;
    }
    CHECK(large / 16 == Approx(0.75).epsilon(0.02));
  }

  SECTION("The cap of a team is never exceeded") {
    for (int i = 0; i < 10; ++i) REQUIRE_FALSE(admit("small"));
    CHECK(scheduler.Dispatch([](const TeamId&) { return 3; }, now).size() == 3);
    CHECK(scheduler.Dispatch([](const TeamId&) { return 0; }, now).empty());
    CHECK(scheduler.RunningOf("small") == 3);
  }

  SECTION("A leaving, silent or blocked server gets no tasks") {
    auto leaving = Server(0);
    leaving.state = ServerState::kLeaving;
    scheduler.Announce(leaving, now);
    scheduler.SetBlockedVms({"vm1"});
    now += 2 * kSecond;
    scheduler.Announce(Server(2), now);
    now += kServerSilence - kSecond;
    for (int i = 0; i < 10; ++i) REQUIRE_FALSE(admit("small"));
    const auto placed = dispatch();
    CHECK(placed.size() == 4);
    for (const Placement& placement : placed) CHECK(placement.server == "s2");
    CHECK(scheduler.ready_slots() == 4);
  }

  SECTION("Tasks of an earlier owner occupy slots until they are no longer announced") {
    auto loaded = Server(0);
    loaded.tasks = {{"n0-z-1", 6, 100}, {"n0-z-2", 1, 100}};
    scheduler.Announce(loaded, now);
    CHECK(scheduler.ready_slots() == 14);
    for (int i = 0; i < 16; ++i) REQUIRE_FALSE(admit("small"));
    const auto placed = dispatch();
    CHECK(std::count_if(placed.begin(), placed.end(),
                        [](const Placement& p) { return p.server == "s0"; }) == 1);

    SECTION("and own tasks are not counted twice, started before or after the announcement") {
      for (const Placement& p : placed) {
        if (p.server == "s0") loaded.tasks = {{p.task_id, 1, 100}};
      }
      scheduler.Announce(loaded, now);
      CHECK(scheduler.ready_slots() == 16);
      CHECK(dispatch().size() == 3);
      scheduler.Announce(loaded, now);
      CHECK(scheduler.ready_slots() == 16);
    }
  }

  SECTION("A restarted server offers its slots again, and its lost tasks end once") {
    for (int i = 0; i < 16; ++i) REQUIRE_FALSE(admit("small"));
    const auto placed = dispatch();
    scheduler.Announce(Server(0, "i2"), now);
    for (int i = 0; i < 4; ++i) REQUIRE_FALSE(admit("small"));
    CHECK(dispatch().size() == 4);
    for (const Placement& p : placed) {
      if (p.server == "s0") {
        CHECK(scheduler.Finish(p.id, TaskEnd::kBroken, now) == FinishResult::kRequeued);
        CHECK(scheduler.Finish(p.id, TaskEnd::kBroken, now) != FinishResult::kFinished);
      }
    }
    CHECK(scheduler.running() == 16);
    CHECK(scheduler.queued() == 4);
    CHECK_FALSE(scheduler.FindViolation());
  }
}

TEST_CASE("Retries are safe and bounded") {
  PoolScheduler scheduler(Options());
  Micros now = kSecond;
  for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
  const auto start = [&] {
    const auto placed = scheduler.Dispatch(Unlimited, now);
    REQUIRE(placed.size() == 1);
    return placed.front();
  };

  SECTION("An idempotent request is tried on distinct servers and abandoned after three attempts") {
    REQUIRE_FALSE(scheduler.Admit(Request(1, "small", now), now));
    std::set<ServerId> servers;
    std::set<std::string> tasks;
    for (int attempt = 1; attempt <= 3; ++attempt) {
      const Placement placement = start();
      CHECK(placement.attempt == attempt);
      servers.insert(placement.server);
      tasks.insert(placement.task_id);
      CHECK(scheduler.Finish(1, TaskEnd::kServerFailed, now) ==
            (attempt < 3 ? FinishResult::kRequeued : FinishResult::kAbandoned));
    }
    CHECK(servers.size() == 3);
    CHECK(tasks.size() == 3);
    CHECK(scheduler.queued() == 0);
  }

  SECTION("A request that was sent once expires with an unknown outcome") {
    REQUIRE_FALSE(scheduler.Admit(Request(1, "small", now), now));
    start();
    REQUIRE(scheduler.Finish(1, TaskEnd::kBroken, now) == FinishResult::kRequeued);
    const auto refusals = scheduler.Expire(now + kMinute);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().may_have_run);
  }

  SECTION("A non-idempotent request waits for its claim and is retried only if nothing was sent") {
    auto request = Request(1, "small", now);
    request.queue = "bill";
    request.idempotent = false;
    REQUIRE_FALSE(scheduler.Admit(request, now));
    CHECK(scheduler.Dispatch(Unlimited, now).empty());
    CHECK(scheduler.TakeClaimCandidates(now) == std::vector<RequestId>{1});
    CHECK(scheduler.TakeClaimCandidates(now).empty());
    CHECK(scheduler.Dispatch(Unlimited, now).empty());

    SECTION("cancelled before its claim") {
      CHECK(scheduler.Cancel(1));
      scheduler.ConfirmClaim(1, now);
      CHECK(scheduler.Dispatch(Unlimited, now).empty());
    }
    SECTION("expired before its claim") {
      CHECK(scheduler.Expire(now + kMinute).size() == 1);
      CHECK(scheduler.queued() == 0);
    }
    SECTION("claimed") {
      scheduler.ConfirmClaim(1, now);
      start();
      CHECK(scheduler.Finish(1, TaskEnd::kNotSent, now) == FinishResult::kRequeued);
      start();
      CHECK(scheduler.Finish(1, TaskEnd::kBroken, now) == FinishResult::kAbandoned);
    }
  }
}

TEST_CASE("A server that fails its tasks is quarantined, unless the request is at fault") {
  SchedulerOptions options = Options();
  options.config.max_queue = 4000;
  PoolScheduler scheduler(options);
  Micros now = kSecond;
  RequestId next = 1;
  std::map<ServerId, int> starts;
  const auto run = [&](int rounds, bool s0_fails) {
    for (int round = 0; round < rounds; ++round) {
      now += 100 * kMillisecond;
      for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
      for (int i = 0; i < 8; ++i) scheduler.Admit(Request(next++, "small", now), now);
      for (const Placement& p : scheduler.Dispatch(Unlimited, now)) {
        ++starts[p.server];
        const bool fails = s0_fails && p.server == "s0";
        scheduler.Finish(p.id, fails ? TaskEnd::kServerFailed : TaskEnd::kDone, now);
      }
    }
  };
  run(20, false);
  starts.clear();
  run(50, true);
  CHECK(starts["s0"] < 10);
  CHECK(scheduler.ready_slots() == 12);
  SECTION("a successful trial task ends the quarantine of a repaired server") {
    run(400, false);
    CHECK(scheduler.ready_slots() == 16);
  }
  SECTION("each failed trial makes the next quarantine longer") {
    starts.clear();
    run(3000, true);  // five minutes
    CHECK(starts["s0"] < 10);
  }
  SECTION("a request that fails on every server quarantines none") {
    run(400, false);
    for (int i = 0; i < 20; ++i) {
      const RequestId failing_id = next++;
      REQUIRE_FALSE(scheduler.Admit(Request(failing_id, "large", now), now));
      int attempts = 0;
      FinishResult after = FinishResult::kRequeued;
      while (after == FinishResult::kRequeued) {
        REQUIRE(scheduler.Dispatch(Unlimited, now).size() == 1);
        after = scheduler.Finish(failing_id, TaskEnd::kServerFailed, now);
        ++attempts;
      }
      CHECK(attempts == 3);
      run(5, false);
    }
    CHECK(scheduler.ready_slots() == 16);
  }
}

TEST_CASE("Urgent requests get slots in a full pool") {
  PoolScheduler scheduler(Options());
  Micros now = kSecond;
  for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
  for (RequestId id = 1; id <= 18; ++id) {
    REQUIRE_FALSE(scheduler.Admit(Request(id, "large", now), now));
  }
  REQUIRE(scheduler.Dispatch(Unlimited, now).size() == 16);
  auto urgent = Request(100, "small", now);
  urgent.priority = Priority::kUrgent;
  REQUIRE_FALSE(scheduler.Admit(urgent, now));
  now += kSecond;
  for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
  const auto orders = scheduler.TakeOrders(now);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().kind == TaskOrderKind::kCheckpoint);
  CHECK(scheduler.TakeOrders(now).empty());
  CHECK(scheduler.Finish(orders.front().id, TaskEnd::kCheckpointed, now) ==
        FinishResult::kRequeued);
  const auto placed = scheduler.Dispatch(Unlimited, now);
  REQUIRE(placed.size() == 1);
  CHECK(placed.front().id == 100);
}

TEST_CASE("A team that marks all its requests as urgent does not take the pool") {
  SchedulerOptions options = Options();
  options.urgent.checkpoint = false;
  PoolScheduler scheduler(options);
  Micros now = kSecond;
  std::deque<RequestId> running;
  RequestId next = 1;
  double large = 0;
  for (int step = 0; step < 1500; ++step) {
    now += 10 * kMillisecond;
    for (int i = 0; i < 4; ++i) scheduler.Announce(Server(i), now);
    while (scheduler.QueuedOf("large") < 4) {
      REQUIRE_FALSE(scheduler.Admit(Request(next++, "large", now), now));
    }
    while (scheduler.QueuedOf("small") < 4) {
      auto urgent = Request(next++, "small", now);
      urgent.priority = Priority::kUrgent;
      REQUIRE_FALSE(scheduler.Admit(urgent, now));
    }
    for (const Placement& p : scheduler.Dispatch(Unlimited, now)) running.push_back(p.id);
    if (step >= 500) large += scheduler.RunningOf("large") / 1000.0;
    scheduler.Finish(running.front(), TaskEnd::kDone, now);
    running.pop_front();
  }
  CHECK(large / 16 == Approx(0.75).epsilon(0.05));
}

TEST_CASE(
    "An overrun is throttled, then checkpointed, and stopped only if it exhausts a shared server") {
  SchedulerOptions options = Options();
  PoolScheduler scheduler(options);
  Micros now = kSecond;
  auto server = Server(0);
  scheduler.Announce(server, now);
  for (RequestId id = 1; id <= 2; ++id) {
    auto request = Request(id, "small", now);
    request.deadline = now + kMinute;
    REQUIRE_FALSE(scheduler.Admit(request, now));
  }
  const auto placed = scheduler.Dispatch(Unlimited, now);
  REQUIRE(placed.size() == 2);
  const auto orders = [&](double cores) {
    std::vector<TaskOrderKind> kinds;
    for (int second = 0; second < 20; ++second) {
      now += kSecond;
      server.tasks = {{placed[0].task_id, cores, 500}, {placed[1].task_id, 1, 500}};
      scheduler.Announce(server, now);
      for (const TaskOrder& order : scheduler.TakeOrders(now)) {
        CHECK(order.id == placed[0].id);
        kinds.push_back(order.kind);
      }
    }
    return kinds;
  };
  SECTION("an overrun on a server with unused capacity gets no order") { CHECK(orders(3).empty()); }
  SECTION("a nearly full server") {
    CHECK(orders(6.5) ==
          std::vector<TaskOrderKind>{TaskOrderKind::kThrottle, TaskOrderKind::kCheckpoint});
  }
  SECTION("an overloaded server") {
    CHECK(orders(9) == std::vector<TaskOrderKind>{TaskOrderKind::kThrottle,
                                                  TaskOrderKind::kCheckpoint,
                                                  TaskOrderKind::kStop});
  }
}

TEST_CASE("Every admitted request ends exactly once under random events") {
  const auto seed = GENERATE(1, 2, 3, 4, 5, 6);
  Rng rng(seed);
  SchedulerOptions options = Options();
  options.config.max_queue = 200;
  PoolScheduler scheduler(options);
  std::map<RequestId, bool> open;  // admitted requests that have not ended; true while running
  std::map<RequestId, ServerId> server_of;
  std::map<ServerId, int> load;
  std::set<ServerId> leaving;
  std::vector<RequestId> held;
  const int cap = 9;
  RequestId next = 1;
  Micros now = kSecond;
  const auto end = [&](RequestId id) { REQUIRE(open.erase(id) == 1); };
  const auto pick = [&] {
    auto it = open.begin();
    std::advance(it, UniformBelow(rng, open.size()));
    return *it;
  };
  for (int step = 0; step < 4000; ++step) {
    now += static_cast<Micros>(UniformBelow(rng, 60 * kMillisecond));
    for (int i = 0; i < 4; ++i) {
      if (UniformBelow(rng, 10) != 0) continue;
      auto announcement = Server(i);
      if (UniformBelow(rng, 8) == 0) announcement.state = ServerState::kLeaving;
      if (UniformBelow(rng, 8) == 0) announcement.tasks.push_back({"n9-b-1", 1, 100});
      leaving.erase(announcement.server);
      if (announcement.state == ServerState::kLeaving) leaving.insert(announcement.server);
      scheduler.Announce(announcement, now);
    }
    auto request = Request(next++, UniformBelow(rng, 4) == 0 ? "small" : "large", now);
    request.deadline = now + static_cast<Micros>(UniformBelow(rng, 4 * kSecond));
    request.size.cores = static_cast<double>(UniformBelow(rng, 5));
    if (UniformBelow(rng, 3) == 0) {
      request.queue = "bill";
      request.idempotent = false;
    }
    if (UniformBelow(rng, 10) == 0) request.priority = Priority::kUrgent;
    if (!scheduler.Admit(request, now)) open[request.id] = false;
    for (const RequestId id : scheduler.TakeClaimCandidates(now)) held.push_back(id);
    while (!held.empty() && UniformBelow(rng, 2) == 0) {
      scheduler.ConfirmClaim(held.back(), now);
      held.pop_back();
    }
    for (const Refusal& refusal : scheduler.Expire(now)) {
      REQUIRE_FALSE(open.at(refusal.id));
      end(refusal.id);
    }
    for (const Placement& p : scheduler.Dispatch([cap](const TeamId&) { return cap; }, now)) {
      REQUIRE_FALSE(open.at(p.id));
      REQUIRE_FALSE(leaving.contains(p.server));
      open[p.id] = true;
      server_of[p.id] = p.server;
      REQUIRE(++load[p.server] <= 4);
    }
    REQUIRE(scheduler.RunningOf("large") <= cap);
    REQUIRE(scheduler.RunningOf("small") <= cap);
    for (const TaskOrder& order : scheduler.TakeOrders(now)) REQUIRE(open.at(order.id));
    while (!open.empty() && UniformBelow(rng, 3) != 0) {
      const auto [id, running] = pick();
      REQUIRE(scheduler.Cancel(id) == !running);
      if (!running) {
        end(id);
        continue;
      }
      const auto task_end =
          static_cast<TaskEnd>(UniformBelow(rng, 8) < 4 ? 0 : UniformBelow(rng, 5));
      --load[server_of[id]];
      open[id] = false;
      if (scheduler.Finish(id, task_end, now) != FinishResult::kRequeued) end(id);
    }
    const auto violation = scheduler.FindViolation();
    INFO(violation.value_or("none"));
    REQUIRE_FALSE(violation);
  }
  for (const RequestId id : scheduler.ReleaseQueued()) end(id);
  CHECK(static_cast<int>(open.size()) == scheduler.running());
}

}  // namespace godwitpaddle

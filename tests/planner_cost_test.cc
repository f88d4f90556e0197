#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "jobs/planner.h"

namespace godwitpaddle::jobs {
namespace {

// Guards against plans without a start whose cost grows with the product of services and waiting
// jobs.
TEST_CASE("a plan examines few steps when the workers of many services are full") {
  for (const auto& [services, jobs] :
       {std::pair(20, 300), std::pair(80, 300), std::pair(163, 30), std::pair(163, 300)}) {
    Configuration configuration{.version = 1};
    for (int i = 0; i < services; ++i) {
      const std::string name = "s" + std::to_string(i);
      configuration.services.push_back({.name = name});
      configuration.queues.push_back({.name = name,
                                      .host = "shop",
                                      .prefix = "/" + name + "/",
                                      .service = name,
                                      .attempts = 2,
                                      .timeout_ms = 1'000});
    }
    configuration.teams = {{.name = "mill", .keys = {"k1"}}};
    State state;
    state.Apply(Configure{.configuration = configuration});
    JobId id = 0;
    for (int i = 0; i < services; ++i) {
      const std::string name = "s" + std::to_string(i);
      state.Apply(RecordWorker{.record = {.id = name,
                                          .incarnation_ms = 1,
                                          .service = name,
                                          .capacity = {.cpu = 1'000, .memory_mb = 1'000}}});
      for (int job = 0; job < jobs; ++job) {
        state.Apply(Submit{.job = ++id,
                           .queue = name,
                           .key = "k1",
                           .wall_ms = 1'000 + job,
                           .spec = {.steps = {{.count = 1, .size = {.cpu = 4'000}}}}});
      }
    }
    StartPlanner planner(state);
    planner.Reset();
    const PlanInput input{
        .usable_workers =
            [&](const std::string& service) {
              return std::vector<UsableWorker>{{.worker = state.FindWorker(service)}};
            },
        .wall_ms = 2'000};
    for (int i = 0; i < 3; ++i) planner.Plan(input);
    const std::uint64_t before = state.scanned();
    constexpr int kPlans = 5;
    for (int i = 0; i < kPlans; ++i) CHECK(planner.Plan(input).starts.empty());
    const std::uint64_t scanned = (state.scanned() - before) / kPlans;
    INFO(services << " services with " << jobs << " waiting jobs each");
    CHECK(scanned < 5'000);
  }
}

}  // namespace
}  // namespace godwitpaddle::jobs

#include <catch2/catch.hpp>

#include "tests/job_soak_run.h"

namespace godwitpaddle::testing {
namespace {

// Guards against any breach of the promises of job control under the faults of the randomised run.
TEST_CASE("randomised runs of job control") {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const JobSoakResult result = RunJobSoak({.seed = seed, .steps = 400});
    INFO("seed " << seed << " " << JobSoakLine(result));
    for (const std::string& violation : result.violations) UNSCOPED_INFO(violation);
    CHECK(result.violations.empty());
    CHECK(result.accepted > 0);
  }
  SECTION("with waves, and losses of power right after acknowledgements") {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      const JobSoakResult result =
          RunJobSoak({.seed = seed, .steps = 1'000, .waves_and_power = true});
      INFO("seed " << seed << " " << JobSoakLine(result));
      for (const std::string& violation : result.violations) UNSCOPED_INFO(violation);
      CHECK(result.violations.empty());
      CHECK(result.maintained > 0);
    }
  }
  SECTION("seeds with waves and losses of power that failed once") {
    // 14, 24, 26: a worker restarted unnoticed between two orders; ends of its new incarnation were
    // forgotten by an acknowledgement meant for the former one. 91: a start meant for the former
    // incarnation gave the new one the longest lease, and the next leader took it for lapsed early.
    for (const std::uint64_t seed : {14, 24, 26, 91}) {
      const JobSoakResult result =
          RunJobSoak({.seed = seed, .steps = 1'500, .waves_and_power = true});
      INFO("seed " << seed << " " << JobSoakLine(result));
      for (const std::string& violation : result.violations) UNSCOPED_INFO(violation);
      CHECK(result.violations.empty());
    }
  }
  SECTION("seeds that failed once") {
    // A hold that acknowledged ends of a worker's former incarnation to the next one.
    for (const std::uint64_t seed : {12, 13, 20, 21, 22}) {
      const JobSoakResult result = RunJobSoak({.seed = seed, .steps = 1'000});
      INFO("seed " << seed << " " << JobSoakLine(result));
      for (const std::string& violation : result.violations) UNSCOPED_INFO(violation);
      CHECK(result.violations.empty());
    }
  }
  SECTION("the same seed gives the same run") {
    CHECK(JobSoakLine(RunJobSoak({.seed = 2, .steps = 150})) ==
          JobSoakLine(RunJobSoak({.seed = 2, .steps = 150})));
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

#include "decision/service_level.h"

#include <catch2/catch.hpp>

namespace godwitpaddle {
namespace {

struct Fixture {
  FleetConfig config;
  BurnHistory history;
  std::map<std::string, QueueCounts> counts;
  Micros now = 1'000 * kSecond;

  Fixture() { config.queues["quotes"].objective = 0.99; }

  // Counts `good` requests in time and `bad` late ones in each sample interval of `length`.
  void Run(Micros length, int good, int bad) {
    for (const Micros end = now + length; now < end; now += kBurnSampleInterval) {
      counts["n1"]["quotes"].in_time += good;
      counts["n1"]["quotes"].late += bad;
      SampleServiceCounts(history, counts, now);
    }
  }

  BurnRate Line(Micros window) {
    for (const BurnRate& line : BurnRates(history, config, now)) {
      if (line.window == window) return line;
    }
    throw std::logic_error("no such window");
  }
};

// Guards against burn rates that are distorted by a change of leader, a restart or dropped samples.
TEST_CASE_METHOD(Fixture, "burn rate of an error budget") {
  SECTION("each outcome has its counter") {
    ServiceCounts one;
    for (const auto outcome : {ServiceOutcome::kInTime, ServiceOutcome::kLate,
                               ServiceOutcome::kRefused, ServiceOutcome::kFailed}) {
      Count(one, outcome);
    }
    CHECK(one == ServiceCounts{.in_time = 1, .late = 1, .refused = 1, .failed = 1});
  }
  SECTION("without requests or samples the burn rate is 0") {
    CHECK(Line(5 * kMinute).rate == 0);
    Run(kMinute, 0, 0);
    CHECK(Line(5 * kMinute).rate == 0);
  }
  SECTION("one late request in a hundred gives rate 1 for an objective of 0.99") {
    Run(20 * kMinute, 99, 1);
    CHECK(Line(5 * kMinute).rate == Approx(1.0));
    SECTION("a short fault shows in the short window first") {
      Run(5 * kMinute, 90, 10);
      CHECK(Line(5 * kMinute).rate == Approx(10.0).epsilon(0.05));
      CHECK(Line(60 * kMinute).rate == Approx(2.8).epsilon(0.05));
    }
  }
  SECTION("requests counted before the first sample lie outside every window") {
    counts["n1"]["quotes"].failed = 1'000'000;
    Run(10 * kMinute, 100, 0);
    CHECK(Line(360 * kMinute).rate == 0);
    SECTION("the counts of an incarnation that ended are kept") {
      const std::uint64_t before = Line(60 * kMinute).counts.in_time;
      counts.erase("n1");
      SampleServiceCounts(history, counts, now);
      CHECK(Line(60 * kMinute).counts.in_time == before);
    }
  }
  SECTION("the number of samples stays bounded over a day, and windows keep their length") {
    Run(Micros{24} * 60 * kMinute, 100, 0);
    CHECK(history.samples.size() < 200);
    for (const Micros window : {5 * kMinute, 60 * kMinute, 360 * kMinute}) {
      const Micros expected = 100 * (window / kBurnSampleInterval);
      CHECK(static_cast<double>(Line(window).counts.in_time) ==
            Approx(static_cast<double>(expected)).epsilon(0.05));
    }
  }
}

}  // namespace
}  // namespace godwitpaddle

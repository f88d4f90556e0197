#include "decision/config.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "decision/config_diff.h"

namespace godwitpaddle {
namespace {

using Files = std::map<std::string, std::string>;

const Files base_files = {{"10-pools.json", R"({
  // one service, two VMs
  "pools": {"quoting": {"service": "quoting", "min_available": 1}},
  "vms": {
    "q1": {"pool": "quoting", "zone": "a", "rack": "a1", "cores": 8},
    "q2": {"pool": "quoting", "zone": "b", "rack": "b1", "cores": 8}
  }
})"},
                          {"20-teams.json", R"({"teams": {"dyers": {"share": 2, "limit": 40}},
 "queues": {"quotes": {"pool": "quoting", "teams": ["dyers"]}}})"}};

Files With(const std::string& name, const std::string& text) {
  Files files = base_files;
  files[name] = text;
  return files;
}

/// Returns the first error of the base files with one more file.
ConfigError ErrorOf(const std::string& text, const std::string& name = "30-more.json") {
  const MergeResult result = MergeConfig(With(name, text));
  if (result.errors.empty()) return {.reason = "accepted"};
  return result.errors.front();
}

TEST_CASE("configuration files are merged") {
  const MergeResult base = MergeConfig(base_files);
  REQUIRE(base.ok());
  CHECK(base.config.pools.at("quoting").min_available == 1);
  CHECK(base.config.vms.at("q1").cores == 8);
  CHECK(base.config.queues.at("quotes").teams == std::set<TeamId>{"dyers"});

  // Guards against files merged in another order than that of their names, and against lists that
  // are merged instead of replaced.
  SECTION("a later file changes one setting, replaces a list and removes an entry") {
    const MergeResult result = MergeConfig(With("30-more.json", R"({
      "pools": {"quoting": {"min_available": 0}},
      "queues": {"quotes": {"teams": []}},
      "vms": {"q2": null}})"));
    REQUIRE(result.ok());
    CHECK(result.config.pools.at("quoting").service == "quoting");
    CHECK(result.config.queues.at("quotes").teams.empty());
    CHECK(result.config.vms.count("q2") == 0);
    CHECK(DescribeDiff(base.config, result.config) ==
          "~ /pools/quoting/min_available 1 -> 0\n"
          "~ /queues/quotes/teams [\"dyers\"] -> []\n"
          "- /vms/q2 {\"accelerators\":0,\"cores\":8,\"memory_mb\":0,\"pool\":\"quoting\","
          "\"rack\":\"b1\",\"region\":\"\",\"zone\":\"b\"}\n");
  }
  SECTION("a file does not override one with a later name") {
    CHECK(MergeConfig(With("00-first.json", R"({"teams": {"dyers": {"limit": 1}}})"))
              .config.teams.at("dyers")
              .limit == 40);
  }
  CHECK(DescribeDiff(base.config, base.config).empty());
}

// Guards against invalid input that is accepted, that ends the merge with an exception, or that is
// reported without its file and line.
TEST_CASE("invalid configuration is refused with file, line and reason") {
  SECTION("syntax errors name file and line") {
    const ConfigError error = ErrorOf("{\n  \"teams\": {,}\n}");
    CHECK(error.file == "30-more.json");
    CHECK(error.line == 2);
  }
  SECTION("errors on unknown names suggest the closest known name") {
    const ConfigError error = ErrorOf("{\"pools\":\n {\"quoting\": {\"min_availabel\": 2}}}");
    CHECK(error.path == "/pools/quoting/min_availabel");
    CHECK(error.line == 2);
    CHECK(error.reason.find("\"min_available\"") != std::string::npos);
    CHECK(ErrorOf(R"({"poools": {}})").reason.find("\"pools\"") != std::string::npos);
    CHECK(ErrorOf(R"({"pools": {"quoting": {"min_availabel": null}}})").path ==
          "/pools/quoting/min_availabel");
  }
  SECTION("values of the wrong type or out of range are refused") {
    for (const char* text :
         {"[]", "3", "", R"({"pools": []})", R"({"pools": {"quoting": 1}})",
          R"({"teams": {"dyers": {"limit": -1}}})", R"({"teams": {"dyers": {"limit": 1.5}}})",
          R"({"teams": {"dyers": {"limit": 1e999}}})", R"({"teams": {"dyers": {"limit": "9"}}})",
          R"({"teams": {"dyers": {"limit": 18446744073709551615}}})",
          R"({"teams": {"dyers": {"share": -2}}})", R"({"teams": {"a:b": {}}})",
          R"({"queues": {"quotes": {"teams": ["dyers", "dyers"]}}})",
          R"({"fleet": {"review": "never"}})", R"({"teams": {}, "teams": {}})",
          "{\"a\": \"\xff\"}"}) {
      CAPTURE(text);
      CHECK(ErrorOf(text).file == "30-more.json");
    }
  }
  SECTION("the merged configuration is checked") {
    const ConfigError budget = ErrorOf("{\"pools\": {\"quoting\":\n{\"min_available\": 3}}}");
    CHECK(budget.file == "30-more.json");
    CHECK(budget.line == 2);
    CHECK(budget.reason == "is 3, but the pool has 2 VMs");
    CHECK(ErrorOf(R"({"vms": {"q2": null}, "pools": {"quoting": {"min_available": 2}}})").path ==
          "/pools/quoting/min_available");
    CHECK(ErrorOf(R"({"vms": {"q3": {"zone": "a", "pool": "qouting"}}})").path == "/vms/q3/pool");
    CHECK(ErrorOf(R"({"vms": {"q3": {"pool": "quoting"}}})").reason == "needs a zone");
    CHECK(ErrorOf(R"({"queues": {"q": {"pool": "quoting", "open": true}}})").path == "/queues/q");
    CHECK(ErrorOf(R"({"queues": {"quotes": {"teams": ["x"]}}})").path == "/queues/quotes/teams");
    CHECK(ErrorOf(R"({"teams": {"dyers": {"share": 0}}})").path == "/teams/dyers/share");
    CHECK(ErrorOf(R"({"waves": {"w": {"pools": ["x"]}}})").path == "/waves/w/pools");
  }
  SECTION("deep nesting is an error and does not crash") {
    std::string text = R"({"fleet": )";
    for (int i = 0; i < 100'000; ++i) text += "[";
    CHECK(ErrorOf(text).file == "30-more.json");
    for (int i = 0; i < 100'000; ++i) text += "]";
    CHECK(ErrorOf(text + "}").reason == "is nested deeper than any setting");
  }
}

}  // namespace
}  // namespace godwitpaddle

#ifndef GODWITPADDLE_TESTS_DRAWN_CONFIGURATIONS_H_
#define GODWITPADDLE_TESTS_DRAWN_CONFIGURATIONS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/random.h"
#include "jobs/types.h"

namespace godwitpaddle::testing {

/// Where a job is submitted, and by which team.
struct JobOrigin {
  std::string prefix = "/q/";
  std::size_t team = 0;
};

/// Draws the configurations of a soak run whose operators rename, exchange, move, remove and bring
/// back queues, send them to another service, and do the same to teams and their keys. Remembers
/// them, so that answers can be checked: a call may be handled under each version from the highest
/// acknowledged one on when it was made.
class DrawnConfigurations {
 public:
  static constexpr std::array<const char*, 3> kPrefixes = {"/q/", "/c/", "/x/"};
  static constexpr std::size_t kTeams = 2;
  static constexpr std::int64_t kTeamCpu = 14'000;  // limit of each team

  jobs::Configuration Draw(std::uint64_t version, Rng& rng);
  /// Returns a configuration that has all queues and teams.
  jobs::Configuration Complete(std::uint64_t version);

  /// The key of the team that no version replaces.
  static std::string LastingKey(std::size_t team) { return "lasting-" + std::to_string(team); }
  /// The key of the team that versions replace.
  std::string NewestKey(std::size_t team) const;

  /// Whether each version from this one on has the queue, or none has it.
  bool AlwaysHasQueue(std::uint64_t since, const std::string& prefix) const;
  bool NeverHasQueue(std::uint64_t since, const std::string& prefix) const;
  bool AlwaysHasKey(std::uint64_t since, const std::string& key) const;
  /// Whether any version sends the queue to the service.
  bool HasSent(const std::string& prefix, const std::string& service) const {
    return sent_.contains({prefix, service});
  }

 private:
  struct TeamDraw {
    std::string name;
    std::uint64_t key = 0;  // number of the replaced keys
    bool present = true;
  };
  struct Version {
    std::set<std::string> prefixes;
    std::set<std::string> keys;
  };

  void ChangeTeams(std::uint64_t version, Rng& rng);
  void ChangeQueues(std::uint64_t version, Rng& rng);
  jobs::Configuration Record(std::uint64_t version);
  bool EachSince(std::uint64_t since, const std::function<bool(const Version&)>& holds) const;

  std::array<std::string, 3> names_ = {"quotes", "copies", "extras"};
  std::array<bool, 3> present_ = {true, true, true};
  bool extras_to_print_ = true;  // the last queue goes to either service
  std::array<TeamDraw, kTeams> teams_ = {TeamDraw{.name = "mill"}, TeamDraw{.name = "loom"}};
  std::map<std::uint64_t, Version> versions_;
  std::set<std::pair<std::string, std::string>> sent_;  // prefix and service
};

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_DRAWN_CONFIGURATIONS_H_

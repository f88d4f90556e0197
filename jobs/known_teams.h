#ifndef GODWITPADDLE_JOBS_KNOWN_TEAMS_H_
#define GODWITPADDLE_JOBS_KNOWN_TEAMS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jobs/types.h"

namespace godwitpaddle::jobs {

/// Identifies a team across configurations; 0: none.
using TeamNumber = std::uint32_t;

/// A team of the configuration, or a removed one that has jobs, as the newest configuration that
/// has it describes it.
struct KnownTeam {
  TeamNumber number = 0;
  Team team;
  bool in_force = false;  // the configuration has it
  MSGPACK_DEFINE(number, team, in_force)

  // Of the jobs in the state. Derived, not stored.
  std::size_t jobs = 0;  // all of them, ended ones included
  Resources used;        // sum of Step::size over the assigned tasks
};

/// Follows the teams across configurations. A call names its team by a key only, so a team of the
/// next configuration is the present team with which it shares a key. If it shares none, it is the
/// team of the same name, unless that one is found by its keys.
class KnownTeams {
 public:
  void Configure(const std::vector<Team>& teams);
  /// Returns the team of the configuration that has the key; null if there is none.
  KnownTeam* FindByKey(const std::string& key);
  const KnownTeam* FindByKey(const std::string& key) const;
  /// Returns the team of the configuration with this name; null if there is none.
  KnownTeam* FindByName(const std::string& name);
  KnownTeam* FindByNumber(TeamNumber number);
  const KnownTeam* FindByNumber(TeamNumber number) const;
  void RemoveJob(KnownTeam& known);

  /// The teams in the form that a snapshot stores.
  struct Stored {
    TeamNumber last_number = 0;
    std::vector<KnownTeam> teams;
    MSGPACK_DEFINE(last_number, teams)
  };
  Stored Store() const;
  /// Replaces all teams. They have no jobs until the caller has counted these.
  void Restore(Stored stored);
  void RemoveUnused();

 private:
  TeamNumber last_number_ = 0;
  std::map<TeamNumber, KnownTeam> teams_;
};

}  // namespace godwitpaddle::jobs

#endif  // GODWITPADDLE_JOBS_KNOWN_TEAMS_H_

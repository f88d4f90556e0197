#include "jobs/known_teams.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

/// Number of the keys that both teams have.
std::ptrdiff_t CountSharedKeys(const Team& a, const Team& b) {
  return std::ranges::count_if(a.keys, [&](const std::string& key) {
    return std::ranges::find(b.keys, key) != b.keys.end();
  });
}

}  // namespace

void KnownTeams::Configure(const std::vector<Team>& teams) {
  std::multimap<std::string_view, KnownTeam*> by_name;
  for (auto& [number, known] : teams_) {
    known.in_force = false;
    by_name.emplace(known.team.name, &known);
  }
  const auto named = [&](const Team& team, const auto& suits) -> KnownTeam* {
    const auto [first, last] = by_name.equal_range(team.name);
    const auto found = std::find_if(first, last, [&](const auto& entry) {
      return !entry.second->in_force && suits(*entry.second);
    });
    return found == last ? nullptr : found->second;
  };
  std::vector<KnownTeam*> found(teams.size(), nullptr);
  const auto find_each = [&](const auto& find) {
    for (std::size_t i = 0; i < teams.size(); ++i) {
      if (found[i] != nullptr) continue;
      found[i] = find(teams[i]);
      if (found[i] != nullptr) found[i]->in_force = true;
    }
  };
  // A team that is split in two goes on as the one that has its name.
  find_each([&](const Team& team) {
    return named(team, [&](const KnownTeam& one) { return CountSharedKeys(one.team, team) > 0; });
  });
  find_each([&](const Team& team) {
    KnownTeam* best = nullptr;
    std::ptrdiff_t most = 0;
    for (auto& [number, known] : teams_) {
      const std::ptrdiff_t shared = known.in_force ? 0 : CountSharedKeys(known.team, team);
      if (shared <= most) continue;
      best = &known;
      most = shared;
    }
    return best;
  });
  find_each([&](const Team& team) { return named(team, [](const KnownTeam&) { return true; }); });
  by_name.clear();  // its keys are the names that change now
  for (std::size_t i = 0; i < teams.size(); ++i) {
    if (found[i] == nullptr) {
      const TeamNumber number = ++last_number_;
      found[i] = &(teams_[number] = {.number = number, .in_force = true});
    }
    found[i]->team = teams[i];
  }
  RemoveUnused();
}

const KnownTeam* KnownTeams::FindByKey(const std::string& key) const {
  for (const auto& [number, known] : teams_) {
    if (known.in_force && std::ranges::find(known.team.keys, key) != known.team.keys.end()) {
      return &known;
    }
  }
  return nullptr;
}

KnownTeam* KnownTeams::FindByKey(const std::string& key) {
  return const_cast<KnownTeam*>(std::as_const(*this).FindByKey(key));
}

KnownTeam* KnownTeams::FindByName(const std::string& name) {
  for (auto& [number, known] : teams_) {
    if (known.in_force && known.team.name == name) return &known;
  }
  return nullptr;
}

KnownTeam* KnownTeams::FindByNumber(TeamNumber number) {
  const auto found = teams_.find(number);
  return found == teams_.end() ? nullptr : &found->second;
}

const KnownTeam* KnownTeams::FindByNumber(TeamNumber number) const {
  const auto found = teams_.find(number);
  return found == teams_.end() ? nullptr : &found->second;
}

void KnownTeams::RemoveJob(KnownTeam& known) {
  if (--known.jobs == 0 && !known.in_force) teams_.erase(known.number);
}

KnownTeams::Stored KnownTeams::Store() const {
  Stored stored{.last_number = last_number_};
  stored.teams.reserve(teams_.size());
  for (const auto& [number, known] : teams_) stored.teams.push_back(known);
  return stored;
}

void KnownTeams::Restore(Stored stored) {
  *this = {};
  last_number_ = stored.last_number;
  for (KnownTeam& one : stored.teams) {
    const TeamNumber number = one.number;
    teams_[number] = std::move(one);
  }
}

void KnownTeams::RemoveUnused() {
  std::erase_if(teams_,
                [](const auto& entry) { return entry.second.jobs == 0 && !entry.second.in_force; });
}

}  // namespace godwitpaddle::jobs

#include "tests/drawn_configurations.h"

#include <algorithm>

namespace godwitpaddle::testing {

jobs::Configuration DrawnConfigurations::Draw(std::uint64_t version, Rng& rng) {
  // What was removed is soon brought back: refused calls test little.
  for (bool& present : present_) present = present || UniformBelow(rng, 2) == 0;
  for (TeamDraw& team : teams_) team.present = team.present || UniformBelow(rng, 2) == 0;
  ChangeQueues(version, rng);
  if (UniformBelow(rng, 2) == 0) ChangeTeams(version, rng);
  return Record(version);
}

jobs::Configuration DrawnConfigurations::Complete(std::uint64_t version) {
  present_.fill(true);
  for (TeamDraw& team : teams_) team.present = true;
  return Record(version);
}

void DrawnConfigurations::ChangeQueues(std::uint64_t version, Rng& rng) {
  const std::size_t one = UniformBelow(rng, names_.size());
  const std::size_t other = UniformBelow(rng, names_.size());
  switch (UniformBelow(rng, 5)) {
    case 0:
      names_[one] = "queue-" + std::to_string(version);
      break;
    case 1:
      std::swap(names_[one], names_[other]);
      break;
    case 2:  // the name moves, and its former prefix gets another one
      names_[other] = names_[one];
      names_[one] = "queue-" + std::to_string(version);
      break;
    case 3:
      present_[one] = !present_[one];
      break;
    default:
      extras_to_print_ = !extras_to_print_;
  }
}

void DrawnConfigurations::ChangeTeams(std::uint64_t version, Rng& rng) {
  TeamDraw& one = teams_[UniformBelow(rng, kTeams)];
  switch (UniformBelow(rng, 4)) {
    case 0:
      one.name = "team-" + std::to_string(version);
      break;
    case 1:
      std::swap(teams_[0].name, teams_[1].name);
      break;
    case 2:
      ++one.key;
      break;
    default:
      one.present = !one.present;
  }
}

jobs::Configuration DrawnConfigurations::Record(std::uint64_t version) {
  jobs::Configuration configuration{.version = version, .document = std::to_string(version)};
  configuration.services = {{.name = "print"}, {.name = "copy"}, {.name = "off", .standby = true}};
  Version& recorded = versions_[version];
  for (std::size_t i = 0; i < names_.size(); ++i) {
    if (!present_[i]) continue;
    const std::string prefix = kPrefixes[i];
    const bool print = prefix == "/q/" || (prefix == "/x/" && extras_to_print_);
    configuration.queues.push_back({.name = names_[i],
                                    .host = "shop",
                                    .prefix = prefix,
                                    .service = print ? "print" : "copy",
                                    .attempts = 3,
                                    .stretch = 2,
                                    .target_latency_ms = 600,
                                    .timeout_ms = 3'000});
    recorded.prefixes.insert(prefix);
    sent_.emplace(prefix, configuration.queues.back().service);
  }
  for (std::size_t i = 0; i < kTeams; ++i) {
    if (!teams_[i].present) continue;
    configuration.teams.push_back({.name = teams_[i].name,
                                   .keys = {LastingKey(i), NewestKey(i)},
                                   .limit = {.cpu = kTeamCpu}});
    recorded.keys.insert({LastingKey(i), NewestKey(i)});
  }
  return configuration;
}

std::string DrawnConfigurations::NewestKey(std::size_t team) const {
  return "key-" + std::to_string(team) + "-" + std::to_string(teams_[team].key);
}

bool DrawnConfigurations::EachSince(std::uint64_t since,
                                    const std::function<bool(const Version&)>& holds) const {
  return std::all_of(versions_.lower_bound(since), versions_.end(),
                     [&](const auto& entry) { return holds(entry.second); });
}

bool DrawnConfigurations::AlwaysHasQueue(std::uint64_t since, const std::string& prefix) const {
  return EachSince(since, [&](const Version& one) { return one.prefixes.contains(prefix); });
}

bool DrawnConfigurations::NeverHasQueue(std::uint64_t since, const std::string& prefix) const {
  return EachSince(since, [&](const Version& one) { return !one.prefixes.contains(prefix); });
}

bool DrawnConfigurations::AlwaysHasKey(std::uint64_t since, const std::string& key) const {
  return EachSince(since, [&](const Version& one) { return one.keys.contains(key); });
}

}  // namespace godwitpaddle::testing

#include "jobs/types.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <set>
#include <string_view>
#include <utility>

namespace godwitpaddle::jobs {
namespace {

/// Parses a decimal number that `end` follows, or that ends the text if `end` is '\0'. Removes the
/// number and `end` from `text`.
std::optional<std::uint32_t> ConsumeNumber(std::string_view& text, char end) {
  std::uint32_t value = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
  if (end == '\0') return text.empty() ? std::optional(value) : std::nullopt;
  if (text.empty() || text.front() != end) return std::nullopt;
  text.remove_prefix(1);
  return value;
}

template <typename Item>
const Item* FindNamed(const std::vector<Item>& items, const std::string& name) {
  for (const Item& item : items) {
    if (item.name == name) return &item;
  }
  return nullptr;
}

std::string CheckQueues(const Configuration& configuration) {
  std::set<std::pair<std::string, std::string>> routes;
  for (const Queue& queue : configuration.queues) {
    if (queue.timeout_ms <= 0) return "queue " + queue.name + " has no timeout";
    if (FindService(configuration, queue.service) == nullptr) {
      return "queue " + queue.name + " names an unknown service";
    }
    if (!routes.emplace(queue.host, queue.prefix).second) {
      return "queue " + queue.name + " has the same host and prefix as another queue";
    }
  }
  return {};
}

std::string CheckTeams(const Configuration& configuration) {
  std::set<std::string> keys;
  for (const Team& team : configuration.teams) {
    if (team.weight <= 0) return "team " + team.name + " has a weight that is not positive";
    for (const std::string& key : team.keys) {
      if (!keys.insert(key).second) {
        return "team " + team.name + " has a key that is already in use";
      }
    }
  }
  return {};
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu += other.cpu;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu -= other.cpu;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsInto(const Resources& room) const {
  return cpu <= room.cpu && memory_mb <= room.memory_mb && accelerators <= room.accelerators;
}

Resources operator+(Resources a, const Resources& b) { return a += b; }
Resources operator-(Resources a, const Resources& b) { return a -= b; }

Resources Step::footprint() const {
  Resources room = size;
  if (best_effort_cpu) room.cpu = 0;
  return room;
}

std::string FormatJob(JobId job) {
  std::array<char, kJobDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(job));
  return text.data();
}

std::optional<JobId> ParseJob(const std::string& text) {
  if (text.size() != kJobDigits) return std::nullopt;
  JobId job = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, job, 16);
  if (error != std::errc() || rest != end) return std::nullopt;
  return job;
}

std::string FormatPath(const JobPath& path) { return path.prefix + FormatJob(path.job); }

std::optional<JobPath> ParseJobPath(const std::string& host, const std::string& path) {
  if (path.size() < kJobDigits) return std::nullopt;
  const std::size_t prefix_size = path.size() - kJobDigits;
  const auto job = ParseJob(path.substr(prefix_size));
  if (!job) return std::nullopt;
  return JobPath{.host = host, .prefix = path.substr(0, prefix_size), .job = *job};
}

std::string FormatStep(const TaskId& task) {
  return FormatJob(task.job) + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step);
}

std::string FormatTask(const TaskId& task) {
  return FormatStep(task) + "." + std::to_string(task.index);
}

std::string FormatSteps(const std::vector<Step>& steps) {
  std::string text;
  for (const Step& step : steps) {
    if (!text.empty()) text += ',';
    text += std::to_string(step.count) + "x" + std::to_string(step.size.cpu) + "c/" +
            std::to_string(step.size.memory_mb) + "m/" + std::to_string(step.estimate_ms) + "ms";
    for (const std::uint32_t dependency : step.depends_on) text += "<" + std::to_string(dependency);
    if (step.long_running) text += '*';
  }
  return text;
}

std::optional<TaskId> ParseTask(const std::string& text) {
  if (text.size() < kJobDigits + 1 || text[kJobDigits] != '.') return std::nullopt;
  const auto job = ParseJob(text.substr(0, kJobDigits));
  std::string_view rest(text);
  rest.remove_prefix(kJobDigits + 1);
  const auto occurrence = ConsumeNumber(rest, '.');
  const auto step = occurrence ? ConsumeNumber(rest, '.') : std::nullopt;
  const auto index = step ? ConsumeNumber(rest, '\0') : std::nullopt;
  if (!job || !index) return std::nullopt;
  return TaskId{.job = *job, .occurrence = *occurrence, .step = *step, .index = *index};
}

std::string CheckConfiguration(const Configuration& configuration) {
  std::string error = CheckQueues(configuration);
  return error.empty() ? CheckTeams(configuration) : error;
}

const Queue* FindQueue(const Configuration& configuration, const std::string& host,
                       const std::string& path) {
  const Queue* best = nullptr;
  for (const Queue& queue : configuration.queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

const Queue* FindQueueAt(const Configuration& configuration, const std::string& host,
                         const std::string& prefix) {
  for (const Queue& queue : configuration.queues) {
    if (queue.host == host && queue.prefix == prefix) return &queue;
  }
  return nullptr;
}

const Queue* FindQueueByName(const Configuration& configuration, const std::string& name) {
  return FindNamed(configuration.queues, name);
}

const Service* FindService(const Configuration& configuration, const std::string& name) {
  return FindNamed(configuration.services, name);
}

const Team* FindTeamByKey(const Configuration& configuration, const std::string& key) {
  for (const Team& team : configuration.teams) {
    for (const std::string& known : team.keys) {
      if (known == key) return &team;
    }
  }
  return nullptr;
}

bool WorkerRecord::operator==(const WorkerRecord& other) const {
  return id == other.id && incarnation_ms == other.incarnation_ms && address == other.address &&
         service == other.service && zone == other.zone && vm == other.vm &&
         labels == other.labels && phase == other.phase && capacity.cpu == other.capacity.cpu &&
         capacity.memory_mb == other.capacity.memory_mb &&
         capacity.accelerators == other.capacity.accelerators;
}

}  // namespace godwitpaddle::jobs

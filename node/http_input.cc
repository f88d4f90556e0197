#include "node/http_input.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace godwitpaddle {
namespace {

constexpr std::size_t kMaxRequestId = 128;
constexpr std::size_t kMaxTasksAnnounced = 10'000;
constexpr std::size_t kMaxName = 128;
constexpr std::int64_t kMaxCores = 4'096;
constexpr std::int64_t kMaxMemoryMb = 64LL << 20;
constexpr std::int64_t kMaxRunMs = 7LL * 24 * 3'600 * 1'000;

std::int64_t ParseInteger(std::string_view text, const std::string& what, std::int64_t low,
                          std::int64_t high) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < low || value > high) {
    throw InputError(what + " must be a whole number from " + std::to_string(low) + " to " +
                     std::to_string(high));
  }
  return value;
}

std::string ReadName(const nlohmann::json& object, const char* key) {
  auto text = object.at(key).get<std::string>();
  if (text.empty() || text.size() > kMaxName) {
    throw InputError(std::string(key) + " must have 1 to " + std::to_string(kMaxName) +
                     " characters");
  }
  return text;
}

template <typename Number>
Number ReadNumber(const nlohmann::json& object, const char* key, Number low, Number high) {
  const auto value = object.at(key).get<Number>();
  if (!(value >= low && value <= high)) throw InputError(std::string(key) + " is out of range");
  return value;
}

std::vector<RunningTask> ReadTasks(const nlohmann::json& object) {
  std::vector<RunningTask> tasks;
  if (!object.contains("tasks")) return tasks;
  const auto& list = object.at("tasks");
  if (list.size() > kMaxTasksAnnounced) throw InputError("too many tasks");
  for (const auto& item : list) {
    tasks.push_back({.task_id = ReadName(item, "id"),
                     .cores = item.value("cores", 0.0),
                     .memory_mb = item.value("memory_mb", std::int64_t{0})});
  }
  return tasks;
}

}  // namespace

std::string HeaderOf(const HttpEvent& request, const std::string& name) {
  const auto header = request.headers.find(name);
  return header == request.headers.end() ? std::string() : header->second;
}

std::int64_t IntegerHeader(const HttpEvent& request, const std::string& name, std::int64_t low,
                           std::int64_t high, std::int64_t fallback) {
  const std::string text = HeaderOf(request, name);
  return text.empty() ? fallback : ParseInteger(text, "header " + name, low, high);
}

TaskSize ReadTaskSize(const HttpEvent& request) {
  TaskSize size;
  size.cores = static_cast<double>(IntegerHeader(request, "x-cores", 0, kMaxCores, 0));
  size.memory_mb = IntegerHeader(request, "x-memory-mb", 0, kMaxMemoryMb, 0);
  size.accelerators = static_cast<int>(IntegerHeader(request, "x-accelerators", 0, kMaxCores, 0));
  size.run_time = IntegerHeader(request, "x-run-ms", 0, kMaxRunMs, 0) * kMillisecond;
  return size;
}

Priority ReadPriority(const HttpEvent& request) {
  const std::string text = HeaderOf(request, "x-priority");
  if (text.empty()) return Priority::kNormal;
  const auto priority = ValueOf<Priority>(kPriorityNames, text);
  if (!priority) throw InputError("header x-priority must be urgent or normal");
  return *priority;
}

WallMs RequestIdTime(std::string_view id) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  const std::size_t dash = id.find('-');
  if (id.size() > kMaxRequestId || dash == std::string_view::npos || dash == 0 ||
      !std::all_of(id.begin(), id.end(), allowed)) {
    throw InputError(
        "the idempotency key must look like 1764812520000-anything (milliseconds since 1970, then "
        "letters, "
        "digits, - _ . up to 128 characters)");
  }
  return ParseInteger(id.substr(0, dash), "the time in the idempotency key", 0, 1LL << 53);
}

Announcement ReadAnnouncement(const std::string& body) {
  try {
    const auto json = nlohmann::json::parse(body);
    Announcement announcement{
        .server = ReadName(json, "server"),
        .incarnation = ReadName(json, "incarnation"),
        .sequence = json.value("sequence", std::uint64_t{0}),
        .vm = ReadName(json, "vm"),
        .rack = json.value("rack", ""),
        .zone = json.value("zone", ""),
        .service = ReadName(json, "service"),
        .address = ReadName(json, "address"),
        .slots = ReadNumber<int>(json, "slots", 1, 10'000),
        .connections = ReadNumber<int>(json, "connections", 1, 100'000),
        .cores = json.value("cores", 0.0),
        .memory_mb = json.value("memory_mb", std::int64_t{0}),
        .accelerators = json.value("accelerators", 0),
    };
    const auto state = ValueOf<ServerState>(kServerStateNames, json.value("state", "ready"));
    if (!state) throw InputError("state must be ready or leaving");
    announcement.state = *state;
    announcement.tasks = ReadTasks(json);
    return announcement;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("announcement: ") + error.what());
  }
}

}  // namespace godwitpaddle

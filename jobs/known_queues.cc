#include "jobs/known_queues.h"

namespace godwitpaddle::jobs {

TeamLoad& TeamLoad::operator+=(const TeamLoad& other) {
  used += other.used;
  waiting += other.waiting;
  open_cpu_ms += other.open_cpu_ms;
  open_memory_ms += other.open_memory_ms;
  return *this;
}

TeamLoad& TeamLoad::operator-=(const TeamLoad& other) {
  used -= other.used;
  waiting -= other.waiting;
  open_cpu_ms -= other.open_cpu_ms;
  open_memory_ms -= other.open_memory_ms;
  return *this;
}

void KnownQueues::Configure(const Configuration& configuration) {
  for (const Queue& queue : configuration.queues) {
    const auto found = by_place_.find({queue.host, queue.prefix});
    if (found != by_place_.end()) found->second.queue = queue;
  }
  for (auto& [name, known] : unplaced_) {
    if (const Queue* queue = FindQueueByName(configuration, name)) known.queue = *queue;
  }
}

KnownQueue& KnownQueues::AddJob(const Queue& queue) {
  const auto [entry, is_new] = by_place_.try_emplace({queue.host, queue.prefix});
  KnownQueue& known = entry->second;
  if (is_new) {
    known = {.number = ++last_number_, .queue = queue};
    by_number_[known.number] = &known;
  }
  ++known.jobs;
  return known;
}

KnownQueue& KnownQueues::AddUnplacedJob(const std::string& name, const std::string& service,
                                        const Configuration& configuration) {
  if (const Queue* queue = FindQueueByName(configuration, name)) return AddJob(*queue);
  const auto [entry, is_new] = unplaced_.try_emplace(name);
  if (is_new) entry->second.queue = {.name = name, .service = service};
  ++entry->second.jobs;
  return entry->second;
}

void KnownQueues::RemoveJob(KnownQueue& known) {
  if (--known.jobs > 0) return;
  if (known.number == 0) {
    // Found by its address: its name in the configuration may have changed.
    std::erase_if(unplaced_, [&](const auto& entry) { return &entry.second == &known; });
    return;
  }
  by_number_.erase(known.number);
  by_place_.erase(Place(known.queue.host, known.queue.prefix));
}

const KnownQueue* KnownQueues::Find(const Queue& queue) const {
  const auto found = by_place_.find({queue.host, queue.prefix});
  return found == by_place_.end() ? nullptr : &found->second;
}

std::map<std::string, double> KnownQueues::OpenCoreMs() const {
  std::map<std::string, double> totals;
  for (const auto& [place, known] : by_place_) totals[known.queue.service] += known.open_core_ms;
  for (const auto& [name, known] : unplaced_) totals[known.queue.service] += known.open_core_ms;
  return totals;
}

std::map<TeamNumber, TeamLoad> KnownQueues::LoadsOf(const std::string& service) const {
  std::map<TeamNumber, TeamLoad> totals;
  const auto add = [&](const KnownQueue& known) {
    if (known.queue.service != service) return;
    for (const auto& [team, load] : known.loads) totals[team] += load;
  };
  for (const auto& [place, known] : by_place_) add(known);
  for (const auto& [name, known] : unplaced_) add(known);
  return totals;
}

KnownQueues::Stored KnownQueues::Store() const {
  Stored stored{.last_number = last_number_};
  stored.queues.reserve(by_number_.size());
  for (const auto& [number, known] : by_number_) stored.queues.push_back(*known);
  return stored;
}

void KnownQueues::Restore(Stored stored) {
  *this = {};
  last_number_ = stored.last_number;
  for (KnownQueue& one : stored.queues) {
    const Place place(one.queue.host, one.queue.prefix);
    KnownQueue& known = by_place_[place] = std::move(one);
    by_number_[known.number] = &known;
  }
}

KnownQueue* KnownQueues::AddStoredJob(QueueNumber number) {
  const auto found = by_number_.find(number);
  if (found == by_number_.end()) return nullptr;
  ++found->second->jobs;
  return found->second;
}

void KnownQueues::RemoveUnused() {
  std::erase_if(by_number_, [](const auto& entry) { return entry.second->jobs == 0; });
  std::erase_if(by_place_, [](const auto& entry) { return entry.second.jobs == 0; });
}

}  // namespace godwitpaddle::jobs

#include "tests/virtual_cluster.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace godwitpaddle::testing {
namespace {

constexpr Micros kMinLinkDelay = 200;
constexpr Micros kMaxSyncDelay = 4 * kMillisecond;
// Clocks run at slightly different rates. The lease margin tolerates a much larger difference.
constexpr double kMaxClockDrift = 0.002;
constexpr std::size_t kMaxLogLines = 400;
constexpr Micros kRestartDelay = 5 * kSecond;  // until the supervisor restarts an exited process
constexpr std::uint64_t kFrameOverhead = 16;   // length, group and sender of each message

std::int64_t ThreadCpuNs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

}  // namespace

void WriteBatch(replication::StoredState& disk, const replication::PersistBatch& batch) {
  if (batch.hard_state) std::tie(disk.term, disk.voted_for) = *batch.hard_state;
  if (batch.snapshot) {
    disk.snapshot = batch.snapshot;
    std::erase_if(disk.log,
                  [&batch](const auto& entry) { return entry.index <= batch.snapshot->index; });
  }
  if (batch.truncate_from) {
    std::erase_if(disk.log,
                  [&batch](const auto& entry) { return entry.index >= *batch.truncate_from; });
  }
  disk.log.insert(disk.log.end(), batch.append.begin(), batch.append.end());
}

VirtualCluster::VirtualCluster(std::size_t nodes, std::size_t with_disk, std::uint64_t seed)
    : rng_(seed) {
  slots_.resize(nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    Slot& slot = slots_[i];
    slot.options = {.node = "n" + std::to_string(i + 1),
                    .region = "r1",
                    .zone = "z" + std::to_string(i % 4 + 1),
                    .peer_address = "10.0.0." + std::to_string(i + 1) + ":7000",
                    .has_disk = i < with_disk};
    slot.clock_offset = static_cast<Micros>(UniformBelow(rng_, 1'000 * kSecond));
    slot.clock_rate = 1 + (UniformUnit(rng_) * 2 - 1) * kMaxClockDrift;
    by_address_[slot.options.peer_address] = i;
  }
  for (Slot& slot : slots_) {
    for (const Slot& other : slots_) {
      if (&other != &slot) slot.options.seed_addresses.push_back(other.options.peer_address);
    }
  }
  for (std::size_t i = 0; i < nodes; ++i) Start(i);
}

void VirtualCluster::At(Micros time, std::function<void()> action) {
  queue_.push(
      {.time = std::max(time, now_), .sequence = next_order_++, .action = std::move(action)});
}

void VirtualCluster::RunUntil(Micros time) {
  while (!queue_.empty() && queue_.top().time <= time) {
    ScheduledAction item = queue_.top();
    queue_.pop();
    now_ = item.time;
    item.action();
  }
  now_ = std::max(now_, time);
}

bool VirtualCluster::RunUntilTrue(const std::function<bool()>& condition, Micros limit) {
  const Micros end = now_ + limit;
  while (now_ < end) {
    if (condition()) return true;
    RunFor(10 * kMillisecond);
  }
  return condition();
}

Micros VirtualCluster::LocalTime(const Slot& slot) const {
  return slot.clock_offset + static_cast<Micros>(static_cast<double>(now_) * slot.clock_rate);
}

bool VirtualCluster::HoldsLease(std::size_t node) const {
  return alive(node) && !frozen(node) && slots_[node].node->HoldsLease(LocalTime(slots_[node]));
}

std::optional<std::size_t> VirtualCluster::LeaderIndex() const {
  std::optional<std::size_t> leader;
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    if (!alive(i) || frozen(i) || !slots_[i].node->replica().is_leader()) continue;
    if (!leader || slots_[i].node->replica().term() > slots_[*leader].node->replica().term()) {
      leader = i;
    }
  }
  return leader;
}

void VirtualCluster::Start(std::size_t index) {
  Slot& slot = slots_[index];
  if (slot.node) return;
  ++slot.incarnation;
  slot.frozen_until = 0;
  slot.options.seed = rng_();
  if (!slot.options.has_disk || slot.replica.empty()) {
    slot.replica = "replica-" + std::to_string(next_replica_++);
  }
  slot.node =
      std::make_unique<Node>(slot.options, slot.replica, slot.disk, LocalTime(slot), wall());
  ScheduleTick(index, slot.incarnation);
}

void VirtualCluster::ScheduleTick(std::size_t index, std::uint64_t incarnation) {
  After(kTickPeriod, [this, index, incarnation] {
    if (slots_[index].incarnation != incarnation || !alive(index)) return;
    const Micros frozen_until = slots_[index].frozen_until;
    if (frozen_until > now_) {
      At(frozen_until, [this, index, incarnation] { ScheduleTick(index, incarnation); });
      return;
    }
    Step(index, TickEvent{});
    if (alive(index)) ScheduleTick(index, incarnation);
  });
}

void VirtualCluster::Kill(std::size_t index) {
  Slot& slot = slots_[index];
  if (!slot.node) return;
  slot.node.reset();
  // After a crash, the disk holds nothing or a prefix of the batch that was being written.
  if (!slot.unsynced.empty()) {
    replication::PersistBatch torn = slot.unsynced.front();
    torn.append.resize(UniformBelow(rng_, torn.append.size() + 1));
    if (UniformBelow(rng_, 2) == 0) WriteBatch(slot.disk, torn);
  }
  slot.unsynced.clear();
  auto connections = std::exchange(slot.connections, {});
  for (auto& [connection, done] : connections) done(std::nullopt);
}

void VirtualCluster::LoseDisk(std::size_t index) {
  slots_[index].disk = {};
  slots_[index].replica.clear();
}

void VirtualCluster::Freeze(std::size_t index, Micros duration) {
  slots_[index].frozen_until = std::max(slots_[index].frozen_until, now_ + duration);
}

void VirtualCluster::Shutdown(std::size_t index) {
  Deliver(index, incarnation(index), ShutdownEvent{});
}

void VirtualCluster::CutLink(std::size_t from, std::size_t to, Micros duration) {
  cut_links_[{from, to}] = now_ + duration;
}

void VirtualCluster::Isolate(std::size_t index, Micros duration) {
  for (std::size_t other = 0; other < slots_.size(); ++other) {
    if (other == index) continue;
    CutLink(index, other, duration);
    CutLink(other, index, duration);
  }
}

void VirtualCluster::Deliver(std::size_t index, std::uint64_t incarnation, Event event) {
  if (!alive(index) || slots_[index].incarnation != incarnation) return;
  if (frozen(index)) {
    At(slots_[index].frozen_until + 1,
       [this, index, incarnation, event = std::move(event)]() mutable {
         Deliver(index, incarnation, std::move(event));
       });
    return;
  }
  Step(index, event);
}

std::uint64_t VirtualCluster::Http(std::size_t index, HttpEvent request,
                                   std::function<void(const std::optional<RespondEffect>&)> done) {
  if (!alive(index)) {
    done(std::nullopt);
    return 0;
  }
  request.connection = next_connection_++;
  slots_[index].connections[request.connection] = std::move(done);
  const std::uint64_t connection = request.connection;
  After(kMinLinkDelay,
        [this, index, incarnation = incarnation(index), request = std::move(request)]() mutable {
          Deliver(index, incarnation, std::move(request));
        });
  return connection;
}

void VirtualCluster::CloseConnection(std::size_t index, std::uint64_t connection) {
  if (!alive(index) || slots_[index].connections.erase(connection) == 0) return;
  Deliver(index, incarnation(index), HttpClosedEvent{.connection = connection});
}

void VirtualCluster::Step(std::size_t index, const Event& event) {
  ++steps_;
  Slot& slot = slots_[index];
  const std::uint64_t incarnation = slot.incarnation;
  const std::int64_t before = usage_.empty() ? 0 : ThreadCpuNs();
  std::vector<Effect> effects = slot.node->Step(event, LocalTime(slot), wall());
  if (!usage_.empty()) usage_[index].cpu_ns += ThreadCpuNs() - before;
  for (Effect& effect : effects) {
    if (!alive(index) || slots_[index].incarnation != incarnation) return;
    ExecuteEffect(index, effect);
  }
}

void VirtualCluster::ExecuteEffect(std::size_t index, Effect& effect) {
  if (auto* send = std::get_if<SendEffect>(&effect)) {
    Send(index, *send);
  } else if (auto* persist = std::get_if<PersistEffect>(&effect)) {
    Persist(index, std::move(persist->batch));
  } else if (auto* respond = std::get_if<RespondEffect>(&effect)) {
    const auto connection = slots_[index].connections.find(respond->connection);
    if (connection == slots_[index].connections.end()) return;
    auto done = std::move(connection->second);
    slots_[index].connections.erase(connection);
    done(std::move(*respond));
  } else if (auto* start = std::get_if<StartTaskEffect>(&effect)) {
    if (environment_ != nullptr) environment_->StartTask(index, *start);
  } else if (auto* order = std::get_if<OrderTaskEffect>(&effect)) {
    if (environment_ != nullptr) environment_->OrderTask(index, *order);
  } else if (auto* platform = std::get_if<PlatformEffect>(&effect)) {
    if (environment_ != nullptr) environment_->CallPlatform(index, platform->call);
  } else if (std::holds_alternative<ExitEffect>(effect)) {
    Kill(index);
    After(kRestartDelay, [this, index] { Start(index); });
  } else if (auto* line = std::get_if<LogEffect>(&effect)) {
    std::string text =
        std::to_string(now_ / kMillisecond) + " " + slots_[index].options.node + " " + line->event;
    for (const auto& [key, value] : line->fields) {
      text.append(" ").append(key).append("=").append(value);
    }
    log_.push_back(std::move(text));
    if (log_.size() > kMaxLogLines) log_.erase(log_.begin(), log_.begin() + kMaxLogLines / 2);
  }
}

void VirtualCluster::Send(std::size_t from, const SendEffect& send) {
  ++messages_;
  const auto to = by_address_.find(send.address);
  if (to == by_address_.end()) return;
  if (!usage_.empty()) {
    const std::uint64_t bytes = Encode(send.message).size() + kFrameOverhead;
    NodeUsage& sender = usage_[from];
    sender.bytes_out += bytes;
    ++sender.messages_out;
    sender.bytes_by_type[send.message.index()] += bytes;
    usage_[to->second].bytes_in += bytes;
  }
  const auto cut = cut_links_.find({from, to->second});
  if (cut != cut_links_.end() && cut->second > now_) return;
  const int copies =
      (UniformUnit(rng_) < faults_.loss ? 0 : 1) + (UniformUnit(rng_) < faults_.duplicate ? 1 : 0);
  for (int i = 0; i < copies; ++i) {
    const auto delay = kMinLinkDelay + static_cast<Micros>(UniformBelow(rng_, faults_.max_delay));
    After(delay, [this, index = to->second, message = send.message]() mutable {
      Deliver(index, incarnation(index), PeerEvent{.message = std::move(message)});
    });
  }
}

void VirtualCluster::Persist(std::size_t index, replication::PersistBatch batch) {
  Slot& slot = slots_[index];
  const std::uint64_t token = batch.token;
  slot.unsynced.push_back(std::move(batch));
  After(1 + static_cast<Micros>(UniformBelow(rng_, kMaxSyncDelay)),
        [this, index, incarnation = slot.incarnation, token] {
          Slot& written = slots_[index];
          if (!written.node || written.incarnation != incarnation) return;
          // Batches reach the disk in order, so a sync covers all earlier batches.
          std::uint64_t last = 0;
          while (!written.unsynced.empty() && written.unsynced.front().token <= token) {
            last = written.unsynced.front().token;
            WriteBatch(written.disk, written.unsynced.front());
            written.unsynced.erase(written.unsynced.begin());
          }
          if (last != 0) Deliver(index, incarnation, SyncedEvent{.token = token});
        });
}

}  // namespace godwitpaddle::testing

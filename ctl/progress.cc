#include "ctl/progress.h"

#include <chrono>
#include <string>
#include <thread>

#include "ctl/output.h"

namespace godwitpaddle::ctl {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{100};

struct ApplyProgress {
  int applied = 0;
  int nodes = 0;
};

ApplyProgress CountApplied(const Json& status, std::uint64_t index) {
  ApplyProgress progress;
  for (const auto& [incarnation, node] : status.at("nodes").items()) {
    if (node.value("lapsed", false)) continue;
    ++progress.nodes;
    if (node.value("applied_index", std::uint64_t{0}) >= index) ++progress.applied;
  }
  return progress;
}

}  // namespace

bool WaitForAllNodes(AdminClient& client) {
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + std::chrono::seconds(client.settings().timeout_s);
  Json status = client.Call("GET", "status");
  const auto index = status.at("commit_index").get<std::uint64_t>();
  int reported = -1;
  while (true) {
    const ApplyProgress progress = CountApplied(status, index);
    if (progress.applied != reported) {
      PrintProgress("known to " + std::to_string(progress.applied) + " of " +
                    std::to_string(progress.nodes) + " nodes");
      reported = progress.applied;
    }
    if (progress.nodes > 0 && progress.applied == progress.nodes) return true;
    if (Clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollPeriod);
    status = client.Call("GET", "status");
  }
}

}  // namespace godwitpaddle::ctl

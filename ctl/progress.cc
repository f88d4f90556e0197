#include "ctl/progress.h"

#include <chrono>
#include <string>
#include <thread>

#include "ctl/output.h"

namespace godwitpaddle::ctl {
namespace {

constexpr std::chrono::milliseconds kPollPause{100};

struct Reach {
  int applied = 0;
  int nodes = 0;
};

Reach CountApplied(const Json& status, std::uint64_t index) {
  Reach reach;
  for (const auto& [incarnation, node] : status.at("nodes").items()) {
    if (node.value("lapsed", false)) continue;
    ++reach.nodes;
    if (node.value("applied_index", std::uint64_t{0}) >= index) ++reach.applied;
  }
  return reach;
}

}  // namespace

bool WaitForEveryNode(AdminClient& client) {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + std::chrono::seconds(client.settings().timeout_s);
  Json status = client.Call("GET", "status");
  const auto index = status.at("commit_index").get<std::uint64_t>();
  int reported = -1;
  while (true) {
    const Reach reach = CountApplied(status, index);
    if (reach.applied != reported) {
      PrintProgress("known to " + std::to_string(reach.applied) + " of " +
                    std::to_string(reach.nodes) + " nodes");
      reported = reach.applied;
    }
    if (reach.nodes > 0 && reach.applied == reach.nodes) return true;
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollPause);
    status = client.Call("GET", "status");
  }
}

}  // namespace godwitpaddle::ctl

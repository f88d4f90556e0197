#include <map>

#include "decision/scheduler_state.h"

namespace godwitpaddle {
namespace {

std::optional<std::string> CheckServer(const Server& server) {
  // A server may announce fewer slots than the number of tasks that it runs. Only the tasks that
  // this owner started must not exceed the announced slots and connections.
  const int own = static_cast<int>(server.own.size());
  if (own > 0 && server.free.slots < 0 && own > server.announcement.slots) {
    return "tasks started on " + server.announcement.server + " exceed its slots";
  }
  if (own > 0 && server.free.connections < 0 && own > server.announcement.connections) {
    return "tasks started on " + server.announcement.server + " exceed its connections";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> Recount(const SchedulerState& state) {
  int running = 0;
  int queued = 0;
  std::vector<int> by_team(state.teams.size(), 0);
  for (const auto& [id, request] : state.requests) {
    if (request.stage == RequestState::Stage::kRunning) {
      ++running;
      ++by_team[request.team];
    } else {
      ++queued;
    }
  }
  if (running != state.running) return "the count of running requests is wrong";
  if (queued != state.queued) return "the count of queued requests is wrong";
  for (std::size_t i = 0; i < by_team.size(); ++i) {
    if (by_team[i] != state.teams[i].running) {
      return "the count of running requests of team " + state.teams[i].name + " is wrong";
    }
  }
  for (const Server& server : state.servers.servers) {
    if (auto violation = CheckServer(server)) return violation;
  }
  return std::nullopt;
}

}  // namespace godwitpaddle

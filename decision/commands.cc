#include "decision/commands.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <type_traits>

#include "decision/apply_detail.h"

namespace godwitpaddle {
namespace {

// A resent command arrives within minutes; at 9,200 changes a day this covers about five hours.
constexpr std::size_t kMaxKeptResults = 2'048;

template <typename Body>
std::string ChangeId(const Body& body) {
  if constexpr (requires { body.change_id; }) return body.change_id;
  return "";
}

void Keep(FleetState& state, const std::string& change_id, const ApplyResult& result) {
  state.results[change_id] = result;
  state.result_order.push_back(change_id);
  while (state.result_order.size() > kMaxKeptResults) {
    state.results.erase(state.result_order.front());
    state.result_order.pop_front();
  }
}

}  // namespace

ApplyResult Apply(FleetState& state, std::uint64_t index, const Command& command) {
  state.applied_index = index;
  state.now = std::max(state.now, command.wall);
  const detail::ApplyContext at{.index = index, .now = state.now};
  return std::visit(
      [&](const auto& body) {
        const std::string change_id = ChangeId(body);
        const auto kept = state.results.find(change_id);
        if (!change_id.empty() && kept != state.results.end()) return kept->second;
        ApplyResult result = detail::ApplyBody(state, at, body);
        result.revision = state.revision;
        result.in_force = state.in_force;
        if (!change_id.empty()) Keep(state, change_id, result);
        return result;
      },
      command.body);
}

}  // namespace godwitpaddle

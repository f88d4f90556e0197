#include "decision/commands.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <type_traits>

#include "decision/apply_detail.h"

namespace godwitpaddle {
namespace {

// Operators' tools resend a command within minutes. At 9,200 changes a day, the stored results
// cover about five hours.
constexpr std::size_t kMaxStoredResults = 2'048;

template <typename Body>
std::string ChangeId(const Body& body) {
  if constexpr (requires { body.change_id; }) return body.change_id;
  return "";
}

void StoreResult(FleetState& state, const std::string& change_id, const ApplyResult& result) {
  state.results[change_id] = result;
  state.result_order.push_back(change_id);
  while (state.result_order.size() > kMaxStoredResults) {
    state.results.erase(state.result_order.front());
    state.result_order.pop_front();
  }
}

}  // namespace

ApplyResult Apply(FleetState& state, std::uint64_t index, const Command& command) {
  state.applied_index = index;
  state.now = std::max(state.now, command.wall);
  const detail::ApplyContext ctx{.index = index, .now = state.now};
  return std::visit(
      [&](const auto& body) {
        const std::string change_id = ChangeId(body);
        const auto stored = state.results.find(change_id);
        if (!change_id.empty() && stored != state.results.end()) return stored->second;
        ApplyResult result = detail::ApplyBody(state, ctx, body);
        result.revision = state.revision;
        result.in_force_version = state.in_force_version;
        if (!change_id.empty()) StoreResult(state, change_id, result);
        return result;
      },
      command.body);
}

std::optional<std::string> FindViolationAfter(const FleetState& state, const Command& command) {
  const CommandBody& body = command.body;
  if (const auto* set = std::get_if<SetAllotments>(&body)) {
    for (const AllotmentChange& change : set->changes) {
      if (auto violation = detail::FindTeamViolation(state, change.team)) return violation;
    }
    return std::nullopt;
  }
  if (std::holds_alternative<SubmitConfig>(body) || std::holds_alternative<DecideReview>(body) ||
      std::holds_alternative<ActivateDueFiles>(body) || std::holds_alternative<NodeRemoved>(body)) {
    return FindViolation(state);
  }
  const VmId* vm = nullptr;
  if (const auto* start = std::get_if<StartVmOperation>(&body)) vm = &start->vm;
  if (const auto* advance = std::get_if<AdvanceVmOperation>(&body)) vm = &advance->vm;
  if (const auto* finish = std::get_if<FinishVmOperation>(&body)) vm = &finish->vm;
  if (vm != nullptr) {
    if (auto violation = detail::FindVmViolation(state, *vm)) return violation;
  }
  return detail::FindCounterViolation(state);
}

}  // namespace godwitpaddle

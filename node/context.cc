#include "node/context.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace godwitpaddle {

void NodeContext::Send(const std::string& address, PeerMessage message) {
  if (address.empty()) return;
  if (address == options.peer_address) {
    to_self.push_back(std::move(message));
  } else {
    effects.emplace_back(SendEffect{.address = address, .message = std::move(message)});
  }
}

void NodeContext::Log(Severity severity, std::string event,
                      std::vector<std::pair<std::string, std::string>> fields) {
  effects.emplace_back(
      LogEffect{.severity = severity, .event = std::move(event), .fields = std::move(fields)});
}

void NodeContext::Metric(std::string name, double value) {
  effects.emplace_back(MetricEffect{.name = std::move(name), .value = value});
}

std::string NodeContext::UniqueId() { return incarnation + "-" + std::to_string(next_unique_id++); }

Incarnation MakeIncarnation(const NodeId& node, Rng& rng) {
  constexpr std::array<char, 16> kHexDigits = {'0', '1', '2', '3', '4', '5', '6', '7',
                                               '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
  Incarnation incarnation = node + "-";
  for (int i = 0; i < 8; ++i) incarnation += kHexDigits[UniformBelow(rng, kHexDigits.size())];
  return incarnation;
}

std::string NodeAddress(const FleetState& state, const Incarnation& incarnation) {
  const auto node = state.nodes.find(incarnation);
  return node == state.nodes.end() || node->second.lease_expired ? std::string()
                                                                 : node->second.peer_address;
}

std::string OwnerAddress(const FleetState& state, const PoolId& pool) {
  const auto owner = state.owners.find(pool);
  return owner == state.owners.end() ? std::string() : NodeAddress(state, owner->second.owner);
}

RespondEffect RefuseHttp(std::uint64_t connection, int status, const ForwardRefusal& refusal) {
  const nlohmann::json body = {
      {"error", refusal.error}, {"message", refusal.message}, {"not_run", refusal.not_run}};
  RespondEffect response{
      .connection = connection,
      .status = status,
      .headers = {},
      .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  if (refusal.retry_after_ms > 0) {
    response.headers["Retry-After"] = std::to_string((refusal.retry_after_ms + 999) / 1000);
  }
  return response;
}

}  // namespace godwitpaddle

#ifndef GODWITPADDLE_NODE_ADMIN_H_
#define GODWITPADDLE_NODE_ADMIN_H_

#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "decision/commands.h"
#include "decision/fleet_state.h"
#include "decision/planners.h"
#include "decision/service_level.h"
#include "node/node.h"
#include "replication/replica.h"

namespace godwitpaddle {

/// Forms the group on this node and grants the first operator and customer keys (hashes only).
struct BootstrapAction {
  std::vector<GrantKey> keys;
};

/// The leader's StatusJson is the answer.
struct StatusAction {};

/// What an admin request asks of the node: an answer at once, a command for the log whose
/// ApplyResult is the answer, the leader's status, or the bootstrap.
using AdminAction = std::variant<RespondEffect, CommandBody, StatusAction, BootstrapAction>;

/// Authenticates and parses a request under /v1/admin/. Reads are answered from `state`. Malformed
/// input, a missing or wrong key and a wrong role give an answer at once (400, 401, 403) and change
/// nothing.
AdminAction PlanAdmin(const HttpEvent& request, const FleetState& state, WallMs wall);

/// The answer to a command that was applied: 200, or 404, 409, 422 with the reasons.
RespondEffect AnswerAdmin(std::uint64_t connection, const ApplyResult& result);

/// Pools with budgets, teams, waves, VM operations, nodes, replicas and the burn report, as JSON
/// text.
std::string StatusJson(const FleetState& state, const FleetView& view,
                       const replication::Replica& replica, const std::vector<BurnRate>& burn,
                       Micros now);

/// Finds the key that `authorization` ("Bearer KEY") presents; nullptr when there is none. Constant
/// time per candidate; the secret is hashed before it is compared.
const KeyRecord* FindKey(const FleetState& state, const std::string& authorization);

/// Hash of a secret as it is stored: 32 bytes.
std::string HashKey(const std::string& secret);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_ADMIN_H_

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

/// Forms the group on this node and grants the first operator and customer keys. The keys hold only
/// hashes of the secrets.
struct BootstrapAction {
  std::vector<GrantKey> keys;
};

/// The node queries the leader and answers the request with the leader's StatusJson.
struct StatusAction {};

/// How the node handles an admin request: with an immediate answer, with a command for the log
/// whose ApplyResult becomes the answer, with the leader's status, or with the bootstrap.
using AdminAction = std::variant<RespondEffect, CommandBody, StatusAction, BootstrapAction>;

/// Authenticates and parses a request under /v1/admin/. Reads are answered from `state`. Malformed
/// input, a missing or unknown key and a role without the permission are answered immediately with
/// 400, 401 and 403 and change nothing.
AdminAction PlanAdmin(const HttpEvent& request, const FleetState& state, WallMs wall);

/// Returns the answer to a command that was applied: 200, or the reasons with 403, 404, 409, 422 or
/// 503.
RespondEffect AnswerAdmin(std::uint64_t connection, const ApplyResult& result);

/// Returns the status as JSON text: pools with their availability, teams, waves, VMs that are lost
/// or have an operation, nodes, replicas and the burn rates of the queues.
std::string StatusJson(const FleetState& state, const FleetView& view,
                       const replication::Replica& replica, const std::vector<BurnRate>& burn,
                       Micros now);

/// Returns the key that `authorization` ("Bearer KEY") presents, or nullptr if none matches. The
/// secret is hashed and then compared in constant time with every stored hash.
const KeyRecord* FindKey(const FleetState& state, const std::string& authorization);

/// Returns the hash of a secret in the form in which it is stored: 32 bytes.
std::string HashKey(const std::string& secret);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_ADMIN_H_

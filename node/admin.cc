#include "node/admin.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "node/admin_parse.h"

namespace godwitpaddle {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kPrefix = "/v1/admin/";

RespondEffect Respond(std::uint64_t connection, int status, const Json& body) {
  return {.connection = connection,
          .status = status,
          .headers = {},
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

RespondEffect RespondError(std::uint64_t connection, const AdminError& error) {
  return Respond(connection, error.status(),
                 {{"error", error.error()}, {"message", error.what()}, {"not_run", true}});
}

// Returns the part of the path after the prefix, split at each slash.
std::vector<std::string> PathParts(const std::string& path) {
  std::vector<std::string> parts;
  std::size_t start = kPrefix.size();
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

void RequireRole(const KeyRecord& key, std::initializer_list<KeyRole> allowed) {
  if (std::find(allowed.begin(), allowed.end(), key.role) != allowed.end()) return;
  throw AdminError(
      403, "forbidden",
      "a key with the role " + std::string(NameOf(kKeyRoleNames, key.role)) + " may not do this");
}

[[noreturn]] void RejectMethod() {
  throw AdminError(405, "method_not_allowed", "this path does not support this method");
}

Json ConfigJson(const FleetState& state) {
  return {{"revision", state.revision},
          {"in_force", state.in_force_version},
          {"in_force_index", state.in_force_index},
          {"applied_index", state.applied_index},
          {"files", state.files}};
}

Json ReviewJson(const FleetState& state) {
  Json files = Json::array();
  for (const auto& [name, file] : state.pending) {
    files.push_back({{"file", name},
                     {"content", file.content ? Json(*file.content) : Json()},
                     {"change_id", file.change_id},
                     {"revision", file.revision},
                     {"author", file.author},
                     {"submitted", file.submitted},
                     {"state", NameOf(kReviewStateNames, file.state)},
                     {"reason", file.reason}});
  }
  return {{"revision", state.revision}, {"in_force", state.in_force_version}, {"files", files}};
}

Json HistoryJson(const FleetState& state) {
  Json entries = Json::array();
  for (const HistoryEntry& entry : state.history) {
    entries.push_back({{"revision", entry.revision},
                       {"in_force", entry.in_force_version},
                       {"at", entry.at},
                       {"author", entry.author},
                       {"action", entry.action},
                       {"files", entry.files}});
  }
  return {{"history", entries}};
}

Json KeysJson(const FleetState& state) {
  Json keys = Json::array();
  for (const auto& [id, key] : state.keys) {
    keys.push_back({{"id", id},
                    {"role", NameOf(kKeyRoleNames, key.role)},
                    {"team", key.team},
                    {"granted", key.granted}});
  }
  return {{"keys", keys}};
}

Json WavesJson(const FleetState& state) {
  Json waves = Json::object();
  for (const auto& [id, config] : state.config.waves) {
    waves[id] = {{"pools", config.pools}, {"state", "not_started"}};
  }
  for (const auto& [id, wave] : state.waves) {
    waves[id].update({{"state", NameOf(kWaveStateNames, wave.state)},
                      {"reason", wave.reason},
                      {"run", wave.run_number},
                      {"remaining", wave.remaining},
                      {"done", wave.done},
                      {"failed", wave.failed},
                      {"started", wave.started},
                      {"ended", wave.ended}});
  }
  return {{"waves", waves}};
}

AdminAction Read(const HttpEvent& request, const FleetState& state, const std::string& resource) {
  const auto answer = [&request](const Json& body) {
    return Respond(request.connection, 200, body);
  };
  if (resource == "config") return answer(ConfigJson(state));
  if (resource == "review") return answer(ReviewJson(state));
  if (resource == "history") return answer(HistoryJson(state));
  if (resource == "keys") return answer(KeysJson(state));
  if (resource == "waves") return answer(WavesJson(state));
  // The membership is part of the leader's status.
  if (resource == "status" || resource == "members") return StatusAction{};
  RejectMethod();
}

// Customer keys approve changes. Only customers may manage them, so that no operator can approve
// its own changes with a customer key.
void CheckKeyManager(const KeyRecord& manager, KeyRole managed) {
  if (managed == KeyRole::kCustomer) {
    RequireRole(manager, {KeyRole::kCustomer});
  } else {
    RequireRole(manager, {KeyRole::kOperator});
  }
}

AdminAction PlanGrant(const HttpEvent& request, const KeyRecord& key, WallMs wall) {
  GrantKey grant = ParseGrant(request.body, wall);
  CheckKeyManager(key, grant.key.role);
  return CommandBody(std::move(grant));
}

AdminAction PlanRevocation(const HttpEvent& request, const FleetState& state,
                           const KeyRecord& key) {
  RequireRole(key, {KeyRole::kOperator, KeyRole::kCustomer});
  RevokeKey revocation = ParseRevocation(request.body);
  const auto target = state.keys.find(revocation.key_id);
  if (target != state.keys.end() && !state.results.contains(revocation.change_id)) {
    const KeyRole role = target->second.role;
    CheckKeyManager(key, role);
    const auto same_role = std::count_if(state.keys.begin(), state.keys.end(),
                                         [role](const auto& k) { return k.second.role == role; });
    // Without this key nobody could grant another one of its role, since bootstrap works only once.
    if (role != KeyRole::kTeam && same_role == 1) {
      throw AdminError(409, "conflict", "the last key of its role cannot be revoked");
    }
  }
  return CommandBody(std::move(revocation));
}

AdminAction PlanWave(const HttpEvent& request, const FleetState& state, const KeyRecord& key,
                     const WaveId& wave) {
  RequireRole(key, {KeyRole::kOperator});
  ControlWave control = ParseWaveControl(request.body, wave);
  if (!state.config.waves.contains(wave) && !state.waves.contains(wave)) {
    throw AdminError(404, "not_found", "no such wave");
  }
  return CommandBody(std::move(control));
}

AdminAction PlanDrain(const std::string& change_id, const VmId& vm, WallMs wall) {
  return CommandBody(StartVmOperation{.change_id = change_id,
                                      .vm = vm,
                                      .operation = {.id = "drain-" + change_id,
                                                    .kind = VmOperationKind::kDrain,
                                                    .phase = VmPhase::kDraining,
                                                    .phase_since = wall}});
}

AdminAction PlanUndrain(const FleetState& state, const std::string& change_id, const VmId& vm,
                        const std::optional<VmOperation>& operation) {
  FinishVmOperation finish{.change_id = change_id, .vm = vm};
  if (!state.results.contains(change_id)) {
    // Undrain also abandons an operation that has failed.
    const bool manual = operation && operation->kind == VmOperationKind::kDrain;
    if (!manual && !(operation && operation->phase == VmPhase::kFailed)) {
      throw AdminError(409, "conflict",
                       "the VM is not drained by an operator and has no failed operation");
    }
    finish.operation_id = operation->id;
    finish.succeeded = manual;
  }
  return CommandBody(std::move(finish));
}

AdminAction PlanVm(const HttpEvent& request, const FleetState& state, const KeyRecord& key,
                   const std::vector<std::string>& parts, WallMs wall) {
  RequireRole(key, {KeyRole::kOperator});
  const std::string change_id = ParseChangeId(request.body);
  const auto vm = state.vms.find(parts[1]);
  if (vm == state.vms.end()) throw AdminError(404, "not_found", "no such VM");
  if (parts[2] == "drain") return PlanDrain(change_id, vm->first, wall);
  return PlanUndrain(state, change_id, vm->first, vm->second.operation);
}

AdminAction PlanChange(const HttpEvent& request, const FleetState& state, const KeyRecord& key,
                       const std::vector<std::string>& parts, WallMs wall) {
  const bool is_post = request.method == "POST";
  if (parts.size() == 1 && parts[0] == "changes" && is_post) {
    RequireRole(key, {KeyRole::kOperator});
    return CommandBody(ParseChange(request.body, key.id));
  }
  if (parts.size() == 1 && parts[0] == "review" && is_post) {
    RequireRole(key, {KeyRole::kCustomer});
    return CommandBody(ParseReview(request.body, key.id));
  }
  if (parts.size() == 1 && parts[0] == "keys" && is_post) return PlanGrant(request, key, wall);
  if (parts.size() == 1 && parts[0] == "keys" && request.method == "DELETE") {
    return PlanRevocation(request, state, key);
  }
  if (parts.size() == 2 && parts[0] == "waves" && is_post) {
    return PlanWave(request, state, key, parts[1]);
  }
  if (parts.size() == 3 && parts[0] == "vms" && is_post) {
    return PlanVm(request, state, key, parts, wall);
  }
  RejectMethod();
}

bool IsKnownPath(const std::vector<std::string>& parts) {
  static constexpr std::array<std::string_view, 8> kResources = {
      "config", "review", "changes", "history", "keys", "waves", "status", "members"};
  if (parts.size() == 1) {
    return std::find(kResources.begin(), kResources.end(), parts[0]) != kResources.end();
  }
  if (parts.size() == 2) return parts[0] == "waves";
  return parts.size() == 3 && parts[0] == "vms" && (parts[2] == "drain" || parts[2] == "undrain");
}

AdminAction PlanRequest(const HttpEvent& request, const FleetState& state, WallMs wall) {
  if (!request.path.starts_with(kPrefix)) throw AdminError(404, "not_found", "no such path");
  const std::vector<std::string> parts = PathParts(request.path);
  if (parts == std::vector<std::string>{"bootstrap"}) {
    if (request.method != "POST") RejectMethod();
    return BootstrapAction{ParseBootstrap(request.body, wall)};
  }
  if (state.keys.empty()) {
    throw AdminError(503, "no_group", "this node has not joined a group; bootstrap forms one");
  }
  const auto authorization = request.headers.find("authorization");
  const KeyRecord* key =
      authorization == request.headers.end() ? nullptr : FindKey(state, authorization->second);
  if (key == nullptr) throw AdminError(401, "unauthorized", "unknown or missing key");
  RequireRole(*key, {KeyRole::kOperator, KeyRole::kCustomer});
  if (!IsKnownPath(parts)) throw AdminError(404, "not_found", "no such path");
  if (request.method == "GET") {
    if (parts.size() != 1) RejectMethod();
    return Read(request, state, parts[0]);
  }
  return PlanChange(request, state, *key, parts, wall);
}

int StatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kConflict:
      return 409;
    case ResultCode::kNotFound:
      return 404;
    case ResultCode::kInvalid:
      return 422;
    case ResultCode::kForbidden:
      return 403;
    case ResultCode::kFull:
      return 503;
  }
  return 500;
}

}  // namespace

AdminAction PlanAdmin(const HttpEvent& request, const FleetState& state, WallMs wall) {
  try {
    return PlanRequest(request, state, wall);
  } catch (const AdminError& error) {
    return RespondError(request.connection, error);
  }
}

RespondEffect AnswerAdmin(std::uint64_t connection, const ApplyResult& result) {
  Json errors = Json::array();
  for (const ConfigError& error : result.errors) {
    errors.push_back({{"file", error.file},
                      {"path", error.path},
                      {"line", error.line},
                      {"reason", error.reason}});
  }
  Json body = {{"result", NameOf(kResultCodeNames, result.code)},
               {"message", result.message},
               {"revision", result.revision},
               {"in_force", result.in_force_version},
               {"errors", errors}};
  if (!result.ok()) {
    body["error"] = body["result"];
    body["not_run"] = true;
  }
  return Respond(connection, StatusOf(result.code), body);
}

}  // namespace godwitpaddle

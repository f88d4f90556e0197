#include "node/admin.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace godwitpaddle {
namespace {

using Json = nlohmann::json;

constexpr WallMs kWall = 1'764'812'520'000;

struct Fixture {
  FleetState state;

  Fixture() {
    AddKey("op", KeyRole::kOperator);
    AddKey("cust", KeyRole::kCustomer);
    AddKey("team", KeyRole::kTeam);
    state.files["00-fleet.json"] = "{}";
    state.config.waves["spring"] = {};
    state.vms["vm1"] = {.pool = "quoting"};
  }

  void AddKey(const std::string& name, KeyRole role) {
    state.keys[name] = {.id = name, .role = role, .hash = HashKey("secret-" + name)};
  }

  AdminAction Plan(const std::string& key, const std::string& method, const std::string& path,
                   const Json& body = nullptr) const {
    HttpEvent request{.connection = 7, .method = method, .path = "/v1/admin/" + path};
    if (!key.empty()) request.headers["authorization"] = "Bearer secret-" + key;
    if (!body.is_null()) request.body = body.is_string() ? body.get<std::string>() : body.dump();
    return PlanAdmin(request, state, kWall);
  }

  // Returns the status of an immediate answer; 0 if the request became a command or another action.
  int Status(const std::string& key, const std::string& method, const std::string& path,
             const Json& body = nullptr) const {
    const AdminAction action = Plan(key, method, path, body);
    const auto* answer = std::get_if<RespondEffect>(&action);
    if (answer == nullptr) return 0;
    CHECK(answer->connection == 7);
    return answer->status;
  }

  template <typename T>
  T Command(const AdminAction& action) const {
    REQUIRE(std::holds_alternative<CommandBody>(action));
    REQUIRE(std::holds_alternative<T>(std::get<CommandBody>(action)));
    return std::get<T>(std::get<CommandBody>(action));
  }
};

const Json change = {{"change_id", "c1"}, {"base_revision", 4}, {"files", {{"10-a.json", "{}"}}}};
const Json review = {{"change_id", "c2"}, {"approve", true}, {"files", {"10-a.json"}}};

Json Grant(const std::string& role) {
  Json grant = {{"change_id", "g1"}, {"id", "k1"}, {"role", role}, {"hash", std::string(64, 'a')}};
  if (role == "team") grant["team"] = "harbour";
  return grant;
}

// Guards against a request that is accepted with a missing or unknown key, or with a key whose role
// does not permit it.
TEST_CASE_METHOD(Fixture, "admin requests require a key of a permitted role") {
  SECTION("no key, an unknown key and a team key are refused") {
    CHECK(Status("", "GET", "config") == 401);
    CHECK(Status("nobody", "GET", "config") == 401);
    CHECK(Status("team", "GET", "config") == 403);
    CHECK(Status("team", "POST", "changes", change) == 403);
    HttpEvent basic{.method = "GET", .path = "/v1/admin/config"};
    basic.headers["authorization"] = "Basic secret-op";
    CHECK(std::get<RespondEffect>(PlanAdmin(basic, state, kWall)).status == 401);
  }
  SECTION("operators and customers may read everything, and the list of keys has no hashes") {
    for (const std::string key : {"op", "cust"}) {
      for (const std::string path : {"config", "review", "history", "keys", "waves"}) {
        CHECK(Status(key, "GET", path) == 200);
      }
      CHECK(std::holds_alternative<StatusAction>(Plan(key, "GET", "status")));
    }
    const std::string keys = std::get<RespondEffect>(Plan("cust", "GET", "keys")).body;
    CHECK(keys.find("hash") == std::string::npos);
  }
  SECTION("an operator may submit changes but not review them") {
    const auto submitted = Command<SubmitConfig>(Plan("op", "POST", "changes", change));
    CHECK(submitted.author == "op");
    CHECK(submitted.base_revision == 4);
    CHECK(Status("op", "POST", "review", review) == 403);
  }
  SECTION("a customer may review changes but nothing else") {
    CHECK(Command<DecideReview>(Plan("cust", "POST", "review", review)).approve);
    CHECK(Status("cust", "POST", "changes", change) == 403);
    CHECK(Status("cust", "POST", "waves/spring", {{"change_id", "w"}, {"action", "start"}}) == 403);
    CHECK(Status("cust", "POST", "vms/vm1/drain", {{"change_id", "d"}}) == 403);
  }
  SECTION("an operator cannot obtain a customer key and approve its own change") {
    CHECK(Command<GrantKey>(Plan("op", "POST", "keys", Grant("team"))).key.team == "harbour");
    CHECK(Status("op", "POST", "keys", Grant("customer")) == 403);
    CHECK(Status("cust", "POST", "keys", Grant("customer")) == 0);
    CHECK(Status("cust", "POST", "keys", Grant("team")) == 403);
    CHECK(Status("op", "DELETE", "keys", {{"change_id", "x"}, {"id", "cust"}}) == 403);
  }
  SECTION(
      "the last key of a role cannot be revoked, and a repeated revocation gets its first answer") {
    const Json last = {{"change_id", "x"}, {"id", "op"}};
    CHECK(Status("op", "DELETE", "keys", last) == 409);
    state.results["x"] = {};
    CHECK(Command<RevokeKey>(Plan("op", "DELETE", "keys", last)).key_id == "op");
  }
}

// Guards against malformed input that is appended to the log.
TEST_CASE_METHOD(Fixture, "admin requests with malformed input") {
  const auto changed = [](Json body, const std::string& field, const Json& value) {
    body[field] = value;
    return body;
  };
  CHECK(Status("op", "POST", "changes", "{") == 400);
  CHECK(Status("op", "POST", "changes", "[]") == 400);
  CHECK(Status("op", "POST", "changes", changed(change, "extra", 1)) == 400);
  CHECK(Status("op", "POST", "changes", changed(change, "change_id", "a b")) == 400);
  CHECK(Status("op", "POST", "changes", changed(change, "change_id", std::string(129, 'a'))) ==
        400);
  CHECK(Status("op", "POST", "changes", changed(change, "base_revision", -1)) == 400);
  CHECK(Status("op", "POST", "changes", changed(change, "files", Json::object())) == 400);
  for (const std::string name : {"../a.json", "a.txt", ".json", ""}) {
    CHECK(Status("op", "POST", "changes", changed(change, "files", {{name, "{}"}})) == 400);
  }
  CHECK(Status("op", "POST", "changes",
               changed(change, "files", {{"a.json", std::string((1U << 20U) + 1, ' ')}})) == 400);
  CHECK(Status("op", "POST", "changes", std::string((4U << 20U) + 1, ' ')) == 413);
  CHECK(Status("cust", "POST", "review", changed(review, "approve", "yes")) == 400);
  CHECK(Status("op", "POST", "keys", changed(Grant("team"), "hash", "AA")) == 400);
  CHECK(Status("op", "POST", "keys", changed(Grant("operator"), "team", "harbour")) == 400);
  CHECK(Status("op", "POST", "waves/spring", {{"change_id", "w"}, {"action", "stop"}}) == 400);
  CHECK(Status("op", "POST", "waves/autumn", {{"change_id", "w"}, {"action", "start"}}) == 404);
  CHECK(Status("op", "POST", "vms/vm9/drain", {{"change_id", "d"}}) == 404);
  CHECK(Status("op", "GET", "nothing") == 404);
  CHECK(Status("op", "PUT", "config") == 405);
  const auto removal = changed(change, "files", {{"10-a.json", nullptr}});
  CHECK_FALSE(Command<SubmitConfig>(Plan("op", "POST", "changes", removal))
                  .files.at("10-a.json")
                  .has_value());
}

// Guards against an undrain that ends an operation other than the operator's drain or a failed one.
TEST_CASE_METHOD(Fixture, "drains by an operator") {
  const auto drain = Command<StartVmOperation>(Plan("op", "POST", "vms/vm1/drain",  //
                                                    {{"change_id", "d1"}}));
  CHECK(drain.operation.kind == VmOperationKind::kDrain);
  const Json undrain = {{"change_id", "u1"}};
  CHECK(Status("op", "POST", "vms/vm1/undrain", undrain) == 409);
  state.vms["vm1"].operation = drain.operation;
  CHECK(Command<FinishVmOperation>(Plan("op", "POST", "vms/vm1/undrain", undrain)).operation_id ==
        drain.operation.id);
  state.vms["vm1"].operation->kind = VmOperationKind::kReboot;
  CHECK(Status("op", "POST", "vms/vm1/undrain", undrain) == 409);
  state.vms["vm1"].operation->phase = VmPhase::kFailed;
  CHECK_FALSE(Command<FinishVmOperation>(Plan("op", "POST", "vms/vm1/undrain", undrain)).succeeded);
}

// Guards against a bootstrap after which nobody can submit or approve a configuration.
TEST_CASE_METHOD(Fixture, "bootstrap needs no key, but must grant both roles") {
  const auto key = [](const std::string& id, const std::string& role) {
    return Json{{"id", id}, {"role", role}, {"hash", std::string(64, '0')}};
  };
  const Json both = {{"keys", {key("a", "operator"), key("b", "customer")}}};
  const Json one = {{"keys", {key("a", "operator"), key("b", "operator")}}};
  CHECK(std::get<BootstrapAction>(Plan("", "POST", "bootstrap", both)).keys.size() == 2);
  CHECK(Status("", "POST", "bootstrap", one) == 400);
  CHECK(Status("", "GET", "bootstrap") == 405);
  // A node that has not joined a group has no keys. A 401 would tell the operator that its key is
  // wrong.
  state.keys.clear();
  CHECK(Status("op", "GET", "config") == 503);
}

// Guards against a refusal with the HTTP status of a success.
TEST_CASE("answers to admin commands") {
  const std::map<ResultCode, int> expected = {
      {ResultCode::kOk, 200},      {ResultCode::kConflict, 409},  {ResultCode::kNotFound, 404},
      {ResultCode::kInvalid, 422}, {ResultCode::kForbidden, 403}, {ResultCode::kFull, 503}};
  for (const auto& [code, status] : expected) {
    CHECK(AnswerAdmin(1, {.code = code}).status == status);
  }
  ApplyResult invalid{.code = ResultCode::kInvalid, .message = "no"};
  invalid.errors.push_back({.file = "a.json", .path = "/pools", .line = 3, .reason = "why"});
  const Json body = Json::parse(AnswerAdmin(1, invalid).body);
  CHECK(body["errors"][0]["line"] == 3);
  CHECK(body["error"] == "invalid");
}

}  // namespace
}  // namespace godwitpaddle

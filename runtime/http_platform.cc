#include "runtime/http_platform.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/platform_adapter.h"

namespace godwitpaddle {
namespace {

using Json = nlohmann::json;
using Done = std::function<void(PlatformEvent)>;

constexpr std::int64_t kCallTimeoutMs = 3'000;
constexpr std::size_t kMaxResponseBytes = 64U << 10U;
constexpr EnumNames<3> kStateNames = {"running", "done", "failed"};

bool Succeeded(const HttpResult& result) {
  return result.end == TransferEnd::kAnswered && result.status >= 200 && result.status < 300;
}

PlatformEvent Unreachable(const std::string& operation, const HttpResult& result) {
  std::string error = result.end == TransferEnd::kAnswered
                          ? "the platform answered " + std::to_string(result.status)
                          : result.error;
  return {
      .operation_id = operation, .state = PlatformState::kUnreachable, .error = std::move(error)};
}

PlatformEvent ReadState(const std::string& operation, const HttpResult& result) {
  if (!Succeeded(result)) return Unreachable(operation, result);
  const Json json = Json::parse(result.body, nullptr, false);
  const bool has_state = json.is_object() && json.contains("state") && json["state"].is_string();
  const auto state = has_state
                         ? ValueOf<PlatformState>(kStateNames, json["state"].get<std::string>())
                         : std::nullopt;
  if (!state) {
    return {.operation_id = operation,
            .state = PlatformState::kUnreachable,
            .error = "the platform's response has no known state"};
  }
  PlatformEvent event{.operation_id = operation, .state = *state};
  if (json.contains("error") && json["error"].is_string()) event.error = json["error"];
  return event;
}

/// Platform adapter for HTTP: PUT /operations/{id} starts the operation, GET /operations/{id}
/// returns its state.
class HttpPlatform : public PlatformAdapter {
 public:
  explicit HttpPlatform(const PlatformContext& context)
      : base_("http://" + context.address + "/operations/"), client_(context.client) {}

  void Call(const PlatformCall& call, Done done) override {
    Json body = {{"vm", call.vm}, {"action", call.action}};
    if (!call.pool.empty()) body["pool"] = call.pool;
    HttpTransfer put = Transfer("PUT", call.operation_id);
    put.headers["Content-Type"] = "application/json";
    put.body = body.dump();
    put.done = [this, operation = call.operation_id,
                done = std::move(done)](const HttpResult& result) {
      if (Succeeded(result)) {
        QueryState(operation, done);
      } else {
        done(Unreachable(operation, result));
      }
    };
    client_->mailbox().ForcePush(std::move(put));
  }

 private:
  void QueryState(const std::string& operation, const Done& done) {
    HttpTransfer get = Transfer("GET", operation);
    get.done = [operation, done](const HttpResult& result) { done(ReadState(operation, result)); };
    client_->mailbox().ForcePush(std::move(get));
  }

  HttpTransfer Transfer(const std::string& method, const std::string& operation) const {
    return {.method = method,
            .url = base_ + operation,
            .timeout_ms = kCallTimeoutMs,
            .max_response_bytes = kMaxResponseBytes};
  }

  const std::string base_;
  HttpClient* client_;
};

[[maybe_unused]] const bool registered = PlatformRegistry::Instance().Add(
    "http", [](const PlatformContext& context) { return std::make_unique<HttpPlatform>(context); });

}  // namespace

void LinkHttpPlatform() {}

}  // namespace godwitpaddle

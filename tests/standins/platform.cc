#include "tests/standins/platform.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace godwitpaddle::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMailboxCapacity = 4'096;
constexpr std::string_view kPathPrefix = "/operations/";

RespondEffect JsonResponse(int status, const Json& body) {
  return {.status = status, .body = body.dump() + "\n"};
}

}  // namespace

Platform::Platform(PlatformOptions options)
    : Task("platform", kMailboxCapacity), options_(std::move(options)) {
  client_.Start();
  server_ = std::make_unique<HttpServer>(HttpServerOptions{.address = options_.address},
                                         HttpServer::Handlers{.deliver = [this](HttpEvent event) {
                                           return mailbox().TryPush(std::move(event));
                                         }});
}

Platform::~Platform() {
  server_->Stop(0);
  Stop();
  client_.Stop();
}

void Platform::Handle(HttpEvent request) {
  RespondEffect response;
  try {
    response = Answer(request);
  } catch (const std::exception& error) {
    response = JsonResponse(400, {{"error", error.what()}});
  }
  response.connection = request.connection;
  server_->Respond(std::move(response));
}

RespondEffect Platform::Answer(const HttpEvent& request) {
  if (request.path == "/control/faults") return SetFaults(request.body);
  if (unreachable_) return {.status = kCloseWithoutResponse};
  if (request.path == "/vms") return ListVms();
  if (!request.path.starts_with(kPathPrefix)) return JsonResponse(404, {{"error", "no such path"}});
  const std::string id = request.path.substr(kPathPrefix.size());
  if (request.method == "PUT") return PutOperation(id, request.body);
  const auto found = operations_.find(id);
  if (found == operations_.end()) return JsonResponse(404, {{"error", "no such operation"}});
  return JsonResponse(200, {{"state", found->second.state}, {"error", found->second.error}});
}

RespondEffect Platform::ListVms() const {
  Json list = Json::array();
  for (const PlatformVm& vm : options_.vms) {
    list.push_back({{"vm", vm.vm}, {"pool", vm.pool}, {"zone", vm.zone}, {"rack", vm.rack}});
  }
  return JsonResponse(200, list);
}

RespondEffect Platform::PutOperation(const std::string& id, const std::string& body) {
  const Json json = Json::parse(body);
  const Operation operation{
      .vm = json.at("vm"), .action = json.at("action"), .pool = json.value("pool", "")};
  const auto [found, added] = operations_.emplace(id, operation);
  if (added) {
    StartOperation(id, operation);
  } else if (found->second.vm != operation.vm || found->second.action != operation.action) {
    return JsonResponse(409, {{"error", "the id belongs to another operation"}});
  }
  return JsonResponse(200, {{"state", found->second.state}});
}

bool Platform::ShouldFail(const std::string& vm) {
  if (fail_vms_.contains(vm)) return true;
  if (fail_next_ == 0) return false;
  --fail_next_;
  return true;
}

void Platform::StartOperation(const std::string& id, const Operation& operation) {
  const auto vm = std::ranges::find(options_.vms, operation.vm, &PlatformVm::vm);
  Operation& stored = operations_.at(id);
  if (vm == options_.vms.end() || ShouldFail(operation.vm)) {
    stored.state = "failed";
    stored.error = vm == options_.vms.end() ? "no such VM" : "injected failure";
    return;
  }
  Json order = {{"vm", operation.vm}, {"action", operation.action}, {"away_ms", options_.away_ms}};
  if (operation.action == "move") {
    vm->pool = operation.pool;
    const auto service = options_.services.find(operation.pool);
    order["service"] = service == options_.services.end() ? operation.pool : service->second;
  }
  if (operation.action != "drain") {
    for (const std::string& control : options_.control_addresses) {
      client_.mailbox().Push(
          {.method = "POST", .url = "http://" + control + "/control/vms", .body = order.dump()});
    }
  }
  timers().Schedule(MonotonicNow() + options_.operation_ms * kMillisecond,
                    [this, id] { FinishOperation(id); });
}

void Platform::FinishOperation(const std::string& id) { operations_.at(id).state = "done"; }

RespondEffect Platform::SetFaults(const std::string& body) {
  const Json faults = Json::parse(body);
  fail_next_ = faults.value("fail_next", fail_next_);
  unreachable_ = faults.value("unreachable", unreachable_);
  options_.operation_ms = faults.value("operation_ms", options_.operation_ms);
  options_.away_ms = faults.value("away_ms", options_.away_ms);
  if (faults.contains("fail_vms")) fail_vms_ = faults.at("fail_vms").get<std::set<std::string>>();
  return JsonResponse(200, {{"ok", true}});
}

}  // namespace godwitpaddle::standins

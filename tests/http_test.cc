#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <optional>
#include <thread>

#include "runtime/http_client.h"
#include "runtime/http_platform.h"
#include "runtime/http_server.h"
#include "runtime/platform_adapter.h"
#include "tests/runtime_support.h"

namespace godwitpaddle::testing {
namespace {

/// Server whose requests the test takes and answers by hand.
struct ManualServer {
  Inbox<HttpEvent> requests;
  Inbox<std::uint64_t> closed;
  bool accept = true;
  HttpServer server;

  explicit ManualServer(HttpServerOptions options = {})
      : server(
            [&] {
              options.address = "127.0.0.1:0";
              return options;
            }(),
            {.deliver =
                 [this](HttpEvent event) {
                   if (accept) requests.Add(std::move(event));
                   return accept;
                 },
             .client_closed = [this](std::uint64_t number) { closed.Add(number); },
             .respond_locally =
                 [](const HttpEvent& event) {
                   return event.path == "/metrics" ? std::optional(RespondEffect{.body = "local"})
                                                   : std::nullopt;
                 }}) {}

  std::string Url(const std::string& path) const {
    return "http://" + LocalAddress(server.port()) + path;
  }
};

std::future<HttpResult> Begin(HttpClient& client, HttpTransfer transfer) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  transfer.done = [promise](HttpResult result) { promise->set_value(std::move(result)); };
  client.mailbox().Push(std::move(transfer));
  return promise->get_future();
}

HttpResult Wait(std::future<HttpResult>& result) {
  REQUIRE(result.wait_for(kTestTimeout) == std::future_status::ready);
  return result.get();
}

HttpResult Wait(std::future<HttpResult>&& result) { return Wait(result); }

TEST_CASE("HTTP server and client carry whole requests and answers") {
  ManualServer manual({.max_body_bytes = 1'000});
  HttpClient client;
  client.Start();

  SECTION("a request arrives whole, and late answers go to the right callers") {
    auto first = Begin(client, {.method = "POST",
                                .url = manual.Url("/v1/x%20y?a=1&b="),
                                .headers = {{"X-Some-Header", "Value"}},
                                .body = std::string(1'000, 'b')});
    const HttpEvent one = manual.requests.Next();
    CHECK(one.method == "POST");
    CHECK(one.path == "/v1/x y");
    CHECK(one.query == std::map<std::string, std::string>{{"a", "1"}, {"b", ""}});
    CHECK(one.headers.at("x-some-header") == "Value");
    CHECK(one.body == std::string(1'000, 'b'));
    auto second = Begin(client, {.method = "DELETE", .url = manual.Url("/second")});
    const HttpEvent two = manual.requests.Next();
    CHECK(two.method == "DELETE");
    manual.server.Respond({.connection = two.connection, .status = 404, .body = "two"});
    manual.server.Respond({.connection = one.connection,
                           .status = 200,
                           .headers = {{"X-Not-Run", "true"}},
                           .body = "one"});
    const HttpResult late = Wait(first);
    CHECK(late.end == TransferEnd::kAnswered);
    CHECK(late.body == "one");
    CHECK(late.headers.at("x-not-run") == "true");
    CHECK(Wait(second).status == 404);
  }
  SECTION("a body over the bound is answered 413 and never delivered") {
    for (const std::size_t bytes : {1'001U, 30'000U}) {
      const HttpResult refused = Wait(
          Begin(client,
                {.method = "POST", .url = manual.Url("/large"), .body = std::string(bytes, 'x')}));
      CHECK(refused.status == 413);
      CHECK(refused.body.find("\"not_run\":true") != std::string::npos);
    }
    auto next = Begin(client, {.url = manual.Url("/next")});
    const HttpEvent request = manual.requests.Next();
    CHECK(request.path == "/next");
    manual.server.Respond({.connection = request.connection});
    CHECK(Wait(next).status == 200);
  }
  SECTION("local requests and those that cannot be taken are answered at once") {
    CHECK(Wait(Begin(client, {.url = manual.Url("/metrics")})).body == "local");
    manual.accept = false;
    const HttpResult refused = Wait(Begin(client, {.url = manual.Url("/")}));
    CHECK(refused.status == 503);
    CHECK(refused.headers.at("retry-after") == "1");
  }
  SECTION("oversized headers are refused") {
    const HttpResult refused = Wait(
        Begin(client, {.url = manual.Url("/"), .headers = {{"X-Long", std::string(40'000, 'h')}}}));
    CHECK(refused.status == 431);
  }
  SECTION("a caller that goes away before the answer is noticed") {
    FileDescriptor caller = ConnectTo(manual.server.port());
    SendAll(caller, "GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::uint64_t number = manual.requests.Next().connection;
    caller.Reset();
    CHECK(manual.closed.Next() == number);
    manual.server.Respond({.connection = number});  // too late; must be ignored
  }
  SECTION("a stopping server answers what it holds and takes nothing new") {
    auto held = Begin(client, {.url = manual.Url("/held")});
    const std::uint64_t number = manual.requests.Next().connection;
    std::thread answer([&] { manual.server.Respond({.connection = number, .body = "whole"}); });
    manual.server.Stop(60 * kSecond);
    answer.join();
    CHECK(Wait(held).body == "whole");
  }
  SECTION("a server that stops without the answer says that the outcome is unknown") {
    auto held = Begin(client, {.url = manual.Url("/held")});
    manual.requests.Next();
    manual.server.Stop(0);
    CHECK(Wait(held).status == 504);
  }
}

TEST_CASE("the HTTP client tells apart what was not sent from what broke") {
  ManualServer manual;
  HttpClient client;
  client.Start();

  SECTION("no connection: not sent") {
    auto closed_server = std::make_unique<ManualServer>();
    const std::string url = closed_server->Url("/");
    closed_server.reset();
    CHECK(Wait(Begin(client, {.method = "POST", .url = url})).end == TransferEnd::kNotSent);
  }
  SECTION("a connection that breaks after the request: broken") {
    auto result = Begin(client, {.method = "POST", .url = manual.Url("/"), .body = "x"});
    manual.server.Respond(
        {.connection = manual.requests.Next().connection, .status = kCloseWithoutResponse});
    CHECK(Wait(result).end == TransferEnd::kBroken);
  }
  SECTION("a request that breaks on a reused connection is not sent a second time") {
    // A client that repeats such a request by itself would run a task twice.
    for (const char* body : {"", "x"}) {
      auto first = Begin(client, {.method = "POST", .url = manual.Url("/1"), .body = "x"});
      manual.server.Respond({.connection = manual.requests.Next().connection});
      CHECK(Wait(first).end == TransferEnd::kAnswered);
      auto second = Begin(client, {.method = "POST", .url = manual.Url("/2"), .body = body});
      manual.server.Respond(
          {.connection = manual.requests.Next().connection, .status = kCloseWithoutResponse});
      CHECK(Wait(second).end == TransferEnd::kBroken);
      auto third = Begin(client, {.method = "POST", .url = manual.Url("/3"), .body = "x"});
      const HttpEvent next = manual.requests.Next();
      CHECK(next.path == "/3");
      manual.server.Respond({.connection = next.connection});
      CHECK(Wait(third).end == TransferEnd::kAnswered);
    }
  }
  SECTION("the deadline passes: broken, and the server notices") {
    auto result = Begin(client, {.method = "POST", .url = manual.Url("/"), .timeout_ms = 50});
    CHECK(Wait(result).end != TransferEnd::kAnswered);
  }
  SECTION("what waits for a connection until its deadline: not sent") {
    HttpClient limited({.connections_per_server = 1});
    limited.Start();
    auto first = Begin(limited, {.method = "POST", .url = manual.Url("/1")});
    const HttpEvent held = manual.requests.Next();
    auto late = Begin(limited, {.method = "POST", .url = manual.Url("/2"), .timeout_ms = 20});
    CHECK(Wait(late).end == TransferEnd::kNotSent);
    auto third = Begin(limited, {.method = "POST", .url = manual.Url("/3")});
    manual.server.Respond({.connection = held.connection});
    CHECK(Wait(first).end == TransferEnd::kAnswered);
    const HttpEvent next = manual.requests.Next();
    CHECK(next.path == "/3");
    manual.server.Respond({.connection = next.connection});
    CHECK(Wait(third).end == TransferEnd::kAnswered);
  }
  SECTION("what was decided too long ago: not sent") {
    // A leader that was frozen must not carry out what it had decided before the next one came.
    const bool reused_connection = GENERATE(true, false);
    if (reused_connection) {
      auto first = Begin(client, {.method = "POST", .url = manual.Url("/1")});
      manual.server.Respond({.connection = manual.requests.Next().connection});
      CHECK(Wait(first).end == TransferEnd::kAnswered);
    }
    const Micros past = MonotonicNow() - kMillisecond;
    auto late = Begin(client, {.method = "POST", .url = manual.Url("/2"), .send_before = past});
    CHECK(Wait(late).end == TransferEnd::kNotSent);
    auto next = Begin(client, {.method = "POST", .url = manual.Url("/3")});
    const HttpEvent request = manual.requests.Next();
    CHECK(request.path == "/3");
    manual.server.Respond({.connection = request.connection});
    CHECK(Wait(next).end == TransferEnd::kAnswered);
  }
  SECTION("what cannot be written as one request is refused: not sent") {
    // A header with a line end would smuggle a second request onto the connection.
    const HttpTransfer injected{.url = manual.Url("/"), .headers = {{"X-Id", "1\r\nX-Evil: 2"}}};
    CHECK(Wait(Begin(client, injected)).end == TransferEnd::kNotSent);
    CHECK(Wait(Begin(client, {.url = manual.Url("/a b")})).end == TransferEnd::kNotSent);
    CHECK(Wait(Begin(client, {.url = "https://127.0.0.1:1/"})).end == TransferEnd::kNotSent);
    CHECK(Wait(Begin(client, {.url = "http://no-such-name/"})).end == TransferEnd::kNotSent);
  }
  SECTION("an answer over the bound: broken") {
    auto result = Begin(client, {.url = manual.Url("/"), .max_response_bytes = 10});
    manual.server.Respond(
        {.connection = manual.requests.Next().connection, .body = std::string(11, 'x')});
    const HttpResult broken = Wait(result);
    CHECK(broken.end == TransferEnd::kBroken);
    CHECK(broken.error == "the answer is too large");
  }
}

TEST_CASE("the platform adapter puts the operation and then asks for its state") {
  LinkHttpPlatform();
  ManualServer platform;
  HttpClient client;
  client.Start();
  const auto adapter = PlatformRegistry::Instance().Make(
      "http", {.address = LocalAddress(platform.server.port()), .client = &client});
  Inbox<PlatformEvent> events;
  adapter->Call({.operation_id = "op1", .vm = "vm1", .action = "reboot"},
                [&](PlatformEvent event) { events.Add(std::move(event)); });
  const HttpEvent put = platform.requests.Next();
  CHECK(put.method == "PUT");
  CHECK(put.path == "/operations/op1");
  CHECK(put.body == R"({"action":"reboot","vm":"vm1"})");

  SECTION("a refused call is reported as unreachable") {
    platform.server.Respond({.connection = put.connection, .status = 500});
    CHECK(events.Next().state == PlatformState::kUnreachable);
  }
  SECTION("the state and the error come back") {
    platform.server.Respond({.connection = put.connection});
    const HttpEvent get = platform.requests.Next();
    CHECK(get.method == "GET");
    platform.server.Respond(
        {.connection = get.connection, .body = R"({"state":"failed","error":"no such vm"})"});
    const PlatformEvent event = events.Next();
    CHECK(event.operation_id == "op1");
    CHECK(event.state == PlatformState::kFailed);
    CHECK(event.error == "no such vm");
  }
}

}  // namespace
}  // namespace godwitpaddle::testing

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

/// HTTP server whose requests the test receives and responds to itself.
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

TEST_CASE("HTTP server and client transfer complete requests and responses") {
  ManualServer manual({.max_body_bytes = 1'000});
  HttpClient client;
  client.Start();

  SECTION("a request arrives complete, and responses out of order reach the right clients") {
    auto first = Begin(client, {.method = "POST",
                                .url = manual.Url("/v1/x%20y?a=1&b="),
                                .headers = {{"X-Some-Header", "Value"}},
                                .body = std::string(1'000, 'b')});
    const HttpEvent first_request = manual.requests.Next();
    CHECK(first_request.method == "POST");
    CHECK(first_request.path == "/v1/x y");
    CHECK(first_request.query == std::map<std::string, std::string>{{"a", "1"}, {"b", ""}});
    CHECK(first_request.headers.at("x-some-header") == "Value");
    CHECK(first_request.body == std::string(1'000, 'b'));
    auto second = Begin(client, {.method = "DELETE", .url = manual.Url("/second")});
    const HttpEvent second_request = manual.requests.Next();
    CHECK(second_request.method == "DELETE");
    manual.server.Respond({.connection = second_request.connection, .status = 404, .body = "two"});
    manual.server.Respond({.connection = first_request.connection,
                           .status = 200,
                           .headers = {{"X-Not-Run", "true"}},
                           .body = "one"});
    const HttpResult first_result = Wait(first);
    CHECK(first_result.end == TransferEnd::kAnswered);
    CHECK(first_result.body == "one");
    CHECK(first_result.headers.at("x-not-run") == "true");
    CHECK(Wait(second).status == 404);
  }
  SECTION("a body above the limit gets status 413 and is not delivered") {
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
  SECTION("local requests and those that the handler does not accept get a response at once") {
    CHECK(Wait(Begin(client, {.url = manual.Url("/metrics")})).body == "local");
    manual.accept = false;
    const HttpResult refused = Wait(Begin(client, {.url = manual.Url("/")}));
    CHECK(refused.status == 503);
    CHECK(refused.headers.at("retry-after") == "1");
  }
  SECTION("oversized headers get status 431") {
    const HttpResult refused = Wait(
        Begin(client, {.url = manual.Url("/"), .headers = {{"X-Long", std::string(40'000, 'h')}}}));
    CHECK(refused.status == 431);
  }
  SECTION("the close of a connection before the response is detected") {
    FileDescriptor client_socket = ConnectTo(manual.server.port());
    SendAll(client_socket, "GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::uint64_t number = manual.requests.Next().connection;
    client_socket.Reset();
    CHECK(manual.closed.Next() == number);
    manual.server.Respond({.connection = number});  // the connection is closed; must be ignored
  }
  SECTION("a stopping server waits for the responses to pending requests") {
    auto pending = Begin(client, {.url = manual.Url("/held")});
    const std::uint64_t number = manual.requests.Next().connection;
    std::thread responder([&] { manual.server.Respond({.connection = number, .body = "whole"}); });
    manual.server.Stop(60 * kSecond);
    responder.join();
    CHECK(Wait(pending).body == "whole");
  }
  SECTION("a server that stops before the response sends status 504: outcome unknown") {
    auto pending = Begin(client, {.url = manual.Url("/held")});
    manual.requests.Next();
    manual.server.Stop(0);
    CHECK(Wait(pending).status == 504);
  }
}

TEST_CASE("the HTTP client distinguishes requests that were not sent from broken ones") {
  ManualServer manual;
  HttpClient client;
  client.Start();

  SECTION("connection refused: not sent") {
    auto closed_server = std::make_unique<ManualServer>();
    const std::string url = closed_server->Url("/");
    closed_server.reset();
    CHECK(Wait(Begin(client, {.method = "POST", .url = url})).end == TransferEnd::kNotSent);
  }
  SECTION("connection closed after the request: broken") {
    auto result = Begin(client, {.method = "POST", .url = manual.Url("/"), .body = "x"});
    manual.server.Respond(
        {.connection = manual.requests.Next().connection, .status = kCloseWithoutResponse});
    CHECK(Wait(result).end == TransferEnd::kBroken);
  }
  SECTION("a request that breaks on a reused connection is not retried") {
    // A client that retries such a request by itself would run a task twice.
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
  SECTION("request timeout: no response") {
    auto result = Begin(client, {.method = "POST", .url = manual.Url("/"), .timeout_ms = 50});
    CHECK(Wait(result).end != TransferEnd::kAnswered);
  }
  SECTION("timeout while the request waits for a connection: not sent") {
    HttpClient limited({.connections_per_server = 1});
    limited.Start();
    auto first = Begin(limited, {.method = "POST", .url = manual.Url("/1")});
    const HttpEvent first_request = manual.requests.Next();
    auto second = Begin(limited, {.method = "POST", .url = manual.Url("/2"), .timeout_ms = 20});
    CHECK(Wait(second).end == TransferEnd::kNotSent);
    auto third = Begin(limited, {.method = "POST", .url = manual.Url("/3")});
    manual.server.Respond({.connection = first_request.connection});
    CHECK(Wait(first).end == TransferEnd::kAnswered);
    const HttpEvent next = manual.requests.Next();
    CHECK(next.path == "/3");
    manual.server.Respond({.connection = next.connection});
    CHECK(Wait(third).end == TransferEnd::kAnswered);
  }
  SECTION("no connection that was opened early enough: not sent") {
    // The next process of the server must not receive a request that is meant for the previous one.
    auto first = Begin(client, {.method = "POST", .url = manual.Url("/1")});
    const HttpEvent first_request = manual.requests.Next();
    auto second = Begin(client, {.method = "POST", .url = manual.Url("/2")});
    const HttpEvent second_request = manual.requests.Next();
    manual.server.Respond({.connection = first_request.connection});
    const std::uint64_t oldest = Wait(first).connection;
    manual.server.Respond({.connection = second_request.connection});
    CHECK(Wait(second).connection > oldest);
    const HttpTransfer bound{
        .method = "POST", .url = manual.Url("/3"), .newest_connection = oldest};
    auto third = Begin(client, bound);
    const HttpEvent third_request = manual.requests.Next();
    CHECK(Wait(Begin(client, bound)).end == TransferEnd::kNotSent);  // the connection is busy
    manual.server.Respond(
        {.connection = third_request.connection, .status = kCloseWithoutResponse});
    CHECK(Wait(third).end == TransferEnd::kBroken);
    CHECK(Wait(Begin(client, bound)).end == TransferEnd::kNotSent);  // the connection has closed
  }
  SECTION("time limit for sending has passed: not sent") {
    // A leader that was suspended must not send orders that it decided on before the next leader
    // took over.
    const bool reused_connection = GENERATE(true, false);
    if (reused_connection) {
      auto first = Begin(client, {.method = "POST", .url = manual.Url("/1")});
      manual.server.Respond({.connection = manual.requests.Next().connection});
      CHECK(Wait(first).end == TransferEnd::kAnswered);
    }
    const Micros past = MonotonicNow() - kMillisecond;
    auto expired = Begin(client, {.method = "POST", .url = manual.Url("/2"), .send_before = past});
    CHECK(Wait(expired).end == TransferEnd::kNotSent);
    auto next = Begin(client, {.method = "POST", .url = manual.Url("/3")});
    const HttpEvent request = manual.requests.Next();
    CHECK(request.path == "/3");
    manual.server.Respond({.connection = request.connection});
    CHECK(Wait(next).end == TransferEnd::kAnswered);
  }
  SECTION("invalid header or URL: not sent") {
    // A header with a line break would inject a second request into the connection.
    const HttpTransfer injected{.url = manual.Url("/"), .headers = {{"X-Id", "1\r\nX-Evil: 2"}}};
    CHECK(Wait(Begin(client, injected)).end == TransferEnd::kNotSent);
    CHECK(Wait(Begin(client, {.url = manual.Url("/a b")})).end == TransferEnd::kNotSent);
    CHECK(Wait(Begin(client, {.url = "https://127.0.0.1:1/"})).end == TransferEnd::kNotSent);
    CHECK(Wait(Begin(client, {.url = "http://no-such-name/"})).end == TransferEnd::kNotSent);
  }
  SECTION("response above the limit: broken") {
    auto result = Begin(client, {.url = manual.Url("/"), .max_response_bytes = 10});
    manual.server.Respond(
        {.connection = manual.requests.Next().connection, .body = std::string(11, 'x')});
    const HttpResult broken = Wait(result);
    CHECK(broken.end == TransferEnd::kBroken);
    CHECK(broken.error == "the response is too large");
  }
}

TEST_CASE("the platform adapter starts the operation with PUT and then gets its state") {
  LinkHttpPlatform();
  ManualServer platform;
  HttpClient client;
  client.Start();
  const auto adapter = PlatformRegistry::Instance().Create(
      "http", {.address = LocalAddress(platform.server.port()), .client = &client});
  Inbox<PlatformEvent> events;
  adapter->Call({.operation_id = "op1", .vm = "vm1", .action = "reboot"},
                [&](PlatformEvent event) { events.Add(std::move(event)); });
  const HttpEvent put = platform.requests.Next();
  CHECK(put.method == "PUT");
  CHECK(put.path == "/operations/op1");
  CHECK(put.body == R"({"action":"reboot","vm":"vm1"})");

  SECTION("an error status of the PUT is reported as unreachable") {
    platform.server.Respond({.connection = put.connection, .status = 500});
    CHECK(events.Next().state == PlatformState::kUnreachable);
  }
  SECTION("the state and the error are reported") {
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

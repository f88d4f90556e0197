#include "platform/wire.h"

#include <catch2/catch.hpp>

namespace godwitpaddle::platform {
namespace {

HttpEvent MakeRequest(const std::string& method, const std::string& path, std::string body = {}) {
  return {.connection = 7,
          .method = method,
          .path = path,
          .headers = {{"host", "shop.example"}, {"authorization", "Token k1"}},
          .body = std::move(body)};
}

int StatusOf(const Decoded& decoded) {
  const auto* response = std::get_if<RespondEffect>(&decoded);
  return response == nullptr ? 0 : response->status;
}

template <typename T>
T CallOf(const Decoded& decoded) {
  return std::get<T>(std::get<jobs::CallEvent>(decoded).call);
}

// Guards against a decoded job that differs from the one the client sent.
TEST_CASE("a client's request is decoded") {
  SECTION("a job whose steps set most fields") {
    const auto call = CallOf<jobs::JobCall>(DecodeClientRequest(MakeRequest(
        "POST", "/q/5c0e7a21d94b36f8",
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimate_ms":900,
            "data_rack":"r1-3","image":"i"},{"count":2,"depends_on":[0],"checkpointing":true,
            "long_running":true,"may_miss":1,"anti_affinity":2,"target_ms":40,"fills":true}]})")));
    CHECK(call.kind == jobs::JobCallKind::kSubmit);
    CHECK(call.key == "k1");
    CHECK(call.host == "shop.example");
    REQUIRE(call.spec.steps.size() == 2);
    CHECK(call.spec.steps[0].size.accelerators == 1);
    CHECK(call.spec.steps[1].long_running);
    CHECK(call.spec.steps[1].max_unavailable == 1);
    CHECK(call.spec.steps[1].max_per_worker == 2);
    CHECK(call.spec.steps[1].depends_on == std::vector<std::uint32_t>{0});
  }
  SECTION("a malformed job gets status 400 and does not reach the node") {
    CHECK(StatusOf(DecodeClientRequest(MakeRequest("POST", "/q/1", "{\"steps\":[{\"co"))) == 400);
    CHECK(StatusOf(DecodeClientRequest(MakeRequest("POST", "/q/1", R"({"steps":7})"))) == 400);
    CHECK(StatusOf(DecodeClientRequest(
              MakeRequest("POST", "/q/1", R"({"steps":[{"count":"four"}]})"))) == 400);
    CHECK(StatusOf(DecodeClientRequest(
              MakeRequest("POST", "/q/1", R"({"steps":[{"count":-1}]})"))) == 400);
  }
  SECTION("the client's deadline becomes the timeout of the call") {
    HttpEvent request = MakeRequest("GET", "/q/");
    request.headers["godwitpaddle-deadline-ms"] = "1200";
    CHECK(std::get<jobs::CallEvent>(DecodeClientRequest(request)).timeout_ms == 1'200);
  }
}

// Guards against a malformed heartbeat that registers a worker that does not exist.
TEST_CASE("a worker's heartbeat is decoded") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready",
          "cold_remaining_ms":0,"machine":"m1","capacity":{"cpu":16000,"mem_mb":1,"gpu":0},
          "labels":["a","r1"],"clock_ms":5,"sequence":4,"born":99})";
  const auto call =
      CallOf<jobs::HeartbeatCall>(DecodeControlRequest(MakeRequest("PUT", "/instances/i-1", good)));
  CHECK(call.record.id == "i-1");
  CHECK(call.record.incarnation_ms == 99);
  CHECK(call.record.vm == "m1");
  CHECK(call.record.rack() == "r1");
  SECTION("a missing field or an unknown state is rejected") {
    for (const char* bad : {R"({"service":"s"})", "\xff\x00", R"([1])"}) {
      CHECK(StatusOf(DecodeControlRequest(MakeRequest("PUT", "/instances/i-1", bad))) == 400);
    }
    std::string unknown_state = good;
    unknown_state.replace(unknown_state.find("ready"), 5, "weary");
    CHECK(StatusOf(DecodeControlRequest(MakeRequest("PUT", "/instances/i-1", unknown_state))) ==
          400);
  }
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Guards against the heartbeat of another writer, which was taken for that of a worker: core
// processes ended, and the tasks of a sound worker on the same VM ran twice.
TEST_CASE("a heartbeat that is not whole is rejected") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,)"
      R"("state":"ready","cold_remaining_ms":0,"machine":"m1",)"
      R"("capacity":{"cpu":16000,"mem_mb":1,"gpu":0},"labels":["a","r1"],"clock_ms":5,)"
      R"("sequence":4,"born":99})";
  const auto status = [](const std::string& id, const std::string& body) {
    return StatusOf(DecodeControlRequest(MakeRequest("PUT", "/instances/" + id, body)));
  };
  REQUIRE(status("i-1", good) == 0);
  SECTION("because a field is missing") {
    for (const char* field :
         {R"("service":"s",)", R"("address":"10.0.0.1:80",)", R"("zone":"a",)",
          R"("version":"v1",)", R"("slots":8,)", R"("state":"ready",)", R"("cold_remaining_ms":0,)",
          R"("machine":"m1",)", R"("capacity":{"cpu":16000,"mem_mb":1,"gpu":0},)",
          R"("labels":["a","r1"],)", R"("sequence":4,)", R"(,"born":99)"}) {
      INFO(field);
      CHECK(status("i-1", Replaced(good, field, "")) == 400);
    }
  }
  SECTION("because a number is out of range") {
    for (const char* born : {"-1", "0", "9223372036854775807", "9223372036854775808",
                             "18446744073709551615", "1e30", "1.5"}) {
      INFO(born);
      CHECK(status("i-1", Replaced(good, "99", born)) == 400);
    }
    for (const char* number : {"-1", "18446744073709551615", "18446744073709551616"}) {
      INFO(number);
      CHECK(status("i-1",
                   Replaced(good, "\"sequence\":4", std::string("\"sequence\":") + number)) == 400);
      CHECK(status("i-1",
                   Replaced(good, "\"clock_ms\":5", std::string("\"clock_ms\":") + number)) == 400);
      CHECK(status("i-1", Replaced(good, "\"slots\":8", std::string("\"slots\":") + number)) ==
            400);
      CHECK(status("i-1", Replaced(good, "16000", number)) == 400);
    }
    CHECK(status("i-1", Replaced(good, "16000", "9223372036854775807")) == 400);
    CHECK(status("i-1", Replaced(good, "\"clock_ms\":5", R"("clock_ms":9223372036854775807)")) ==
          400);
  }
  SECTION("because its address is none") {
    for (const char* address :
         {"10.0.0.1", "10.0.0.1:", ":80", ":", "x", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:70000",
          "10.0.0.1:99999999999999999999", "10.0.0.1:80/x", "10.0.0.1:80\\r\\nX: y", "10.0.0:80",
          "10.0.0.1:+80", "10.0.0.256:80"}) {
      INFO(address);
      CHECK(status("i-1", Replaced(good, "10.0.0.1:80", address)) == 400);
    }
  }
  SECTION("because an id is empty or not plain text") {
    CHECK(status("", good) == 400);
    CHECK(status("\xff\x01", good) == 400);
    CHECK(status("i 1", good) == 400);
    CHECK(status(std::string(300, 'i'), good) == 400);
    CHECK(status("i-1", Replaced(good, "\"m1\"", "\"\"")) == 400);
  }
}

// Guards against a truncated configuration that is accepted.
TEST_CASE("a configuration is decoded") {
  const std::string good =
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","timeout_ms":3000,
          "service":"s","attempts":3,"stretch":1.6,"public":true}],"services":[{"name":"s"}],
          "tenants":[{"name":"t","api_keys":["k"],"weight":2,"cap":{"cpu":5}}]})";
  const auto call =
      CallOf<jobs::ConfigureCall>(DecodeControlRequest(MakeRequest("PUT", "/config", good)));
  CHECK(call.configuration.version == 7);
  CHECK(call.configuration.document == good);
  CHECK(call.configuration.teams[0].limit.cpu == 5);
  CHECK(StatusOf(DecodeControlRequest(
            MakeRequest("PUT", "/config", good.substr(0, good.size() / 2)))) == 400);
}

// Guards against an order about a zone that takes effect although it was not sent so.
TEST_CASE("an operator's order about a zone is decoded") {
  const auto decode = [](const char* method, const std::string& path, std::string body = {}) {
    return DecodeControlRequest(MakeRequest(method, path, std::move(body)));
  };
  const auto evacuate = CallOf<jobs::EvacuationCall>(decode("POST", "/evacuations/tunis-a"));
  CHECK(evacuate.zone == "tunis-a");
  CHECK(evacuate.evacuated);
  const auto take_back = CallOf<jobs::EvacuationCall>(decode("DELETE", "/evacuations/tunis-a"));
  CHECK(take_back.zone == "tunis-a");
  CHECK_FALSE(take_back.evacuated);
  SECTION("one without a zone, with a body or with another method is rejected") {
    CHECK(StatusOf(decode("POST", "/evacuations/")) == 400);
    CHECK(StatusOf(decode("POST", "/evacuations/a b")) == 400);
    CHECK(StatusOf(decode("POST", "/evacuations/tunis-a", "{}")) == 400);
    CHECK(StatusOf(decode("PUT", "/evacuations/tunis-a")) == 400);
    CHECK(StatusOf(decode("GET", "/evacuations/tunis-a")) == 400);
  }
}

// Guards against an unknown outcome of an order that is decoded as a known one.
TEST_CASE("orders are encoded and the replies decoded") {
  const jobs::Order start = jobs::StartOrder{
      .task = {.job = 0x5c0e7a21d94b36f8, .step = 1, .index = 17}, .run = 2, .lease_until_ms = 9};
  const HttpTransfer transfer = EncodeOrder({.address = "10.0.0.1:80",
                                             .worker = "i-1",
                                             .fencing_token = 7,
                                             .order = start,
                                             .timeout_ms = 400});
  CHECK(transfer.url == "http://10.0.0.1:80/run-start");
  CHECK_THAT(transfer.body, Catch::Contains("\"5c0e7a21d94b36f8.0.1.17\""));
  CHECK(transfer.headers.at("Godwitpaddle-Expected-Instance") == "i-1");
  const auto outcome = [&](TransferEnd end, int status, const std::string& body) {
    return DecodeOrderReply(start, {.end = end, .status = status, .body = body}).outcome;
  };
  CHECK(outcome(TransferEnd::kAnswered, 200, R"({"clock_ms":1})") == jobs::OrderOutcome::kDone);
  CHECK(outcome(TransferEnd::kNotSent, 0, "") == jobs::OrderOutcome::kNotSent);
  CHECK(outcome(TransferEnd::kBroken, 0, "") == jobs::OrderOutcome::kUnknown);
  CHECK(outcome(TransferEnd::kAnswered, 200, "{\"clo") == jobs::OrderOutcome::kUnknown);
  CHECK(outcome(TransferEnd::kAnswered, 421, "") == jobs::OrderOutcome::kOtherInstance);
  SECTION("a malformed or missing run list makes the outcome of a lease renewal unknown") {
    const auto reply = DecodeOrderReply(
        jobs::RenewLeaseOrder{},
        {.end = TransferEnd::kAnswered,
         .status = 200,
         .body = R"({"clock_ms":3,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,7]],
                           "finished_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done","s"]]})"});
    CHECK(reply.incarnation_ms == 9);
    REQUIRE(reply.running.size() == 1);
    CHECK(reply.running[0].load_metric == 7);
    REQUIRE(reply.ended.size() == 1);
    CHECK(reply.ended[0].kind == jobs::EndKind::kDone);
    const auto malformed = DecodeOrderReply(
        jobs::RenewLeaseOrder{},
        {.end = TransferEnd::kAnswered, .status = 200, .body = R"({"running":[["x",2]]})"});
    CHECK(malformed.outcome == jobs::OrderOutcome::kUnknown);
    // Guards against missing lists that are read as empty: the leader would assume that no task
    // runs on the worker.
    for (const char* body : {"", R"({"clock_ms":3,"born":9})", R"({"born":9,"running":[]})"}) {
      INFO(body);
      const HttpResult result{.end = TransferEnd::kAnswered, .status = 200, .body = body};
      CHECK(DecodeOrderReply(jobs::RenewLeaseOrder{}, result).outcome ==
            jobs::OrderOutcome::kUnknown);
    }
  }
}

// Guards against numbers that were cut to their low bits or wrapped around: the run or the end of
// another number counted, and all later ends of the worker were dropped.
TEST_CASE("a run list with a number out of range makes the outcome unknown") {
  const auto outcome = [](const std::string& running, const std::string& ended,
                          const std::string& clock) {
    const std::string body = R"({"clock_ms":)" + clock + R"(,"born":9,"running":[)" + running +
                             R"(],"finished_runs":[)" + ended + "]}";
    return DecodeOrderReply(jobs::RenewLeaseOrder{},
                            {.end = TransferEnd::kAnswered, .status = 200, .body = body})
        .outcome;
  };
  const std::string running = R"(["5c0e7a21d94b36f8.0.1.17",2,"",41,7])";
  const std::string ended = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done","s"])";
  REQUIRE(outcome(running, ended, "3") == jobs::OrderOutcome::kDone);
  CHECK(outcome(Replaced(running, ",7]", ",1e300]"), ended, "3") == jobs::OrderOutcome::kDone);
  for (const char* odd : {"-1", "4294967298", "18446744073709551615", "1e30", "true", "null",
                          "\"2\"", "2.5", "[[[[2]]]]"}) {
    INFO(odd);
    CHECK(outcome(Replaced(running, ",2,", std::string(",") + odd + ","), ended, "3") ==
          jobs::OrderOutcome::kUnknown);
    CHECK(outcome(running, Replaced(ended, ",1,", std::string(",") + odd + ","), "3") ==
          jobs::OrderOutcome::kUnknown);
  }
  for (const char* odd : {"-1", "0", "18446744073709551615", "1e30", "false"}) {
    INFO(odd);
    CHECK(outcome(running, Replaced(ended, "58", odd), "3") == jobs::OrderOutcome::kUnknown);
  }
  for (const char* odd : {"-1", "9223372036854775807", "18446744073709551615", "\"3\""}) {
    INFO(odd);
    CHECK(outcome(running, ended, odd) == jobs::OrderOutcome::kUnknown);
  }
}

// Guards against a list of VMs that is never read because one of its entries is of another writer.
TEST_CASE("one odd entry in the list of VMs does not hide the others") {
  const std::string good =
      R"({"machine":"m1","pool":"p","state":"up","zone":"a","labels":["a","r1"],)"
      R"("capacity":{"cpu":16000,"mem_mb":1,"gpu":0},"id":"i-1"})";
  const auto list = [](const std::string& entries) {
    const HttpResult result{.end = TransferEnd::kAnswered,
                            .status = 200,
                            .body = R"({"machines":[)" + entries + R"(],"next_token":null})"};
    return DecodeVmReply(jobs::ListVms{}, result);
  };
  const std::string deep = std::string(20'000, '[') + std::string(20'000, ']');
  for (const std::string& odd :
       {std::string("7"), std::string("{}"), std::string("null"), deep,
        Replaced(good, "16000", "1e30"), Replaced(good, "16000", "18446744073709551615"),
        Replaced(good, "\"up\"", "\"asleep\""), Replaced(good, "\"m1\"", "\"\""),
        Replaced(good, "[\"a\",\"r1\"]", "[7]")}) {
    std::string entries = Replaced(good, "m1", "m0");
    entries.append(",").append(odd).append(",").append(good);
    const jobs::VmReply reply = list(entries);
    CHECK(reply.outcome == jobs::VmOutcome::kDone);
    REQUIRE(reply.vms.size() == 2);
    CHECK(reply.vms[0].vm == "m0");
    CHECK(reply.vms[1].vm == "m1");
    CHECK(reply.unreadable == 1);
  }
}

// Guards against a job whose numbers overflow later, or that depends on another step than it says.
TEST_CASE("a job with a number out of range is rejected") {
  const auto status = [](const std::string& step) {
    return StatusOf(DecodeClientRequest(
        MakeRequest("POST", "/q/5c0e7a21d94b36f8", R"({"steps":[{"count":1},{)" + step + "}]}")));
  };
  REQUIRE(status(R"("count":1,"depends_on":[0],"estimate_ms":900)") == 0);
  for (const char* step :
       {R"("depends_on":[4294967296])", R"("depends_on":[-1])", R"("estimate_ms":-1)",
        R"("estimate_ms":9223372036854775807)", R"("cpu":9223372036854775807)",
        R"("cpu":18446744073709551615)", R"("mem_mb":-1)", R"("target_ms":1e30)"}) {
    INFO(step);
    CHECK(status(step) == 400);
  }
}

}  // namespace
}  // namespace godwitpaddle::platform

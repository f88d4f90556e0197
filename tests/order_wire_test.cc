#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "platform/wire.h"

namespace godwitpaddle::platform {
namespace {

using Json = nlohmann::json;

constexpr char kTask[] = "5c0e7a21d94b36f8.0.1.17";
constexpr char kQuotedTask[] = "\"5c0e7a21d94b36f8.0.1.17\"";

std::string Joined(const std::vector<std::string>& parts, const std::string& between = "") {
  std::string text;
  for (const std::string& part : parts) {
    if (&part != &parts.front()) text += between;
    text += part;
  }
  return text;
}

const Json* FindValue(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t kLargestTimeMs = 10'000'000'000'000;

/// Returns an integer of at least `low` and at most `high`.
std::int64_t IntegerFrom(const Json& value, std::int64_t low, std::int64_t high) {
  if (!value.is_number_integer()) throw std::runtime_error("not an integer");
  const bool fits = !value.is_number_unsigned() ||
                    value.get<std::uint64_t>() <= static_cast<std::uint64_t>(kLargest);
  if (!fits || value.get<std::int64_t>() < low || value.get<std::int64_t>() > high) {
    throw std::runtime_error("out of range");
  }
  return value.get<std::int64_t>();
}

std::int64_t TimeIn(const Json& object, const char* key) {
  const Json* value = FindValue(object, key);
  return value == nullptr ? 0 : IntegerFrom(*value, 0, kLargestTimeMs);
}

std::uint32_t RunFrom(const Json& value) {
  return static_cast<std::uint32_t>(
      IntegerFrom(value, 1, std::numeric_limits<std::uint32_t>::max()));
}

/// Returns a figure that need not be whole, cut to the range from 0 to `high`.
std::int64_t FigureFrom(const Json& value, double high) {
  if (!value.is_number()) throw std::runtime_error("not a number");
  return static_cast<std::int64_t>(std::min(high, std::max(0.0, value.get<double>())));
}

jobs::TaskId TaskIn(const Json& value) { return jobs::ParseTask(value.get<std::string>()).value(); }

const Json& ListIn(const Json& object, const char* key) {
  const Json* value = FindValue(object, key);
  if (value == nullptr || !value->is_array()) throw std::runtime_error("no list");
  return *value;
}

const Json& RowOf(const Json& row, std::size_t size) {
  if (!row.is_array() || row.size() < size) throw std::runtime_error("not a row");
  return row;
}

/// Index of a name, or nothing.
std::optional<std::size_t> IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::ranges::find(names, name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - names.begin());
}

/// Reads a reply by way of a document, as the meaning of the interface is easiest to see. Throws
/// for a body that does not conform.
jobs::OrderReply ReadDocument(const std::string& body, bool expects_lists) {
  jobs::OrderReply reply;
  const Json json = Json::parse(body);
  if (!json.is_object()) throw std::runtime_error("not an object");
  reply.clock_ms = TimeIn(json, "clock_ms");
  reply.incarnation_ms = TimeIn(json, "born");
  if (const Json* reason = FindValue(json, "reason")) {
    const auto index =
        IndexOf({"", "fence", "old", "late", "room", "ticket"}, reason->get<std::string>());
    reply.reason = static_cast<jobs::RefusalReason>(index.value_or(0));
  }
  if (!expects_lists) return reply;
  for (const Json& one : ListIn(json, "running")) {
    const Json& row = RowOf(one, 4);
    jobs::RunningTask running{.task = TaskIn(row[0]),
                              .run = RunFrom(row[1]),
                              .checkpoint = row[2].get<std::string>(),
                              .speed_percent = static_cast<std::uint32_t>(FigureFrom(row[3], 1e9))};
    if (row.size() > 4 && row[4].is_number()) running.load_metric = FigureFrom(row[4], 1e12);
    reply.running.push_back(running);
  }
  for (const Json& one : ListIn(json, "finished_runs")) {
    const Json& row = RowOf(one, 5);
    const auto kind = IndexOf({"done", "failed", "stopped", "lapsed", "broken", "alone"},
                              row[3].get<std::string>());
    reply.ended.push_back({.number = static_cast<std::uint64_t>(IntegerFrom(row[0], 1, kLargest)),
                           .task = TaskIn(row[1]),
                           .run = RunFrom(row[2]),
                           .kind = static_cast<jobs::EndKind>(kind.value()),
                           .checkpoint = row[4].get<std::string>()});
  }
  return reply;
}

std::string Describe(const jobs::OrderReply& reply) {
  Json lists = {Json::array(), Json::array()};
  for (const auto& one : reply.running) {
    lists[0].push_back(
        {jobs::FormatTask(one.task), one.run, one.checkpoint, one.speed_percent, one.load_metric});
  }
  for (const auto& one : reply.ended) {
    lists[1].push_back({one.number, jobs::FormatTask(one.task), one.run, static_cast<int>(one.kind),
                        one.checkpoint});
  }
  return Json({static_cast<int>(reply.outcome), reply.connection, static_cast<int>(reply.reason),
               reply.clock_ms, reply.incarnation_ms, lists})
      .dump();
}

/// What the reading by way of a document makes of a response with this status.
std::string Expected(const std::string& body, jobs::OrderOutcome outcome, bool expects_lists) {
  try {
    jobs::OrderReply reply;
    if (!body.empty() || expects_lists) reply = ReadDocument(body, expects_lists);
    reply.outcome = outcome;
    reply.connection = 3;
    return Describe(reply);
  } catch (const std::exception&) {
    return Describe({.outcome = jobs::OrderOutcome::kUnknown});
  }
}

void CheckReading(const std::string& body) {
  INFO(body);
  const auto decode = [&](const jobs::Order& order, int status) {
    return Describe(DecodeOrderReply(
        order, {.end = TransferEnd::kAnswered, .status = status, .body = body, .connection = 3}));
  };
  CHECK(decode(jobs::RenewLeaseOrder{}, 200) == Expected(body, jobs::OrderOutcome::kDone, true));
  CHECK(decode(jobs::StartOrder{}, 200) == Expected(body, jobs::OrderOutcome::kDone, false));
  CHECK(decode(jobs::RenewLeaseOrder{}, 409) ==
        Expected(body, jobs::OrderOutcome::kRefused, false));
}

/// Values that a field or an entry of a row may have by mistake.
const std::vector<std::string>& Values() {
  static const std::vector<std::string> values = {
      "null",
      "true",
      "false",
      "0",
      "7",
      "-7",
      "4294967296",
      "18446744073709551615",
      "-9223372036854775808",
      "36893488147419103232",
      "1.0",
      "41.9",
      "1e400",
      "\"\"",
      "\"7\"",
      "\"fence\"",
      "\"done\"",
      "\"tired\"",
      kQuotedTask,
      "\"\\u00e9\\ud83d\\ude00\\u0000\"",
      "\"\\ud83d\"",
      "\"\xff\"",
      "\"\xc3\xa9\"",
      "\"line\nend\"",
      "[]",
      "{}",
      "[[]]",
      "[{}]",
      "[7]",
      "[null]",
      "[[[[[1]]]]]",
      "{\"a\":[[1]]}",
      "{\"running\":[]}",
      "{\"clock_ms\":9}",
      "[{\"clock_ms\":9}]",
      Joined({"[[", kQuotedTask, ",1,\"\",100]]"}),
      Joined({"[[1,", kQuotedTask, ",1,\"done\",\"\"]]"}),
      "07",
      "nul",
      "",
      "'a'",
      "NaN",
      "// none"};
  return values;
}

using Entries = std::vector<std::string>;

std::string Body(const Entries& running, const Entries& ended) {
  return Joined({R"({"clock_ms":3,"born":9,"reason":"old","running":[[)", Joined(running, ","),
                 R"(]],"finished_runs":[[)", Joined(ended, ","), "]]}"});
}

Entries Running() { return {kQuotedTask, "2", "\"r\"", "41", "7"}; }
Entries Ended() { return {"58", kQuotedTask, "1", "\"failed\"", "\"s\""}; }

/// Returns the entries with the one at `index` replaced.
Entries With(Entries entries, std::size_t index, const std::string& value) {
  entries.at(index) = value;
  return entries;
}

// Guards against a reply that is taken for another one: the leader would conclude that a run goes
// on, ended or was refused. A reading by way of a document is the standard.
TEST_CASE("a reply is read as a document would be") {
  SECTION("the bodies are not all rejected") {
    CHECK_THAT(Expected(Body(Running(), Ended()), jobs::OrderOutcome::kDone, true),
               Catch::Contains(kTask) && Catch::Contains("58"));
    CheckReading(Body(Running(), Ended()));
  }
  SECTION("any value in each field, alone and twice") {
    const std::string rest =
        R"("clock_ms":3,"born":9,"reason":"late","running":[],"finished_runs":[])";
    for (const char* key : {"clock_ms", "born", "reason", "running", "finished_runs", "", "more"}) {
      for (const std::string& value : Values()) {
        const std::string field = Joined({"\"", key, "\":", value});
        for (const Entries& fields :
             {Entries{field}, {field, rest}, {rest, field}, {rest, field, rest}}) {
          CheckReading(Joined({"{", Joined(fields, ","), "}"}));
        }
      }
    }
  }
  SECTION("a field twice: the last one counts") {
    const std::string good = Body(Running(), Ended());
    const std::string fields = good.substr(1, good.size() - 2);
    for (const char* more : {R"("running":[])", R"("running":[["x"]],"running":[])",
                             R"("running":7,"finished_runs":null,"finished_runs":[])"}) {
      CheckReading(Joined({"{", fields, ",", more, "}"}));
      CheckReading(Joined({"{", more, ",", fields, "}"}));
    }
  }
  SECTION("any value in each entry of a row, and rows of every length") {
    for (std::size_t i = 0; i < 5; ++i) {
      for (const std::string& value : Values()) {
        CheckReading(Body(With(Running(), i, value), Ended()));
        CheckReading(Body(Running(), With(Ended(), i, value)));
      }
      Entries running = Running();
      running.resize(i);
      CheckReading(Body(running, Ended()));
      Entries ended = Ended();
      ended.resize(i);
      CheckReading(Body(Running(), ended));
    }
    for (const std::string& value : Values()) {
      Entries running = Running();
      running.push_back(value);
      Entries ended = Ended();
      ended.push_back(value);
      CheckReading(Body(running, ended));
    }
  }
  SECTION("entries of one row do not remain for the next") {
    const std::string longer = Joined({"[", kQuotedTask, R"(,2,"saved",41,7])"});
    const std::string shorter = Joined({"[", kQuotedTask, R"(,3,"",42])"});
    for (const Entries& rows : {Entries{longer, shorter},
                                {shorter, longer},
                                {longer, "[]"},
                                {longer, "[[]]"},
                                {longer, "{}"}}) {
      CheckReading(Joined({R"({"running":[)", Joined(rows, ","), R"(],"finished_runs":[]})"}));
    }
  }
  SECTION("a body that is cut off, has a byte changed or text around it") {
    const std::string good = Body(Running(), Ended());
    for (std::size_t size = 0; size <= good.size(); ++size) {
      CheckReading(good.substr(0, size));
      for (const char byte : {'\0', ' ', '"', '[', ']', '{', '}', ',', ':', '-', 'x', '\xff'}) {
        std::string changed = good;
        if (size < good.size()) changed[size] = byte;
        CheckReading(changed);
      }
    }
    for (const char* text : {" ", "\n", "x", "{}", "\xef\xbb\xbf", "//"}) {
      CheckReading(Joined({text, good}));
      CheckReading(Joined({good, text}));
      CheckReading(text);
    }
  }
  SECTION("a body that is not an object") {
    for (const std::string& value : Values()) CheckReading(value);
    CheckReading(std::string(10'000, '['));
    CheckReading(Joined({R"({"more":)", std::string(10'000, '['), std::string(10'000, ']'), "}"}));
  }
}

// Guards against an order that a text from a caller makes malformed, or turns into another order.
TEST_CASE("the body of an order is that of a document with the same fields") {
  const jobs::TaskId task{.job = 0x5c0e7a21d94b36f8, .step = 1, .index = 17};
  const auto body = [](const jobs::Order& order) {
    return EncodeOrder(
               {.address = "10.0.0.1:80", .worker = "i-1", .fencing_token = 7, .order = order})
        .body;
  };
  for (const std::string& text :
       {std::string(), std::string("sleep 1200"), std::string("\",\"run\":9,\"x\":\""),
        std::string("back\\slash \"quoted\" tab\t line\r\n end"), std::string("\0\x01\x1f\x7f", 4),
        std::string("caf\u00e9 \U0001f600 \u2028"), std::string(3'000, '\\')}) {
    Json start = {
        {"task", kTask}, {"run", 2}, {"spec", text}, {"until_ms", -9}, {"fencing_token", 7}};
    CHECK(body(jobs::StartOrder{.task = task, .run = 2, .payload = text, .lease_until_ms = -9}) ==
          start.dump());
    start["checkpoint"] = "c" + text;
    CHECK(body(jobs::StartOrder{.task = task,
                                .run = 2,
                                .payload = text,
                                .checkpoint = "c" + text,
                                .lease_until_ms = -9}) == start.dump());
  }
  for (const char* text : {"\xff", "a\xc3", "\xed\xa0\x80", "\xc0\xaf"}) {
    CHECK_THROWS_AS(body(jobs::StartOrder{.task = task, .payload = text}), Json::exception);
    CHECK_THROWS_AS(body(jobs::StartOrder{.task = task, .checkpoint = text}), Json::exception);
  }
  CHECK(body(jobs::StopOrder{.task = task, .run = 4'294'967'295}) ==
        Json({{"task", kTask}, {"run", 4'294'967'295}, {"fencing_token", 7}}).dump());
  CHECK(body(jobs::ThrottleOrder{.task = task, .run = 2, .speed_percent = 40}) ==
        Json({{"task", kTask}, {"run", 2}, {"percent", 40}, {"fencing_token", 7}}).dump());
  CHECK(body(jobs::RenewLeaseOrder{}) == R"({"ack_cursor":0,"fencing_token":7})");
  CHECK(body(jobs::RenewLeaseOrder{.acknowledged_ends = 18'446'744'073'709'551'615U,
                                   .lease_until_ms = 0,
                                   .max_wait_ms = 5}) ==
        Json({{"fencing_token", 7},
              {"ack_cursor", 18'446'744'073'709'551'615U},
              {"until_ms", 0},
              {"wait_ms", 5}})
            .dump());
}

}  // namespace
}  // namespace godwitpaddle::platform

#include <catch2/catch.hpp>
#include <memory>
#include <thread>

#include "runtime/address.h"
#include "runtime/frame.h"
#include "runtime/http_platform.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/node_driver.h"
#include "runtime/peer_link.h"
#include "runtime/peer_sender.h"
#include "runtime/platform_adapter.h"
#include "runtime/settings.h"
#include "runtime/storage_task.h"
#include "tests/runtime_support.h"

namespace godwitpaddle::testing {
namespace {

PeerMessage MakeAccepted(const std::string& attempt) { return ForwardAccepted{.attempt = attempt}; }

std::string AttemptOf(const PeerMessage& message) {
  return std::get<ForwardAccepted>(message).attempt;
}

TEST_CASE("frames are decoded however the byte stream is split; malformed ones are rejected") {
  const FrameHeader header{.group = 7, .sender = "n1"};
  const std::string bytes =
      EncodeFrame(header, MakeAccepted("a")) + EncodeFrame(header, MakeAccepted("b"));

  SECTION("byte by byte, both frames are complete and in order") {
    FrameReader reader;
    std::vector<std::string> attempts;
    for (const char byte : bytes) {
      reader.Feed({&byte, 1});
      while (const auto payload = reader.Next()) {
        const Frame frame = DecodeFrame(*payload);
        CHECK(frame.header.group == 7);
        CHECK(frame.header.sender == "n1");
        attempts.push_back(AttemptOf(frame.message));
      }
    }
    CHECK(attempts == std::vector<std::string>{"a", "b"});
  }
  SECTION("a length above the limit is rejected before the payload arrives") {
    FrameReader reader;
    reader.Feed({"\x01\x00\x00\x01", 4});
    CHECK_THROWS_AS(reader.Next(), FrameError);
    CHECK_THROWS_AS(EncodeFrame(header, Forward{.body = std::string(kMaxFrameBytes, 'x')}),
                    FrameError);
  }
  SECTION("garbage, truncated payloads, extra bytes and huge counts are malformed") {
    const std::string payload = EncodeFrame(header, MakeAccepted("a")).substr(4);
    CHECK_NOTHROW(DecodeFrame(payload));
    CHECK_THROWS_AS(DecodeFrame("garbage"), FrameError);
    CHECK_THROWS_AS(DecodeFrame(""), FrameError);
    CHECK_THROWS_AS(DecodeFrame(payload.substr(0, payload.size() - 1)), FrameError);
    CHECK_THROWS_AS(DecodeFrame(payload + "x"), FrameError);
    CHECK_THROWS_AS(DecodeFrame("\xdd\xff\xff\xff\xff"), FrameError);
  }
}

TEST_CASE("peer links deliver frames, close malformed connections and drop the oldest") {
  Inbox<std::string> inbox;
  PeerLink receiver({.address = "127.0.0.1:0", .header = {.sender = "r"}},
                    [&](const PeerMessage& message) { inbox.Add(AttemptOf(message)); });
  receiver.Start();
  const FrameHeader header{.group = kFirstGroup, .sender = "test"};

  SECTION("messages of another link arrive in order, large ones included") {
    PeerLink sender({.address = "127.0.0.1:0", .header = {.sender = "s"}}, [](const auto&) {});
    sender.Start();
    const std::string large(3U << 20U, 'l');
    for (const std::string& attempt : {std::string("first"), large, std::string("last")}) {
      sender.mailbox().Push(
          {.address = LocalAddress(receiver.port()), .message = MakeAccepted(attempt)});
    }
    CHECK(inbox.Next() == "first");
    CHECK(inbox.Next() == large);
    CHECK(inbox.Next() == "last");
  }
  SECTION("a malformed frame closes only the connection it came on") {
    const FileDescriptor bad = ConnectTo(receiver.port());
    const FileDescriptor good = ConnectTo(receiver.port());
    SendAll(bad, EncodeFrame(header, MakeAccepted("before")) + std::string("\0\0\0\3abc", 7));
    char byte = 0;
    CHECK(recv(bad.get(), &byte, 1, 0) == 0);
    SendAll(good, EncodeFrame({.group = 9}, MakeAccepted("other group")));
    SendAll(good, EncodeFrame(header, MakeAccepted("after")));
    CHECK(inbox.Next() == "before");
    CHECK(inbox.Next() == "after");
    CHECK(receiver.counters().malformed_frames == 1);
  }
  SECTION("a destination gets the newest frames when it becomes reachable again") {
    auto unreachable =
        std::make_unique<PeerLink>(PeerLinkOptions{.address = "127.0.0.1:0"}, [](const auto&) {});
    const std::string address = LocalAddress(unreachable->port());
    unreachable.reset();  // connections to the address are now refused
    PeerLink sender({.address = "127.0.0.1:0", .header = {.sender = "s"}, .max_queue_frames = 2},
                    [](const auto&) {});
    sender.Start();
    PeerLink restarted({.address = address},
                       [&](const PeerMessage& message) { inbox.Add(AttemptOf(message)); });
    for (const char* attempt : {"1", "2", "3"}) {
      sender.mailbox().Push({.address = address, .message = MakeAccepted(attempt)});
    }
    restarted.Start();
    // The first frame may have been sent before the others were queued. The newest two always
    // arrive, in order.
    std::vector<std::string> received;
    while (received.empty() || received.back() != "3") received.push_back(inbox.Next());
    REQUIRE(received.size() >= 2);
    CHECK(received[received.size() - 2] == "2");
  }
}

TEST_CASE("a send queue drops the oldest frames when full and stale ones on disconnect") {
  PeerSender sender("127.0.0.1:9", {.frames = 2, .bytes = 100});
  CHECK(sender.Enqueue("1", 0) == 0);
  CHECK(sender.Enqueue("2", 0) == 0);
  CHECK(sender.Enqueue("3", 5 * kSecond) == 1);
  CHECK(sender.Enqueue(std::string(100, '4'), 5 * kSecond) == 2);  // byte limit
  CHECK(sender.Disconnect(5 * kSecond) == 0);
  CHECK(sender.Disconnect(7 * kSecond) == 1);
  CHECK_FALSE(sender.has_frames());
}

TEST_CASE("a mailbox is bounded and counts dropped messages") {
  Mailbox<int> mailbox(2);
  CHECK(mailbox.TryPush(1));
  CHECK(mailbox.TryPush(2));
  CHECK_FALSE(mailbox.TryPush(3));
  CHECK(mailbox.dropped() == 1);
  CHECK(mailbox.ForcePush(4));

  SECTION("a blocked sender continues when there is space") {
    std::thread sender([&] { mailbox.Push(5); });
    std::deque<int> all;
    while (all.size() < 4) {
      mailbox.WaitUntil(kNever);
      for (const int message : mailbox.TakeAll()) all.push_back(message);
    }
    sender.join();
    CHECK(all == std::deque<int>{1, 2, 4, 5});
  }
  SECTION("closing unblocks senders and rejects messages, but keeps the queued ones") {
    std::thread sender([&] { CHECK_FALSE(mailbox.Push(5)); });
    mailbox.Close();
    sender.join();
    CHECK_FALSE(mailbox.TryPush(6));
    CHECK(mailbox.TakeAll() == std::deque<int>{1, 2, 4});
  }
}

TEST_CASE("timers run once, in order, and can be cancelled") {
  Timers timers;
  std::string order;
  timers.Schedule(20, [&] { order += 'b'; });
  timers.Schedule(10, [&] {
    order += 'a';
    timers.Schedule(0, [&] { order += 'c'; });
  });
  timers.Cancel(timers.Schedule(15, [&] { order += 'x'; }));
  CHECK(timers.Next() == 10);
  timers.RunDue(20);
  CHECK(order ==
        "ab");  // a timer that a timer adds waits for the next call, which prevents an endless loop
  timers.RunDue(20);
  CHECK(order == "abc");
  CHECK(timers.Next() == kNever);
}

constexpr char kSettings[] = R"({
  // Settings of one node.
  "node": "n1", "region": "r", "zone": "a",
  "peer_address": "127.0.0.1:7001", "http_address": "127.0.0.1:8001",
  "seeds": ["127.0.0.1:7002"]%s
})";

std::string SettingsWith(const std::string& more) {
  std::string text = kSettings;
  return text.replace(text.find("%s"), 2, more);
}

std::string ErrorOf(const std::string& text) {
  try {
    ParseSettings(text);
    return "accepted";
  } catch (const SettingsError& error) {
    return error.what();
  }
}

TEST_CASE("settings are validated strictly and errors contain the path of the value") {
  const Settings defaults = ParseSettings(SettingsWith(""));
  CHECK(defaults.node == "n1");
  CHECK(defaults.seeds == std::vector<std::string>{"127.0.0.1:7002"});
  CHECK_FALSE(defaults.data_folder);
  CHECK(defaults.voter_target == 3);

  const Settings full = ParseSettings(SettingsWith(R"(, "data_folder": "/d", "voter_target": 5,
      "platform": {"adapter": "http", "address": "127.0.0.1:9000"},
      "limits": {"max_body_kb": 64}, "log": {"level": "warning"})"));
  CHECK(full.data_folder == "/d");
  CHECK(full.platform.adapter == "http");
  CHECK(full.limits.max_body_kb == 64);
  CHECK(full.log.level == Severity::kWarning);

  CHECK(ErrorOf(SettingsWith(R"(, "noed": 1)")) == "noed is not a known key");
  CHECK(ErrorOf(SettingsWith(R"(, "limits": {"max_body": 1})")) ==
        "limits.max_body is not a known key");
  CHECK(ErrorOf(SettingsWith(R"(, "limits": {"max_body_kb": "1"})")) ==
        "limits.max_body_kb must be an integer");
  CHECK(ErrorOf(SettingsWith(R"(, "limits": {"max_body_kb": 0})")) ==
        "limits.max_body_kb must be between 1 and 15360");
  CHECK(ErrorOf(SettingsWith(R"(, "voter_target": 4)")) == "voter_target must be 3 or 5");
  CHECK(ErrorOf(SettingsWith(R"(, "node": "n2")")) == "node is given twice");
  CHECK(ErrorOf(SettingsWith(R"(, "platform": {"adapter": "http"})")) ==
        "platform.address is missing");
  CHECK(ErrorOf(SettingsWith(R"(, "platform": {"adapter": "http", "address": "host:1"})")) ==
        "platform.address: not an IP address and port: \"host:1\"");
  CHECK(ErrorOf(SettingsWith(R"(, "log": {"level": "loud"})")) ==
        "log.level must be info, warning or error");
  CHECK(ErrorOf(R"({"node": 1})") == "node must be a string");
  CHECK(ErrorOf("[]") == "the file must be an object");
  CHECK(ErrorOf("{").find("not JSON") == 0);
}

TEST_CASE("addresses are IP addresses with a port") {
  CHECK_NOTHROW(ParseAddress("127.0.0.1:0"));
  CHECK_NOTHROW(ParseAddress("[::1]:80"));
  for (const char* bad : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000",
                          "::1:80", "127.0.0.1:80x"}) {
    CHECK_THROWS_AS(ParseAddress(bad), std::invalid_argument);
  }
}

TEST_CASE("plug-ins are created by their registered names") {
  struct Shape {
    virtual ~Shape() = default;
  };
  Registry<Shape, int>& registry = Registry<Shape, int>::Instance();
  registry.Add("square", [](int) { return std::make_unique<Shape>(); });
  CHECK(registry.Create("square", 1) != nullptr);
  CHECK_THROWS_AS(registry.Add("square", {}), std::logic_error);
  CHECK_THROWS_WITH(registry.Create("circle", 1), "no plug-in \"circle\"; known: square");

  LinkHttpPlatform();  // the linker must keep the adapter of the static library
  CHECK(PlatformRegistry::Instance().Names() == std::vector<std::string>{"http"});
}

TEST_CASE("log events are one line of key=value pairs, whatever characters the values contain") {
  CHECK(FormatEvent("e", {{"a", "plain"}, {"b", "two words"}, {"c", ""}, {"d", "x\n\"y\""}}) ==
        R"(event=e a=plain b="two words" c="" d="x\x0a\"y\"")");
  CHECK(FormatWall(1764812520005) == "2025-12-04T01:42:00.005Z");
}

TEST_CASE("the name of a metric decides whether it is a counter or a histogram") {
  Metrics metrics;
  metrics.Add("requests", 1);
  metrics.Add("requests", 2);
  metrics.Add("wait_ms", 5);
  metrics.Add("wait_ms", 1e9);  // above the highest bin, but counted
  metrics.AddGauge("queue", [] { return 4.0; });
  const std::string text = metrics.Text();
  CHECK(text.find("godwitpaddle_requests 3\n") != std::string::npos);
  CHECK(text.find("godwitpaddle_queue 4\n") != std::string::npos);
  CHECK(text.find("godwitpaddle_wait_ms_count 2\n") != std::string::npos);
  CHECK(text.find("godwitpaddle_wait_ms_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
}

replication::Entry EntryAt(replication::Index index, const std::string& payload) {
  return {.term = 1, .index = index, .payload = payload};
}

std::string PayloadsOf(const replication::PersistBatch& batch) {
  std::string payloads;
  for (const auto& entry : batch.append) payloads += entry.payload;
  return payloads;
}

TEST_CASE("merging queued batches does not change the result of writing them") {
  replication::PersistBatch batch{
      .token = 1, .hard_state = {{1, "a"}}, .append = {EntryAt(5, "e"), EntryAt(6, "f")}};

  SECTION("appends are concatenated, and the newest hard state is kept") {
    replication::PersistBatch next{
        .token = 2, .hard_state = {{2, "b"}}, .append = {EntryAt(7, "g")}};
    REQUIRE(MergeBatch(batch, next));
    CHECK(batch.token == 2);
    CHECK(batch.hard_state->first == 2);
    CHECK(PayloadsOf(batch) == "efg");
  }
  SECTION("a truncation drops queued entries, and entries on disk if it reaches them") {
    replication::PersistBatch next{.token = 2, .truncate_from = 6, .append = {EntryAt(6, "x")}};
    REQUIRE(MergeBatch(batch, next));
    CHECK(PayloadsOf(batch) == "ex");
    CHECK_FALSE(batch.truncate_from);
    replication::PersistBatch earlier{.token = 3, .truncate_from = 3, .append = {EntryAt(3, "y")}};
    REQUIRE(MergeBatch(batch, earlier));
    CHECK(PayloadsOf(batch) == "y");
    CHECK(batch.truncate_from == 3);
  }
  SECTION("snapshots and gaps are not merged") {
    replication::PersistBatch snapshot{.token = 2, .snapshot = replication::Snapshot{}};
    CHECK_FALSE(MergeBatch(batch, snapshot));
    replication::PersistBatch gap{.token = 2, .append = {EntryAt(9, "i")}};
    CHECK_FALSE(MergeBatch(batch, gap));
    CHECK(PayloadsOf(batch) == "ef");
  }
}

TEST_CASE("the storage task syncs batches in order and stops at the first failure") {
  Inbox<std::uint64_t> synced;
  Inbox<std::string> failures;
  StorageTask storage({.write =
                           [](const replication::PersistBatch& batch) {
                             if (batch.token == 3) throw std::runtime_error("disk full");
                           },
                       .synced = [&](std::uint64_t token) { synced.Add(token); },
                       .failed = [&](const std::string& reason) { failures.Add(reason); }});
  storage.Start();
  storage.mailbox().Push({.token = 1});
  CHECK(synced.Next() == 1);
  storage.mailbox().Push({.token = 3});
  CHECK(failures.Next() == "disk full");
  storage.mailbox().Push({.token = 4});  // must not be reported as durable
  storage.Stop();
  storage.mailbox().Close();
  synced.Add(99);
  CHECK(synced.Next() == 99);
}

TEST_CASE("the driver ticks, steps and executes effects in order") {
  Inbox<std::string> executed;
  Inbox<int> ticks;
  const auto step = [&](const Event& event, Micros, WallMs) -> std::vector<Effect> {
    if (std::holds_alternative<TickEvent>(event)) {
      ticks.Add(1);
      return {};
    }
    if (const auto* synced = std::get_if<SyncedEvent>(&event)) {
      return {RespondEffect{.body = "synced " + std::to_string(synced->token)}};
    }
    if (std::holds_alternative<ShutdownEvent>(event)) return {ExitEffect{.reason = "drained"}};
    PersistEffect persist;
    persist.batch.token = 8;
    return {persist, SendEffect{.address = "peer"}};
  };
  EffectSinks sinks;
  sinks.send = [&](const SendEffect& effect) { executed.Add("send " + effect.address); };
  sinks.respond = [&](const RespondEffect& effect) { executed.Add(effect.body); };
  sinks.exit = [&](const ExitEffect& effect) { executed.Add(effect.reason); };
  NodeDriver driver(step, sinks);
  driver.Start();
  ticks.Next();
  ticks.Next();
  driver.mailbox().Push(HttpEvent{});
  CHECK(executed.Next() == "send peer");
  CHECK(executed.Next() == "synced 8");  // without a disk a batch counts as durable at once
  driver.mailbox().Push(ShutdownEvent{});
  CHECK(executed.Next() == "drained");
}

}  // namespace
}  // namespace godwitpaddle::testing

#include "base/codec.h"

#include <catch2/catch.hpp>

#include "node/messages.h"

namespace godwitpaddle {
namespace {

// Guards against messages that decode to another type or lose fields.
TEST_CASE("messages between nodes keep their type and fields") {
  SECTION("a message decodes to its own type") {
    const PeerMessage sent = LeaseRenew{.incarnation = "n1-0a", .seq = 7, .applied_index = 42};
    const auto received = Decode<PeerMessage>(Encode(sent));
    REQUIRE(std::holds_alternative<LeaseRenew>(received));
    CHECK(std::get<LeaseRenew>(received).seq == 7);
    CHECK(std::get<LeaseRenew>(received).applied_index == 42);
  }
  SECTION("a nested variant and optional fields are kept") {
    SubmitConfig change{.change_id = "c1", .base_revision = 3, .author = "op", .files = {}};
    change.files["10-pools.json"] = "{}";
    change.files["20-old.json"] = std::nullopt;
    const PeerMessage sent = Propose{.proposal = "p1", .reply_address = "", .body = change};
    const auto received = Decode<PeerMessage>(Encode(sent));
    const auto& body = std::get<SubmitConfig>(std::get<Propose>(received).body);
    CHECK(body.files.at("10-pools.json") == "{}");
    CHECK_FALSE(body.files.at("20-old.json").has_value());
  }
  SECTION("truncated bytes throw DecodeError") {
    std::string bytes = Encode(PeerMessage{Join{}});
    bytes.resize(bytes.size() / 2);
    CHECK_THROWS_AS(Decode<PeerMessage>(bytes), DecodeError);
  }
}

}  // namespace
}  // namespace godwitpaddle

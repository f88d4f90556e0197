#include "runtime/listen_retry.h"

#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "runtime/peer_link.h"

// Tests the start of a node while another process still holds one of its ports.
namespace godwitpaddle::testing {
namespace {

std::unique_ptr<PeerLink> Listen(const std::string& address) {
  return std::make_unique<PeerLink>(PeerLinkOptions{.address = address}, [](const PeerMessage&) {});
}

// Guards against a node that ends at its start because the port is still held by the process that
// had it before.
TEST_CASE("a port that is taken at the start") {
  std::unique_ptr<PeerLink> holder = Listen("127.0.0.1:0");
  const std::string address = "127.0.0.1:" + std::to_string(holder->port());
  std::unique_ptr<PeerLink> link;
  int pauses = 0;
  ListenRetryOptions options{.sleep = [&](Micros) { ++pauses; }};
  const auto listen = [&] { link = Listen(address); };
  SECTION("is used once it is free") {
    options.sleep = [&](Micros) {
      if (++pauses == 3) holder.reset();
    };
    RetryListening(address, listen, options);
    REQUIRE(link != nullptr);
    CHECK(link->port() > 0);
    CHECK(pauses == 3);
  }
  SECTION("ends the start if it does not become free in time") {
    CHECK_THROWS_AS(RetryListening(address, listen, options), std::runtime_error);
    CHECK(pauses * options.pause == options.patience);
  }
  SECTION("ends the start once the node is told to stop") {
    options.should_give_up = [&] { return pauses == 2; };
    CHECK_THROWS_AS(RetryListening(address, listen, options), std::runtime_error);
    CHECK(pauses == 2);
  }
}

TEST_CASE("an address that is invalid is not tried again") {
  int tries = 0;
  const auto listen = [&] {
    ++tries;
    Listen("nowhere");
  };
  CHECK_THROWS_AS(RetryListening("nowhere", listen), std::invalid_argument);
  CHECK(tries == 1);
}

}  // namespace
}  // namespace godwitpaddle::testing

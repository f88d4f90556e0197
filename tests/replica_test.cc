#include "replication/replica.h"

#include <catch2/catch.hpp>

#include "tests/replication_cluster.h"

namespace godwitpaddle::replication {
TEST_CASE("placeholder") { CHECK(true); }
}  // namespace godwitpaddle::replication

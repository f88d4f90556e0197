#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/move_scenario.h"

/// Usage: moves [SEED]
int main(int argc, char** argv) {
  constexpr int kHours = 5;  // each pool has one long peak
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const auto result = godwitpaddle::MoveScenario(seed, kHours);
  for (const std::string& line : result.lines) std::printf("%s\n", line.c_str());
  std::printf("signature: %llu\n", static_cast<unsigned long long>(result.signature));
}

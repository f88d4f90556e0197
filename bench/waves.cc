#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/wave_scenario.h"

/// Usage: waves [SEED] [--target]
int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  bool with_target = false;
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--target") {
      with_target = true;
    } else {
      seed = std::strtoull(argv[i], nullptr, 10);
    }
  }
  const auto result = godwitpaddle::WaveScenario(seed, with_target);
  for (const std::string& line : result.lines) std::printf("%s\n", line.c_str());
  std::printf("signature: %llu\n", static_cast<unsigned long long>(result.signature));
}

// Measures the policies in virtual time and prints a signature of all decisions. Exits with 1 when
// a goal of section 1.3 of the design page is missed.
#include <cstdio>
#include <cstring>
#include <exception>

#include "bench/peak_scenario.h"
#include "bench/report.h"
#include "bench/scheduling_scenario.h"
#include "bench/signature.h"
#include "bench/urgent_scenario.h"

int main(int argc, char** argv) {
  using namespace godwitpaddle::bench;  // NOLINT(google-build-using-namespace)
  const bool brief = argc > 1 && std::strcmp(argv[1], "--short") == 0;
  Report report;
  Signature signature;
  try {
    RunSchedulingScenario(brief, report, signature);
    RunUrgentScenario(brief, report, signature);
    RunPeakScenario(report, signature);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "policy: %s\n", error.what());
    return 2;
  }
  std::printf("Goals missed: %d\n", report.missed());
  // Shortened so that it is easy to compare by eye.
  std::printf("Bench: %llu\n", static_cast<unsigned long long>(signature.value % 100'000'000));
  return report.missed() == 0 ? 0 : 1;
}

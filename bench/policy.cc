// Measures the scheduling policies in virtual time and prints a signature of the decisions. Exits
// with 1 if a goal of section 1.3 of the design page is missed, and with 2 on an error.
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
  // The last eight digits are enough, and easier to compare by eye.
  std::printf("Bench: %llu\n", static_cast<unsigned long long>(signature.value % 100'000'000));
  return report.missed() == 0 ? 0 : 1;
}

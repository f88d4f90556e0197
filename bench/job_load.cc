#include <time.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include "tests/job_cluster.h"

// Runs job control in virtual time under a constant load and prints the processor time that the
// nodes need per task start. Usage: job_load [WORKERS] [JOBS_PER_SECOND] [SECONDS].
namespace {

using godwitpaddle::kSecond;
using godwitpaddle::testing::JobCluster;
namespace jobs = godwitpaddle::jobs;

jobs::ConfigureCall MakeConfiguration() {
  jobs::Configuration configuration{.version = 1};
  for (int i = 0; i < 4; ++i) {
    const std::string name = "s" + std::to_string(i);
    configuration.services.push_back({.name = name});
    configuration.queues.push_back({.name = "q" + std::to_string(i),
                                    .host = "shop",
                                    .prefix = "/q" + std::to_string(i) + "/",
                                    .service = name,
                                    .attempts = 3,
                                    .stretch = 1.6,
                                    .target_latency_ms = 600,
                                    .timeout_ms = 3'000,
                                    .open = true});
  }
  configuration.document = "load";
  return {.configuration = configuration};
}

jobs::JobCall MakeJob(jobs::JobId job) {
  jobs::JobCall call{.kind = jobs::JobCallKind::kSubmit,
                     .host = "shop",
                     .path = "/q" + std::to_string(job % 4) + "/" + jobs::FormatJob(job)};
  call.spec.payload = "3500 640";
  call.spec.steps = {{.count = 8, .size = {.cpu = 3'500, .memory_mb = 5'000}, .estimate_ms = 640},
                     {.count = 6,
                      .size = {.cpu = 3'500, .memory_mb = 5'000},
                      .estimate_ms = 640,
                      .depends_on = {0}}};
  return call;
}

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace

int main(int argc, char** argv) {
  const int workers = argc > 1 ? std::atoi(argv[1]) : 48;
  const int rate = argc > 2 ? std::atoi(argv[2]) : 20;
  const int seconds = argc > 3 ? std::atoi(argv[3]) : 10;
  JobCluster cluster({.cores = 5, .edges = 4});
  cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); }, 5 * kSecond);
  cluster.RunFor(kSecond);
  cluster.CallAndWait(0, MakeConfiguration());
  for (int i = 0; i < workers; ++i) {
    cluster.AddWorker("s" + std::to_string(i % 4), {.cpu = 64'000, .memory_mb = 131'072});
  }
  cluster.RunFor(3 * kSecond);
  const double before = CpuSeconds();
  int accepted = 0;
  for (int i = 0; i < rate * seconds; ++i) {
    cluster.Call(cluster.edge(static_cast<std::size_t>(i) % 4),
                 MakeJob(static_cast<jobs::JobId>(i) + 1), [&](const jobs::Answer& answer) {
                   if (answer.code == jobs::AnswerCode::kOk) ++accepted;
                 });
    cluster.RunFor(kSecond / rate);
  }
  cluster.RunFor(3 * kSecond);
  const double used = CpuSeconds() - before;
  int completed = 0;
  for (const auto& [id, job] : cluster.state(*cluster.Leader()).jobs()) {
    if (job.phase == jobs::JobPhase::kCompleted) ++completed;
  }
  std::printf("accepted=%d completed=%d cpu_s=%.3f cpu_us_per_start=%.1f\n", accepted, completed,
              used, used * 1e6 / (14.0 * accepted));
  return cluster.violations.empty() ? 0 : 1;
}

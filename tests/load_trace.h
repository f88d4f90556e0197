#ifndef GODWITPADDLE_TESTS_LOAD_TRACE_H_
#define GODWITPADDLE_TESTS_LOAD_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/types.h"

/// Loads that `tools/record_load.sh` recorded from a leader's log: one job per line, as "AT_MS
/// QUEUE STEPS" with the steps in the format of `FormatSteps`. Lines that begin with '#' are
/// comments.
namespace godwitpaddle::testing {

struct RecordedJob {
  std::int64_t at_ms = 0;  // time since the first job
  std::string queue;
  std::vector<jobs::Step> steps;
};

/// Reads a file of tests/loads. Throws std::runtime_error if the file cannot be read, or with the
/// text that cannot be parsed.
std::vector<RecordedJob> ReadLoad(const std::string& name);

/// Returns the jobs of one queue.
std::vector<RecordedJob> JobsOfQueue(const std::vector<RecordedJob>& load,
                                     const std::string& queue);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_LOAD_TRACE_H_

#ifndef GODWITPADDLE_TESTS_LOAD_TRACE_H_
#define GODWITPADDLE_TESTS_LOAD_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/types.h"

/// Loads that were recorded from a leader's log (`tools/record_load.sh`): one job a line, "AT_MS
/// QUEUE STEPS", the steps as `FormatSteps` writes them. Lines that begin with '#' are comments.
namespace godwitpaddle::testing {

struct RecordedJob {
  std::int64_t at_ms = 0;  // from the first one
  std::string queue;
  std::vector<jobs::Step> steps;
};

/// Reads a file of tests/loads; throws std::runtime_error with the line that cannot be read.
std::vector<RecordedJob> ReadLoad(const std::string& name);

/// The jobs of one queue.
std::vector<RecordedJob> JobsOfQueue(const std::vector<RecordedJob>& load,
                                     const std::string& queue);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_LOAD_TRACE_H_

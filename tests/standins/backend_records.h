#ifndef GODWITPADDLE_TESTS_STANDINS_BACKEND_RECORDS_H_
#define GODWITPADDLE_TESTS_STANDINS_BACKEND_RECORDS_H_

#include <cstddef>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace godwitpaddle::standins {

/// One start of a task.
struct StartRecord {
  std::string task;
  std::string request;  // X-Request-Id
  std::string server;
  std::string incarnation;
  WallMs started = 0;
  WallMs ended = 0;
  std::string end;  // done, failed, reset, stopped, lapsed, checkpointed, cut_off; empty: running
};

/// Everything that the servers ran, for the checks of a test.
class BackendRecords {
 public:
  /// `file` gets one line of JSON for each start and each end; may be empty.
  explicit BackendRecords(const std::string& file);

  std::size_t AddStart(StartRecord record);
  void RecordEnd(std::size_t index, const std::string& end, WallMs wall);
  /// Counts something that the contract with backend servers forbids.
  void AddViolation(const std::string& kind) { ++violations_[kind]; }
  /// Counts a refusal that did not run.
  void AddRefusal(const std::string& kind) { ++refusals_[kind]; }

  /// Starts, ends and violations as JSON; with every start when `all`.
  std::string Report(bool with_starts) const;

 private:
  void Append(const StartRecord& record);

  std::vector<StartRecord> starts_;
  std::map<std::string, std::size_t> violations_;
  std::map<std::string, std::size_t> refusals_;
  std::ofstream file_;
};

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_BACKEND_RECORDS_H_

#ifndef GODWITPADDLE_TESTS_STANDINS_BACKEND_RECORDS_H_
#define GODWITPADDLE_TESTS_STANDINS_BACKEND_RECORDS_H_

#include <cstddef>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace godwitpaddle::standins {

/// One start of a task on a backend server, and its end.
struct StartRecord {
  std::string task;
  std::string request;  // value of the header X-Request-Id
  std::string server;
  std::string incarnation;
  WallMs started = 0;
  WallMs ended = 0;  // 0: still running
  std::string end;   // done, failed, reset, stopped, lapsed, checkpointed, cut_off; empty: running
};

/// Records every task that the backend servers started or refused, for the checks of a test.
class BackendRecords {
 public:
  /// Appends one line of JSON to `file` for each start and each end; empty: no file.
  explicit BackendRecords(const std::string& file);

  /// Returns the index of the record for RecordEnd().
  std::size_t AddStart(StartRecord record);
  void RecordEnd(std::size_t index, const std::string& end, WallMs wall);
  /// Counts an event that the contract with backend servers forbids.
  void AddViolation(const std::string& kind) { ++violations_[kind]; }
  /// Counts a task that was refused and did not run.
  void AddRefusal(const std::string& kind) { ++refusals_[kind]; }

  /// Returns the numbers of starts, ends, violations and refusals as JSON; with every start record
  /// if `with_starts` is set.
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

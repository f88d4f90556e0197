#ifndef GODWITPADDLE_RUNTIME_LOG_H_
#define GODWITPADDLE_RUNTIME_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "node/node.h"

namespace godwitpaddle {

struct LogOptions {
  Severity level = Severity::kInfo;  // less severe events are not written
  std::string folder;                // folder of the log files; empty: log to standard error
  bool standard_output = false;      // log to standard output only; drops lines instead of blocking
};

/// Counts the lines of the log and limits how many are written within one second; further lines are
/// dropped. Warnings and errors have a separate quota, so that info lines cannot displace them.
class LineQuota {
 public:
  static constexpr int kMaxLinesPerSecond = 400;

  /// Starts a new second if the current one has passed. Returns the lines that report how many were
  /// dropped before.
  std::vector<std::string> Advance(Micros now);
  /// Whether one more line may be written; otherwise counts it as dropped.
  bool Admit(Severity severity);
  /// Counts an admitted line as dropped.
  void CountDropped(Severity severity) { ++QuotaOf(severity).dropped; }

 private:
  struct Quota {
    std::string_view level;
    int lines = 0;  // in the current second
    std::uint64_t dropped = 0;
  };

  Quota& QuotaOf(Severity severity) { return severity == Severity::kInfo ? routine_ : warnings_; }

  Micros second_start_ = 0;
  Quota routine_{.level = "info"};
  Quota warnings_{.level = "warning"};
};

/// Initialises the log of the process. Call once, before the first event.
void StartLog(const LogOptions& options, const std::string& program);

/// Writes the line "time=... level=... event=NAME key=value ...".
void LogEvent(Severity severity, std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields = {});

/// Writes buffered lines to the log files.
void FlushLog();

/// Returns "event=NAME key=value ..."; values that are empty or contain blanks, quotes, "=" or
/// control characters are quoted.
std::string FormatEvent(std::string_view event,
                        const std::vector<std::pair<std::string, std::string>>& fields);

/// Formats a time in UTC, such as 2026-01-02T03:04:05.678Z.
std::string FormatWall(WallMs wall);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_LOG_H_

#ifndef GODWITPADDLE_RUNTIME_LOG_H_
#define GODWITPADDLE_RUNTIME_LOG_H_

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

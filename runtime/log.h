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
  Severity level = Severity::kInfo;  // events below it are not written
  std::string folder;                // empty: standard error
  bool standard_output = false;      // instead of both; bounded, and never waits for a reader
};

/// Sets up the log of the process. Call once, before the first event.
void StartLog(const LogOptions& options, const std::string& program);

/// Writes the line "time=... level=... event=NAME key=value ...".
void LogEvent(Severity severity, std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields = {});

/// Writes what is buffered.
void FlushLog();

/// Returns "event=NAME key=value ..."; values with blanks, quotes or control characters are quoted.
std::string FormatEvent(std::string_view event,
                        const std::vector<std::pair<std::string, std::string>>& fields);

/// Returns the time in UTC, such as 2026-01-02T03:04:05.678Z.
std::string FormatWall(WallMs wall);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_LOG_H_

#include "runtime/log.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <utility>

#include "runtime/clock.h"

namespace godwitpaddle {
namespace {

constexpr EnumNames<3> kSeverityNames = {"info", "warning", "error"};

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\x7f';
         });
}

void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\x%02x", static_cast<unsigned char>(c));
      line += escaped.data();
    } else {
      line += c;
    }
  }
  line += '"';
}

google::LogSeverity GlogLevel(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return google::GLOG_INFO;
    case Severity::kWarning:
      return google::GLOG_WARNING;
    case Severity::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

constexpr std::size_t kMaxLineBytes = 4'096;  // a writable pipe accepts this many without blocking

/// Writes lines to standard output without blocking; drops lines if the reader is too slow.
class StandardOutput {
 public:
  /// Whether one more line may be written now. Call before the line is built, which costs more than
  /// this check.
  bool Admit(Severity severity) {
    const std::lock_guard lock(mutex_);
    for (const std::string& report : quota_.Advance(MonotonicNow())) Write(report);
    return quota_.Admit(severity);
  }

  /// Writes an admitted line.
  void Send(Severity severity, std::string line) {
    const std::lock_guard lock(mutex_);
    if (!Write(std::move(line))) quota_.CountDropped(severity);
  }

 private:
  /// Returns false if the line was not written because standard output is not writable.
  static bool Write(std::string line) {
    line.resize(std::min(line.size(), kMaxLineBytes - 1));
    line += '\n';
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) return false;
    return write(STDOUT_FILENO, line.data(), line.size()) > 0;
  }

  std::mutex mutex_;
  LineQuota quota_;
};

StandardOutput* standard_output = nullptr;  // never destroyed

}  // namespace

std::vector<std::string> LineQuota::Advance(Micros now) {
  std::vector<std::string> reports;
  if (now - second_start_ < kSecond) return reports;
  second_start_ = now;
  for (Quota* quota : {&routine_, &warnings_}) {
    quota->lines = 0;
    if (quota->dropped == 0) continue;
    reports.push_back("level=" + std::string(quota->level) +
                      " event=log_lines_dropped count=" + std::to_string(quota->dropped));
    quota->dropped = 0;
  }
  return reports;
}

bool LineQuota::Admit(Severity severity) {
  Quota& quota = QuotaOf(severity);
  if (++quota.lines <= kMaxLinesPerSecond) return true;
  ++quota.dropped;
  return false;
}

void StartLog(const LogOptions& options, const std::string& program) {
  FLAGS_log_prefix = false;  // each line has its own time and level fields
  FLAGS_minloglevel = GlogLevel(options.level);
  FLAGS_logtostderr = options.folder.empty();
  FLAGS_log_dir = options.folder;
  google::InitGoogleLogging(program.c_str());
  if (options.standard_output) standard_output = new StandardOutput;
}

void LogEvent(Severity severity, std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields) {
  const google::LogSeverity level = GlogLevel(severity);
  if (level < FLAGS_minloglevel) return;
  if (standard_output != nullptr && !standard_output->Admit(severity)) return;
  std::string line = "time=" + FormatWall(WallNow()) +
                     " level=" + std::string(NameOf(kSeverityNames, severity)) + ' ' +
                     FormatEvent(event, fields);
  if (standard_output != nullptr) {
    standard_output->Send(severity, std::move(line));
  } else {
    google::LogMessage(__FILE__, __LINE__, level).stream() << line;
  }
}

void FlushLog() { google::FlushLogFiles(google::GLOG_INFO); }

std::string FormatEvent(std::string_view event,
                        const std::vector<std::pair<std::string, std::string>>& fields) {
  std::string line = "event=";
  line += event;
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    if (NeedsQuotes(value)) {
      AppendQuoted(line, value);
    } else {
      line += value;
    }
  }
  return line;
}

std::string FormatWall(WallMs wall) {
  const std::time_t seconds = wall / 1'000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(wall % 1'000));
  return std::string(text.data(), length) + fraction.data();
}

}  // namespace godwitpaddle

#include "runtime/log.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <mutex>

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

/// Maximum number of lines that are written within one second; further lines are dropped and
/// counted. Warnings and errors have a separate quota, so that info lines cannot displace them.
constexpr int kMaxLinesPerSecond = 400;
constexpr std::size_t kMaxLineBytes = 4'096;  // a writable pipe accepts this many without blocking

/// Writes lines to standard output without blocking; drops lines if the reader is too slow.
class OutputSink : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*file*/, const char* /*base*/, int /*line*/,
            const google::LogMessageTime& /*time*/, const char* message,
            std::size_t length) override {
    const std::lock_guard lock(mutex_);
    const Micros now = MonotonicNow();
    if (now - second_start_ >= kSecond) {
      second_start_ = now;
      for (Quota* quota : {&routine_, &warnings_}) StartSecond(*quota);
    }
    Quota& quota = severity == google::GLOG_INFO ? routine_ : warnings_;
    if (++quota.lines > kMaxLinesPerSecond || !Write(std::string(message, length))) ++quota.dropped;
  }

 private:
  struct Quota {
    std::string_view level;
    int lines = 0;  // in the current second
    std::uint64_t dropped = 0;
  };

  static void StartSecond(Quota& quota) {
    quota.lines = 0;
    if (quota.dropped == 0) return;
    Write("level=" + std::string(quota.level) +
          " event=log_lines_dropped count=" + std::to_string(quota.dropped));
    quota.dropped = 0;
  }

  /// Returns false if the line was not written because standard output is not writable.
  static bool Write(std::string line) {
    line.resize(std::min(line.size(), kMaxLineBytes - 1));
    line += '\n';
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) return false;
    return write(STDOUT_FILENO, line.data(), line.size()) > 0;
  }

  std::mutex mutex_;
  Micros second_start_ = 0;
  Quota routine_{.level = "info"};
  Quota warnings_{.level = "warning"};
};

OutputSink* output_sink = nullptr;  // never destroyed

}  // namespace

void StartLog(const LogOptions& options, const std::string& program) {
  FLAGS_log_prefix = false;  // each line has its own time and level fields
  FLAGS_minloglevel = GlogLevel(options.level);
  FLAGS_logtostderr = options.folder.empty();
  FLAGS_log_dir = options.folder;
  google::InitGoogleLogging(program.c_str());
  if (options.standard_output) output_sink = new OutputSink;
}

void LogEvent(Severity severity, std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields) {
  const google::LogSeverity level = GlogLevel(severity);
  if (level < FLAGS_minloglevel) return;
  const std::string line = "time=" + FormatWall(WallNow()) +
                           " level=" + std::string(NameOf(kSeverityNames, severity)) + ' ' +
                           FormatEvent(event, fields);
  if (output_sink != nullptr) {
    google::LogMessage(__FILE__, __LINE__, level, output_sink, false).stream() << line;
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

#include "runtime/log.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

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

}  // namespace

void StartLog(const LogOptions& options, const std::string& program) {
  FLAGS_log_prefix = false;  // each line carries its own time and level
  FLAGS_minloglevel = GlogLevel(options.level);
  FLAGS_logtostderr = options.folder.empty();
  FLAGS_log_dir = options.folder;
  google::InitGoogleLogging(program.c_str());
}

void LogEvent(Severity severity, std::string_view event,
              const std::vector<std::pair<std::string, std::string>>& fields) {
  const google::LogSeverity level = GlogLevel(severity);
  if (level < FLAGS_minloglevel) return;
  google::LogMessage(__FILE__, __LINE__, level).stream()
      << "time=" << FormatWall(WallNow()) << " level=" << NameOf(kSeverityNames, severity) << ' '
      << FormatEvent(event, fields);
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

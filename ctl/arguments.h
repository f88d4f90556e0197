#ifndef GODWITPADDLE_CTL_ARGUMENTS_H_
#define GODWITPADDLE_CTL_ARGUMENTS_H_

#include <popt.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace godwitpaddle::ctl {

/// Options that several subcommands share: connection to the daemons, and output format.
struct Settings {
  std::vector<std::string> addresses;  // "HOST:PORT" of daemons, tried in turn
  std::string key;                     // API key; empty: calls are sent without one
  bool json = false;                   // print JSON instead of text
  std::int64_t timeout_s = 15;         // a call is retried for at most this time, 1 to 3600 s
};

/// Parses the options and positional arguments of one subcommand with popt.
class ArgumentParser {
 public:
  /// `command` is the name for messages, such as "godwitctl diff"; `usage` lists the positional
  /// arguments, such as "DIR [FROM_DIR]".
  ArgumentParser(std::string command, std::string usage);

  /// Each adds the option --NAME, whose value Parse() writes to `value`. If the option is not
  /// given, a flag becomes false, and a number or text keeps its value.
  void AddFlag(const char* name, const char* help, bool& value);
  void AddNumber(const char* name, const char* help, std::int64_t& value);
  void AddText(const char* name, const char* placeholder, const char* help, std::string& value);
  /// Adds --json.
  void AddOutputOption(Settings& settings);
  /// Adds --address, --key-file, --timeout and --json. For an address or key that is not given,
  /// Parse() takes the value of GODWITCTL_ADDRESS or GODWITCTL_KEY.
  void AddConnectionOptions(Settings& settings);

  /// Returns the positional arguments. Throws CommandError for an unknown option, an invalid value
  /// or a number of arguments outside `min_count` to `max_count`; --help prints the usage and exits
  /// the process.
  std::vector<std::string> Parse(int argc, const char** argv, std::size_t min_count,
                                 std::size_t max_count);

 private:
  struct Text {
    char* parsed = nullptr;
    std::string* target = nullptr;
  };
  struct Flag {
    int parsed = 0;
    bool* target = nullptr;
  };
  struct Number {
    long long parsed = 0;  // NOLINT(google-runtime-int): popt's type
    std::int64_t* target = nullptr;
  };

  [[noreturn]] void Fail(const std::string& message) const;
  void CopyValues();
  void FillConnection();

  std::string command_;
  std::string usage_;
  std::vector<poptOption> options_;
  std::deque<Text> texts_;
  std::deque<Flag> flags_;
  std::deque<Number> numbers_;
  Settings* connection_ = nullptr;
  std::string address_text_;
  std::string key_file_;
};

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_ARGUMENTS_H_

#ifndef GODWITPADDLE_CTL_ARGUMENTS_H_
#define GODWITPADDLE_CTL_ARGUMENTS_H_

#include <popt.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace godwitpaddle::ctl {

/// Where and as whom to call, and how to print.
struct Settings {
  std::vector<std::string> addresses;
  std::string key;  // empty when none is set
  bool json = false;
  std::int64_t timeout_s = 15;
};

/// Options and arguments of one subcommand, parsed with popt.
class ArgumentParser {
 public:
  /// `usage` names the arguments, such as "DIR".
  ArgumentParser(std::string command, std::string usage);

  void AddFlag(const char* name, const char* help, bool& value);
  void AddNumber(const char* name, const char* help, std::int64_t& value);
  void AddText(const char* name, const char* placeholder, const char* help, std::string& value);
  /// Adds --json.
  void AddOutputOption(Settings& settings);
  /// Adds --address, --key-file, --timeout and --json. Parse fills in the environment's values.
  void AddConnectionOptions(Settings& settings);

  /// Returns the arguments that are not options. Throws CommandError on wrong usage; --help prints
  /// the usage and exits.
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

#ifndef GODWITPADDLE_TESTS_STANDINS_OPTIONS_H_
#define GODWITPADDLE_TESTS_STANDINS_OPTIONS_H_

#include <poll.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runtime/file_descriptor.h"

namespace godwitpaddle::standins {

/// Parses the command line of a stand-in: options of the form --NAME VALUE, each with a default.
class Options {
 public:
  /// `defaults` has the default value of each option by name, `help` its description. Prints the
  /// usage and exits with status 2 if an option is unknown or an argument is left over.
  Options(int argc, char** argv, std::map<std::string, std::string> defaults,
          const std::map<std::string, std::string>& help);

  const std::string& Text(const std::string& name) const { return values_.at(name); }
  /// Throws std::invalid_argument if the value is not a number.
  std::int64_t Number(const std::string& name) const { return std::stoll(values_.at(name)); }
  /// Splits the value at commas; leaves out empty items.
  std::vector<std::string> List(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

/// Blocks SIGTERM and SIGINT in this thread and in the threads that it starts later, and ignores
/// SIGPIPE. Returns a descriptor that becomes readable when a blocked signal arrives. Must be
/// called before any other thread starts.
FileDescriptor BlockStopSignals();

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_OPTIONS_H_

#ifndef GODWITPADDLE_TESTS_STANDINS_OPTIONS_H_
#define GODWITPADDLE_TESTS_STANDINS_OPTIONS_H_

#include <poll.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "runtime/file_descriptor.h"

namespace godwitpaddle::standins {

/// Command line of a stand-in: --NAME VALUE for each of the names, with defaults.
class Options {
 public:
  /// `defaults` are the known names with their values, `help` their descriptions. Prints usage and
  /// exits with status 2 on a mistake.
  Options(int argc, char** argv, std::map<std::string, std::string> defaults,
          const std::map<std::string, std::string>& help);

  const std::string& Text(const std::string& name) const { return values_.at(name); }
  std::int64_t Number(const std::string& name) const { return std::stoll(values_.at(name)); }
  /// Values separated by commas.
  std::vector<std::string> List(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

/// Blocks SIGTERM and SIGINT in this thread and those it starts; the descriptor becomes readable
/// when one arrives. Call before any thread starts.
FileDescriptor BlockStopSignals();

}  // namespace godwitpaddle::standins

#endif  // GODWITPADDLE_TESTS_STANDINS_OPTIONS_H_

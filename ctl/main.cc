#include <curl/curl.h>
#include <sodium.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/commands.h"
#include "ctl/errors.h"

namespace godwitpaddle::ctl {
namespace {

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  for (const auto group : {ConfigCommands, ReviewCommands, KeyCommands, WaveCommands, VmCommands,
                           StatusCommands, BootstrapCommands}) {
    const std::vector<Command> commands = group();
    all.insert(all.end(), commands.begin(), commands.end());
  }
  return all;
}

// Lists the subcommands whose names begin with `prefix`.
void PrintUsage(std::ostream& out, const std::string& prefix) {
  out << "Usage: godwitctl COMMAND [OPTION..] [ARGUMENT..]\n\n";
  for (const Command& command : AllCommands()) {
    std::string name = command.name;
    if (!name.starts_with(prefix)) continue;
    name.resize(std::max<std::size_t>(name.size(), 15), ' ');
    out << "  " << name << "  " << command.summary << "\n";
  }
  out << "\ngodwitctl COMMAND --help describes a command; godwitctl --version prints the version.\n"
         "Exit codes: 0 done, 1 refused or conflict, 2 wrong usage, 3 no daemon reachable.\n";
}

int Run(int argc, const char** argv) {
  const std::string first = argc > 1 ? argv[1] : "";
  const std::string second = argc > 2 ? argv[2] : "";
  const std::string both = first + " " + second;
  const std::string group = first + " ";
  if (first == "--version") {
    std::cout << "godwitctl " GODWITPADDLE_VERSION "\n";
    return kExitOk;
  }
  bool is_group = false;
  for (const Command& command : AllCommands()) {
    const std::string name = command.name;
    if (name == first) return command.run(argc - 2, argv + 2);
    if (name == both) return command.run(argc - 3, argv + 3);
    is_group = is_group || (!first.empty() && name.starts_with(group));
  }
  const bool help = first == "--help" || (is_group && second == "--help");
  PrintUsage(help ? std::cout : std::cerr, is_group ? group : "");
  return help ? kExitOk : kExitUsage;
}

}  // namespace
}  // namespace godwitpaddle::ctl

int main(int argc, char** argv) {
  try {
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
      throw std::runtime_error("cannot initialise libsodium or libcurl");
    }
    return godwitpaddle::ctl::Run(argc, const_cast<const char**>(argv));
  } catch (const godwitpaddle::ctl::CommandError& error) {
    std::cerr << "godwitctl: " << error.what() << "\n";
    return error.exit_code();
  } catch (const std::exception& error) {
    std::cerr << "godwitctl: " << error.what() << "\n";
    return godwitpaddle::ctl::kExitRefused;
  }
}

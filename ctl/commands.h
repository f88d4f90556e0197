#ifndef GODWITPADDLE_CTL_COMMANDS_H_
#define GODWITPADDLE_CTL_COMMANDS_H_

#include <vector>

namespace godwitpaddle::ctl {

/// One subcommand. `run` receives the arguments that follow the command name and returns the exit
/// code of the program.
struct Command {
  const char* name;     // one or two words
  const char* summary;  // one line for the list of commands
  int (*run)(int argc, const char** argv);
};

// Each function returns the subcommands of one group.
std::vector<Command> ConfigCommands();
std::vector<Command> ReviewCommands();
std::vector<Command> KeyCommands();
std::vector<Command> WaveCommands();
std::vector<Command> VmCommands();
std::vector<Command> StatusCommands();
std::vector<Command> BootstrapCommands();

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_COMMANDS_H_

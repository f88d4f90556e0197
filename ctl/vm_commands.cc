#include <chrono>
#include <iostream>
#include <thread>

#include "ctl/arguments.h"
#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/errors.h"
#include "ctl/output.h"

namespace godwitpaddle::ctl {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{500};

// Waits until all work on a draining VM has ended, and prints each phase. Throws CommandError if
// the drain ends before that.
void WaitForDrain(AdminClient& client, const std::string& vm) {
  const std::string prefix = vm + " ";
  std::string reported;
  while (reported != "drained") {
    const Json vms = client.Call("GET", "status").at("vms");
    if (!vms.contains(vm) || !vms.at(vm).contains("operation")) {
      throw CommandError(kExitRefused, "the drain of " + vm + " ended before the VM was drained");
    }
    const auto phase = vms.at(vm).at("operation").at("phase").get<std::string>();
    if (phase != reported) PrintProgress(prefix + phase);
    reported = phase;
    std::this_thread::sleep_for(kPollPeriod);
  }
}

int ChangeVm(const std::string& action, int argc, const char** argv) {
  Settings settings;
  bool follow = false;
  ArgumentParser parser("godwitctl " + action, "VM");
  if (action == "drain") parser.AddFlag("follow", "wait until the VM is drained", follow);
  parser.AddConnectionOptions(settings);
  const std::string vm = parser.Parse(argc, argv, 1, 1)[0];
  AdminClient client(settings);
  const Json result = client.Call("POST", "vms/" + client.Escape(vm) + "/" + action,
                                  {{"change_id", NewChangeId()}});
  if (follow) WaitForDrain(client, vm);
  if (settings.json) {
    PrintJson(result);
  } else {
    std::cout << vm << ": " << action << " accepted\n";
  }
  return kExitOk;
}

int RunDrain(int argc, const char** argv) { return ChangeVm("drain", argc, argv); }
int RunUndrain(int argc, const char** argv) { return ChangeVm("undrain", argc, argv); }

}  // namespace

std::vector<Command> VmCommands() {
  return {
      {"drain", "take a VM out of service by hand", RunDrain},
      {"undrain", "return a drained VM to service, or abandon its failed operation", RunUndrain}};
}

}  // namespace godwitpaddle::ctl

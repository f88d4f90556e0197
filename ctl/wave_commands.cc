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

std::string DescribeWave(const Json& wave) {
  const auto size = [&wave](const char* name) {
    return wave.contains(name) ? wave.at(name).size() : 0;
  };
  std::string text = wave.at("state").get<std::string>() + ": " + std::to_string(size("done")) +
                     " done, " + std::to_string(size("remaining")) + " remaining, " +
                     std::to_string(size("failed")) + " failed";
  const std::string reason = wave.value("reason", "");
  return reason.empty() ? text : text + " (" + reason + ")";
}

// Prints each change of the wave until it is no longer running. Returns kExitOk if the wave is
// done, kExitRefused if it was paused or cancelled.
int FollowWave(AdminClient& client, const std::string& id) {
  const std::string prefix = id + " ";
  std::string reported;
  while (true) {
    const Json wave = client.Call("GET", "waves").at("waves").at(id);
    const std::string text = DescribeWave(wave);
    if (text != reported) PrintProgress(prefix + text);
    reported = text;
    if (wave.at("state") == "done") return kExitOk;
    if (wave.at("state") != "running") return kExitRefused;
    std::this_thread::sleep_for(kPollPeriod);
  }
}

int ControlWave(const std::string& action, int argc, const char** argv) {
  Settings settings;
  std::string reason;
  bool follow = false;
  ArgumentParser parser("godwitctl wave " + action, "WAVE");
  parser.AddText("reason", "TEXT", "reason to record with the wave", reason);
  if (action == "start" || action == "resume") {
    parser.AddFlag("follow", "show progress until the wave ends or pauses", follow);
  }
  parser.AddConnectionOptions(settings);
  const std::string wave = parser.Parse(argc, argv, 1, 1)[0];
  AdminClient client(settings);
  const Json result =
      client.Call("POST", "waves/" + client.Escape(wave),
                  {{"change_id", NewChangeId()}, {"action", action}, {"reason", reason}});
  if (settings.json) {
    PrintJson(result);
  } else {
    std::cout << "wave " << wave << ": " << action << " accepted\n";
  }
  return follow ? FollowWave(client, wave) : kExitOk;
}

int RunStart(int argc, const char** argv) { return ControlWave("start", argc, argv); }
int RunPause(int argc, const char** argv) { return ControlWave("pause", argc, argv); }
int RunResume(int argc, const char** argv) { return ControlWave("resume", argc, argv); }
int RunCancel(int argc, const char** argv) { return ControlWave("cancel", argc, argv); }

int RunWaveStatus(int argc, const char** argv) {
  Settings settings;
  bool follow = false;
  ArgumentParser parser("godwitctl wave status", "[WAVE]");
  parser.AddFlag("follow", "show progress until the wave ends or pauses", follow);
  parser.AddConnectionOptions(settings);
  const auto wanted = parser.Parse(argc, argv, 0, 1);
  if (follow && wanted.empty()) throw CommandError(kExitUsage, "--follow requires a wave");
  AdminClient client(settings);
  Json waves = client.Call("GET", "waves").at("waves");
  if (!wanted.empty()) {
    if (!waves.contains(wanted[0])) throw CommandError(kExitRefused, "no such wave");
    if (follow) return FollowWave(client, wanted[0]);
    waves = Json{{wanted[0], waves.at(wanted[0])}};
  }
  if (settings.json) {
    PrintJson(waves);
    return kExitOk;
  }
  for (const auto& [id, wave] : waves.items()) {
    std::cout << id << " " << DescribeWave(wave) << "\n";
  }
  return kExitOk;
}

}  // namespace

std::vector<Command> WaveCommands() {
  return {{"wave start", "start a maintenance wave", RunStart},
          {"wave pause", "start no further VMs of a wave", RunPause},
          {"wave resume", "continue a paused wave", RunResume},
          {"wave cancel", "end a wave after the VMs in progress", RunCancel},
          {"wave status", "show the waves", RunWaveStatus}};
}

}  // namespace godwitpaddle::ctl

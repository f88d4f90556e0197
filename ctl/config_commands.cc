#include <iostream>

#include "ctl/arguments.h"
#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/config_folder.h"
#include "ctl/errors.h"
#include "ctl/output.h"
#include "ctl/progress.h"
#include "decision/config_diff.h"

namespace godwitpaddle::ctl {
namespace {

using Files = std::map<std::string, std::string>;

int RunValidate(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl validate", "DIR");
  parser.AddOutputOption(settings);
  const std::string folder = parser.Parse(argc, argv, 1, 1)[0];
  const Files files = ReadConfigFolder(folder);
  const MergeResult result = MergeConfig(files);
  if (settings.json) {
    Json errors = Json::array();
    for (const ConfigError& error : result.errors) {
      errors.push_back({{"file", error.file},
                        {"line", error.line},
                        {"path", error.path},
                        {"reason", error.reason}});
    }
    PrintJson({{"ok", result.ok()}, {"errors", errors}});
  } else if (result.ok()) {
    std::cout << folder << ": valid: " << files.size() << " files, " << result.config.pools.size()
              << " pools, " << result.config.vms.size() << " VMs, " << result.config.queues.size()
              << " queues, " << result.config.teams.size() << " teams, "
              << result.config.waves.size() << " waves\n";
  } else {
    std::cerr << DescribeErrors(result) << "\n";
  }
  return result.ok() ? kExitOk : kExitRefused;
}

int RunDiff(int argc, const char** argv) {
  Settings settings;
  std::string from;
  ArgumentParser parser("godwitctl diff", "DIR [FROM_DIR]");
  parser.AddConnectionOptions(settings);
  const auto folders = parser.Parse(argc, argv, 1, 2);
  const FleetConfig to = MergeOrThrow(ReadConfigFolder(folders[0]));
  Files base;
  if (folders.size() == 2) {
    base = ReadConfigFolder(folders[1]);
  } else {
    base = AdminClient(settings).Call("GET", "config").at("files").get<Files>();
  }
  const std::string text = DescribeDiff(base.empty() ? FleetConfig{} : MergeOrThrow(base), to);
  if (settings.json) {
    PrintJson({{"changed", !text.empty()}, {"diff", text}});
  } else {
    std::cout << (text.empty() ? "no differences\n" : text);
  }
  return kExitOk;
}

struct ServerFiles {
  std::uint64_t revision = 0;
  /// Text of each file in force, replaced by the pending one if any; null: pending removal.
  std::map<std::string, std::optional<std::string>> files;
};

// Fetches the configuration in force and the pending files; fetches both again if the configuration
// changed between the two answers.
ServerFiles FetchFiles(AdminClient& client) {
  while (true) {
    const Json config = client.Call("GET", "config");
    const Json review = client.Call("GET", "review");
    if (config.at("revision") != review.at("revision") ||
        config.at("in_force") != review.at("in_force")) {
      continue;
    }
    ServerFiles server{.revision = config.at("revision").get<std::uint64_t>(), .files = {}};
    for (const auto& [name, text] : config.at("files").items()) {
      server.files[name] = text.get<std::string>();
    }
    for (const Json& pending : review.at("files")) {
      const Json& content = pending.at("content");
      server.files[pending.at("file").get<std::string>()] =
          content.is_null() ? std::nullopt : std::optional(content.get<std::string>());
    }
    return server;
  }
}

// Returns the files to submit so that the server's files equal those of the folder. A null value
// removes a file.
Json ChangedFiles(const Files& folder, const ServerFiles& server) {
  Json changed = Json::object();
  for (const auto& [name, text] : folder) {
    const auto submitted = server.files.find(name);
    if (submitted == server.files.end() || submitted->second != text) changed[name] = text;
  }
  for (const auto& [name, text] : server.files) {
    if (text && !folder.contains(name)) changed[name] = nullptr;
  }
  return changed;
}

void PrintChange(const Json& result, const Json& files, bool on_every_node, bool json) {
  if (json) {
    Json names = Json::array();
    for (const auto& [name, text] : files.items()) names.push_back(name);
    PrintJson({{"revision", result.at("revision")},
               {"in_force", result.at("in_force")},
               {"files", names},
               {"on_every_node", on_every_node}});
    return;
  }
  std::cout << "revision " << result.at("revision") << ": " << files.size()
            << " files submitted; godwitctl review lists what waits for approval\n";
  if (!on_every_node) std::cout << "not every node has applied the change yet\n";
}

int RunApply(int argc, const char** argv) {
  Settings settings;
  std::int64_t base = -1;
  std::string change_id = NewChangeId();
  ArgumentParser parser("godwitctl apply", "DIR");
  parser.AddNumber("base", "revision that the folder is based on (default: the current one)", base);
  parser.AddText("change-id", "ID", "change id of an earlier call to repeat", change_id);
  parser.AddConnectionOptions(settings);
  const Files folder = ReadConfigFolder(parser.Parse(argc, argv, 1, 1)[0]);
  MergeOrThrow(folder);
  AdminClient client(settings);
  const ServerFiles server = FetchFiles(client);
  const Json files = ChangedFiles(folder, server);
  if (files.empty()) {
    if (settings.json) {
      PrintJson({{"revision", server.revision}, {"files", Json::array()}});
    } else {
      std::cout << "nothing to change at revision " << server.revision << "\n";
    }
    return kExitOk;
  }
  const std::uint64_t base_revision = base < 0 ? server.revision : static_cast<std::uint64_t>(base);
  PrintProgress("change " + change_id + " based on revision " + std::to_string(base_revision));
  const Json result =
      client.Call("POST", "changes",
                  {{"change_id", change_id}, {"base_revision", base_revision}, {"files", files}});
  const bool on_every_node = WaitForAllNodes(client);
  PrintChange(result, files, on_every_node, settings.json);
  return kExitOk;
}

}  // namespace

std::vector<Command> ConfigCommands() {
  return {{"validate", "check a configuration folder, without a daemon", RunValidate},
          {"diff", "compare a folder with the configuration in force or another folder", RunDiff},
          {"apply", "submit a folder's changed files for review", RunApply}};
}

}  // namespace godwitpaddle::ctl

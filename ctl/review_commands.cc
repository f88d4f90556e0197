#include <iostream>

#include "ctl/arguments.h"
#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/errors.h"
#include "ctl/output.h"
#include "ctl/progress.h"

namespace godwitpaddle::ctl {
namespace {

constexpr std::size_t kMaxFiles = 256;

int RunReview(int argc, const char** argv) {
  Settings settings;
  bool content = false;
  ArgumentParser parser("godwitctl review", "[FILE]");
  parser.AddFlag("content", "also print the text of the files", content);
  parser.AddConnectionOptions(settings);
  const auto wanted = parser.Parse(argc, argv, 0, 1);
  const Json review = AdminClient(settings).Call("GET", "review");
  if (settings.json) {
    PrintJson(review);
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows = {
      {"FILE", "CHANGE", "REVISION", "AUTHOR", "SUBMITTED", "STATE", "REASON"}};
  std::string texts;
  for (const Json& file : review.at("files")) {
    const auto name = file.at("file").get<std::string>();
    if (!wanted.empty() && wanted[0] != name) continue;
    const bool removal = file.at("content").is_null();
    rows.push_back({name, removal ? "remove" : "write",
                    std::to_string(file.at("revision").get<std::uint64_t>()),
                    file.at("author").get<std::string>(), FormatTime(file.at("submitted")),
                    file.at("state").get<std::string>(), file.at("reason").get<std::string>()});
    if (content && !removal) texts += "\n== " + name + "\n" + file.at("content").get<std::string>();
  }
  if (rows.size() == 1) {
    std::cout << "no files wait for review\n";
  } else {
    PrintTable(rows);
  }
  std::cout << texts;
  return kExitOk;
}

int SubmitDecision(bool approve, const char* command, int argc, const char** argv) {
  Settings settings;
  std::string change_id = NewChangeId();
  ArgumentParser parser(command, "FILE..");
  parser.AddText("change-id", "ID", "change id of an earlier call to repeat", change_id);
  parser.AddConnectionOptions(settings);
  const auto files = parser.Parse(argc, argv, 1, kMaxFiles);
  AdminClient client(settings);
  const Json result = client.Call(
      "POST", "review", {{"change_id", change_id}, {"approve", approve}, {"files", files}});
  const bool on_every_node = WaitForAllNodes(client);
  if (settings.json) {
    PrintJson({{"in_force", result.at("in_force")}, {"on_every_node", on_every_node}});
    return kExitOk;
  }
  std::cout << files.size() << " files " << (approve ? "approved" : "vetoed")
            << "; configuration in force: " << result.at("in_force")
            << (on_every_node ? " on every node\n" : ", not on every node yet\n");
  return kExitOk;
}

int RunApprove(int argc, const char** argv) {
  return SubmitDecision(true, "godwitctl approve", argc, argv);
}

int RunVeto(int argc, const char** argv) {
  return SubmitDecision(false, "godwitctl veto", argc, argv);
}

int RunHistory(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl history", "");
  parser.AddConnectionOptions(settings);
  parser.Parse(argc, argv, 0, 0);
  const Json history = AdminClient(settings).Call("GET", "history");
  if (settings.json) {
    PrintJson(history);
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows = {
      {"REVISION", "IN_FORCE", "AT", "AUTHOR", "ACTION", "FILES"}};
  for (const Json& entry : history.at("history")) {
    std::string files;
    for (const Json& file : entry.at("files")) {
      files += (files.empty() ? "" : " ") + file.get<std::string>();
    }
    rows.push_back({std::to_string(entry.at("revision").get<std::uint64_t>()),
                    std::to_string(entry.at("in_force").get<std::uint64_t>()),
                    FormatTime(entry.at("at")), entry.at("author").get<std::string>(),
                    entry.at("action").get<std::string>(), files});
  }
  PrintTable(rows);
  return kExitOk;
}

}  // namespace

std::vector<Command> ReviewCommands() {
  return {{"review", "list the files that wait for approval", RunReview},
          {"approve", "put pending files in force (customer key)", RunApprove},
          {"veto", "reject pending files (customer key)", RunVeto},
          {"history", "list the changes of the configuration", RunHistory}};
}

}  // namespace godwitpaddle::ctl

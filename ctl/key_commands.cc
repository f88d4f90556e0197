#include <iostream>

#include "ctl/arguments.h"
#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/errors.h"
#include "ctl/output.h"
#include "ctl/secrets.h"

namespace godwitpaddle::ctl {
namespace {

int RunGrant(int argc, const char** argv) {
  Settings settings;
  std::string role = "team";
  std::string team;
  ArgumentParser parser("godwitctl keys grant", "ID");
  parser.AddText("role", "ROLE", "team (default), operator or customer", role);
  parser.AddText("team", "TEAM", "team that the key belongs to", team);
  parser.AddConnectionOptions(settings);
  const std::string id = parser.Parse(argc, argv, 1, 1)[0];
  if ((role == "team") == team.empty()) {
    throw CommandError(kExitUsage,
                       "--team is required for the role team and not allowed for other roles");
  }
  const GeneratedKey key = GenerateKey();
  Json body = {{"change_id", NewChangeId()}, {"id", id}, {"role", role}, {"hash", key.hash_hex}};
  if (!team.empty()) body["team"] = team;
  AdminClient(settings).Call("POST", "keys", body);
  if (settings.json) {
    PrintJson({{"id", id}, {"role", role}, {"team", team}, {"key", key.secret}});
  } else {
    std::cerr << "key " << id << " granted; it is not stored and is shown only now:\n";
    std::cout << key.secret << "\n";
  }
  return kExitOk;
}

int RunWithdraw(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl keys withdraw", "ID");
  parser.AddConnectionOptions(settings);
  const std::string id = parser.Parse(argc, argv, 1, 1)[0];
  const Json result =
      AdminClient(settings).Call("DELETE", "keys", {{"change_id", NewChangeId()}, {"id", id}});
  if (settings.json) {
    PrintJson(result);
  } else {
    std::cout << "key " << id << " withdrawn\n";
  }
  return kExitOk;
}

int RunList(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl keys list", "");
  parser.AddConnectionOptions(settings);
  parser.Parse(argc, argv, 0, 0);
  const Json keys = AdminClient(settings).Call("GET", "keys");
  if (settings.json) {
    PrintJson(keys);
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows = {{"ID", "ROLE", "TEAM", "GRANTED"}};
  for (const Json& key : keys.at("keys")) {
    rows.push_back({key.at("id").get<std::string>(), key.at("role").get<std::string>(),
                    key.at("team").get<std::string>(), FormatTime(key.at("granted"))});
  }
  PrintTable(rows);
  return kExitOk;
}

}  // namespace

std::vector<Command> KeyCommands() {
  return {{"keys grant", "generate a key and print it once", RunGrant},
          {"keys withdraw", "revoke a key", RunWithdraw},
          {"keys list", "list the keys, without secrets", RunList}};
}

}  // namespace godwitpaddle::ctl

#include <iostream>

#include "ctl/arguments.h"
#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/errors.h"
#include "ctl/output.h"
#include "ctl/secrets.h"

namespace godwitpaddle::ctl {
namespace {

// Returns whether this command formed the group although its last call was refused. That happens if
// the answer to an earlier attempt was lost: the retry is refused because the group exists. The new
// operator key is accepted only by a group that this command formed.
bool IsGroupFormedWith(Settings settings, const std::string& operator_key) {
  settings.key = operator_key;
  return AdminClient(settings).Send("GET", "config").status == 200;
}

int RunBootstrap(int argc, const char** argv) {
  Settings settings;
  std::string operator_id = "operator-1";
  std::string customer_id = "customer-1";
  ArgumentParser parser("godwitctl bootstrap", "");
  parser.AddText("operator-id", "ID", "id of the first operator key", operator_id);
  parser.AddText("customer-id", "ID", "id of the first customer key", customer_id);
  parser.AddConnectionOptions(settings);
  parser.Parse(argc, argv, 0, 0);
  // A retry at another daemon after a lost answer could form a second group.
  if (settings.addresses.size() != 1) {
    throw CommandError(kExitUsage, "bootstrap forms the group on one daemon: give one address");
  }
  settings.key.clear();
  const GeneratedKey operator_key = GenerateKey();
  const GeneratedKey customer_key = GenerateKey();
  const Json keys = {{{"id", operator_id}, {"role", "operator"}, {"hash", operator_key.hash_hex}},
                     {{"id", customer_id}, {"role", "customer"}, {"hash", customer_key.hash_hex}}};
  const Answer answer = AdminClient(settings).Send("POST", "bootstrap", {{"keys", keys}});
  if (answer.status != 200 && !IsGroupFormedWith(settings, operator_key.secret)) {
    throw CommandError(kExitRefused, DescribeRefusal(answer));
  }
  if (settings.json) {
    PrintJson({{"operator_key", operator_key.secret}, {"customer_key", customer_key.secret}});
    return kExitOk;
  }
  std::cerr << "group formed; the keys are not stored and are shown only now:\n";
  std::cout << "operator " << operator_id << " " << operator_key.secret << "\ncustomer "
            << customer_id << " " << customer_key.secret << "\n";
  return kExitOk;
}

}  // namespace

std::vector<Command> BootstrapCommands() {
  return {
      {"bootstrap", "form the group on one daemon, once, and print the first keys", RunBootstrap}};
}

}  // namespace godwitpaddle::ctl

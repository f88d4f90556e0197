#include <iomanip>
#include <iostream>
#include <sstream>

#include "ctl/arguments.h"
#include "ctl/client.h"
#include "ctl/commands.h"
#include "ctl/errors.h"
#include "ctl/output.h"

namespace godwitpaddle::ctl {
namespace {

using Rows = std::vector<std::vector<std::string>>;

// Returns a member of a JSON object as text, "-" if it is missing.
std::string MemberText(const Json& object, const char* name) {
  const auto value = object.find(name);
  if (value == object.end()) return "-";
  return value->is_string() ? value->get<std::string>() : value->dump();
}

std::string Decimal(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value;
  return text.str();
}

// Prints a table with one row per member of `objects`: its name, then its values for `columns`.
// Prints nothing if there are no members.
void PrintObjects(const Json& objects, const char* heading,
                  const std::vector<const char*>& columns) {
  if (objects.empty()) return;
  Rows rows = {{heading}};
  for (const char* column : columns) rows[0].emplace_back(column);
  for (const auto& [name, object] : objects.items()) {
    std::vector<std::string> row = {name};
    for (const char* column : columns) row.push_back(MemberText(object, column));
    rows.push_back(std::move(row));
  }
  PrintTable(rows);
  std::cout << "\n";
}

// Copies the members of each VM's operation into the VM itself, for a table with one row per VM.
Json FlattenOperations(Json vms) {
  for (auto& [id, vm] : vms.items()) {
    if (vm.contains("operation")) vm.update(Json(vm.at("operation")));
  }
  return vms;
}

int RunStatus(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl status", "");
  parser.AddConnectionOptions(settings);
  parser.Parse(argc, argv, 0, 0);
  const Json status = AdminClient(settings).Call("GET", "status");
  if (settings.json) {
    PrintJson(status);
    return kExitOk;
  }
  std::cout << "fleet " << MemberText(status, "fleet") << ", leader "
            << MemberText(status, "leader") << ", revision " << MemberText(status, "revision")
            << ", in force " << MemberText(status, "in_force") << ", pending files "
            << MemberText(status, "pending_files") << ", commit index "
            << MemberText(status, "commit_index") << "\n\n";
  PrintObjects(status.at("pools"), "pool",
               {"vms", "available", "min_available", "lost", "in_operation", "queued", "running",
                "ready_slots", "owner"});
  PrintObjects(status.at("teams"), "team", {"share", "limit", "running", "wanted", "granted"});
  PrintObjects(status.at("waves"), "wave", {"state", "done", "remaining", "failed", "reason"});
  PrintObjects(FlattenOperations(status.at("vms")), "vm",
               {"pool", "healthy", "kind", "phase", "wave", "target", "error"});
  PrintObjects(status.at("nodes"), "node",
               {"zone", "address", "lapsed", "draining", "applied_index", "granted_ms_ago"});
  return kExitOk;
}

int RunMembers(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl members", "");
  parser.AddConnectionOptions(settings);
  parser.Parse(argc, argv, 0, 0);
  const Json members = AdminClient(settings).Call("GET", "members").at("replicas");
  if (settings.json) {
    PrintJson(members);
  } else {
    PrintObjects(members, "replica", {"node", "zone", "address", "role", "has_disk", "leader"});
  }
  return kExitOk;
}

int RunBurn(int argc, const char** argv) {
  Settings settings;
  ArgumentParser parser("godwitctl report burn", "");
  parser.AddConnectionOptions(settings);
  parser.Parse(argc, argv, 0, 0);
  const Json burn = AdminClient(settings).Call("GET", "status").at("burn");
  if (settings.json) {
    PrintJson(burn);
    return kExitOk;
  }
  Rows rows = {{"QUEUE", "WINDOW_S", "OBJECTIVE", "IN_TIME", "LATE", "REFUSED", "FAILED", "BURN"}};
  for (const Json& line : burn) {
    rows.push_back({MemberText(line, "queue"), MemberText(line, "window_s"),
                    MemberText(line, "objective"), MemberText(line, "in_time"),
                    MemberText(line, "late"), MemberText(line, "refused"),
                    MemberText(line, "failed"), Decimal(line.at("burn").get<double>())});
  }
  PrintTable(rows);
  return kExitOk;
}

}  // namespace

std::vector<Command> StatusCommands() {
  return {{"status", "show pools, teams, waves, VMs and nodes", RunStatus},
          {"members", "show the replicas of the log", RunMembers},
          {"report burn", "show how fast each queue spends its error budget", RunBurn}};
}

}  // namespace godwitpaddle::ctl

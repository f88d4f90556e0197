#include "ctl/arguments.h"

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

#include "ctl/errors.h"

namespace godwitpaddle::ctl {
namespace {

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

std::string ReadKeyFile(const std::string& path) {
  std::ifstream file(path);
  std::string key;
  if (!(file >> key)) throw CommandError(kExitUsage, "cannot read a key from " + path);
  return key;
}

}  // namespace

ArgumentParser::ArgumentParser(std::string command, std::string usage)
    : command_(std::move(command)), usage_(std::move(usage)) {}

void ArgumentParser::AddFlag(const char* name, const char* help, bool& value) {
  flags_.push_back({.target = &value});
  options_.push_back({name, 0, POPT_ARG_NONE, &flags_.back().parsed, 0, help, nullptr});
}

void ArgumentParser::AddNumber(const char* name, const char* help, std::int64_t& value) {
  numbers_.push_back({.parsed = value, .target = &value});
  options_.push_back({name, 0, POPT_ARG_LONGLONG, &numbers_.back().parsed, 0, help, "N"});
}

void ArgumentParser::AddText(const char* name, const char* placeholder, const char* help,
                             std::string& value) {
  texts_.push_back({.target = &value});
  options_.push_back({name, 0, POPT_ARG_STRING, &texts_.back().parsed, 0, help, placeholder});
}

void ArgumentParser::AddOutputOption(Settings& settings) {
  AddFlag("json", "print JSON instead of text", settings.json);
}

void ArgumentParser::AddConnectionOptions(Settings& settings) {
  connection_ = &settings;
  AddText("address", "HOST:PORT,..", "daemons, tried in turn (GODWITCTL_ADDRESS)", address_text_);
  AddText("key-file", "FILE", "file with the key (GODWITCTL_KEY has the key itself)", key_file_);
  AddNumber("timeout", "seconds to go on trying", settings.timeout_s);
  AddOutputOption(settings);
}

std::vector<std::string> ArgumentParser::Parse(int argc, const char** argv, std::size_t min_count,
                                               std::size_t max_count) {
  std::vector<poptOption> table = options_;
  table.push_back(
      {nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
  table.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
  std::vector<const char*> arguments = {command_.c_str()};
  arguments.insert(arguments.end(), argv, argv + argc);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext(command_.c_str(), static_cast<int>(arguments.size()), arguments.data(),
                     table.data(), 0),
      poptFreeContext);
  poptSetOtherOptionHelp(context.get(), ("[OPTION..] " + usage_).c_str());
  if (const int code = poptGetNextOpt(context.get()); code < -1) {
    Fail(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
  }
  CopyValues();
  std::vector<std::string> args;
  while (const char* argument = poptGetArg(context.get())) args.emplace_back(argument);
  if (args.size() < min_count || args.size() > max_count) Fail("expected arguments: " + usage_);
  if (connection_ != nullptr) FillConnection();
  return args;
}

void ArgumentParser::Fail(const std::string& message) const {
  throw CommandError(kExitUsage, message + " (see " + command_ + " --help)");
}

void ArgumentParser::CopyValues() {
  for (Text& text : texts_) {
    if (text.parsed == nullptr) continue;
    *text.target = text.parsed;
    std::free(text.parsed);
    text.parsed = nullptr;
  }
  for (const Flag& flag : flags_) *flag.target = flag.parsed != 0;
  for (const Number& number : numbers_) *number.target = number.parsed;
}

void ArgumentParser::FillConnection() {
  if (address_text_.empty()) address_text_ = Environment("GODWITCTL_ADDRESS");
  connection_->addresses = SplitList(address_text_);
  connection_->key = key_file_.empty() ? Environment("GODWITCTL_KEY") : ReadKeyFile(key_file_);
  if (connection_->timeout_s < 1 || connection_->timeout_s > 3600) {
    Fail("--timeout must be 1 to 3600");
  }
}

}  // namespace godwitpaddle::ctl

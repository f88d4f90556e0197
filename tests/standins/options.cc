#include "tests/standins/options.h"

#include <popt.h>
#include <pthread.h>
#include <sys/signalfd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <utility>

namespace godwitpaddle::standins {

Options::Options(int argc, char** argv, std::map<std::string, std::string> defaults,
                 const std::map<std::string, std::string>& help)
    : values_(std::move(defaults)) {
  std::map<std::string, char*> given;
  std::vector<poptOption> table;
  for (const auto& [name, value] : values_) {
    table.push_back({name.c_str(), 0, POPT_ARG_STRING, &given[name], 0, help.at(name).c_str(),
                     value.empty() ? "TEXT" : value.c_str()});
  }
  const std::array<poptOption, 2> help_and_end = {{POPT_AUTOHELP POPT_TABLEEND}};
  table.insert(table.end(), help_and_end.begin(), help_and_end.end());
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(argv[0], argc, const_cast<const char**>(argv), table.data(), 0),
      poptFreeContext);
  if (poptGetNextOpt(context.get()) < -1 || poptPeekArg(context.get()) != nullptr) {
    poptPrintUsage(context.get(), stderr, 0);
    std::exit(2);
  }
  for (const auto& [name, value] : given) {
    if (value != nullptr) values_[name] = value;
    std::free(value);
  }
}

std::vector<std::string> Options::List(const std::string& name) const {
  std::vector<std::string> items;
  std::istringstream stream(values_.at(name));
  for (std::string item; std::getline(stream, item, ',');) {
    if (!item.empty()) items.push_back(item);
  }
  return items;
}

FileDescriptor BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return FileDescriptor(signalfd(-1, &signals, SFD_CLOEXEC));
}

}  // namespace godwitpaddle::standins

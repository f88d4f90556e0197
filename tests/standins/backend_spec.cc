#include "tests/standins/backend_spec.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace godwitpaddle::standins {
namespace {

std::map<std::string, std::string> ReadJsonFiles(const std::string& folder) {
  std::map<std::string, std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() != ".json") continue;
    std::ostringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    files[entry.path().filename()] = text.str();
  }
  return files;
}

}  // namespace

FleetConfig ReadConfigFolder(const std::string& folder) {
  MergeResult merged = MergeConfig(ReadJsonFiles(folder));
  if (!merged.errors.empty()) {
    throw std::runtime_error(folder + ": " + merged.errors.front().reason);
  }
  return std::move(merged.config);
}

std::vector<BackendSpec> ReadBackendSpecs(const std::string& folder, const std::string& service,
                                          const std::string& host, int first_port) {
  const FleetConfig config = ReadConfigFolder(folder);
  std::vector<BackendSpec> specs;
  for (const auto& [name, vm] : config.vms) {
    const std::string& pool_service = config.pools.at(vm.pool).service;
    if (!service.empty() && pool_service != service) continue;
    const int port = first_port + static_cast<int>(specs.size());
    specs.push_back({.server = name + "-server",
                     .vm = name,
                     .rack = vm.rack,
                     .zone = vm.zone,
                     .service = pool_service,
                     .address = host + ":" + std::to_string(port),
                     .cores = static_cast<double>(vm.cores),
                     .memory_mb = vm.memory_mb,
                     .accelerators = vm.accelerators});
  }
  if (specs.empty()) throw std::runtime_error(folder + ": no VM runs the service");
  return specs;
}

}  // namespace godwitpaddle::standins

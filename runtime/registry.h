#ifndef GODWITPADDLE_RUNTIME_REGISTRY_H_
#define GODWITPADDLE_RUNTIME_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace godwitpaddle {

/// Registry of the plug-ins of one interface by name. A plug-in registers itself at static
/// initialisation:
///
///   const bool registered = Registry<Interface, Args...>::Instance().Add("name", factory);
///
/// The linker drops an object file of a static library that nothing refers to, including its
/// registration. A plug-in in a static library therefore has an empty function that the program
/// calls, such as LinkHttpPlatform.
template <typename Interface, typename... Args>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Args...)>;

  static Registry& Instance() {
    static Registry registry;
    return registry;
  }

  /// Adds a plug-in. Throws std::logic_error if the name is already registered.
  bool Add(const std::string& name, Factory factory) {
    if (!factories_.emplace(name, std::move(factory)).second) {
      throw std::logic_error("plug-in registered twice: " + name);
    }
    return true;
  }

  /// Creates an instance of the plug-in `name`. Throws std::invalid_argument, with the names of the
  /// registered plug-ins, if there is none of this name.
  std::unique_ptr<Interface> Create(const std::string& name, Args... args) const {
    const auto found = factories_.find(name);
    if (found == factories_.end()) {
      std::string known;
      for (const auto& [other, factory] : factories_) known += (known.empty() ? "" : ", ") + other;
      throw std::invalid_argument("no plug-in \"" + name + "\"; known: " + known);
    }
    return found->second(std::forward<Args>(args)...);
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> factories_;
};

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_RUNTIME_REGISTRY_H_

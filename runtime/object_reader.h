#ifndef GODWITPADDLE_RUNTIME_OBJECT_READER_H_
#define GODWITPADDLE_RUNTIME_OBJECT_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "runtime/settings.h"

/// Validating reader of settings in JSON with comments.
namespace godwitpaddle::detail {

using Json = nlohmann::json;

/// Reads the keys of one object and records which ones were read, to detect unknown keys.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object.is_object()) throw SettingsError(Name() + " must be an object");
  }

  std::string Path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  const Json* Find(const std::string& key) {
    known_.insert(key);
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
  }

  const Json& Require(const std::string& key) {
    const Json* value = Find(key);
    if (value == nullptr) throw SettingsError(Path(key) + " is missing");
    return *value;
  }

  std::string Text(const std::string& key) { return AsText(Require(key), Path(key)); }

  void Optional(const std::string& key, std::string& value) {
    if (const Json* found = Find(key)) value = AsText(*found, Path(key));
  }

  void Optional(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high) {
    const Json* found = Find(key);
    if (found == nullptr) return;
    if (!found->is_number_integer()) throw SettingsError(Path(key) + " must be an integer");
    value = found->get<std::int64_t>();
    if (value < low || value > high) {
      throw SettingsError(Path(key) + " must be between " + std::to_string(low) + " and " +
                          std::to_string(high));
    }
  }

  /// Throws SettingsError if the object has a key that was not read.
  void RejectUnknownKeys() const {
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) throw SettingsError(Path(key) + " is not a known key");
    }
  }

  static std::string AsText(const Json& value, const std::string& path) {
    if (!value.is_string()) throw SettingsError(path + " must be a string");
    auto text = value.get<std::string>();
    if (text.empty()) throw SettingsError(path + " must not be empty");
    return text;
  }

 private:
  std::string Name() const { return path_.empty() ? "the file" : path_; }

  const Json& object_;
  const std::string path_;
  std::set<std::string> known_;
};

/// Returns `text` if it has the form "IP:port". Throws SettingsError otherwise.
std::string CheckedAddress(const std::string& text, const std::string& path);

/// Parses JSON with comments. Throws SettingsError if it is malformed or has a repeated key.
Json ParseCommentedJson(const std::string& text);

/// Reads a whole file. Throws SettingsError.
std::string ReadSettingsText(const std::string& file);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_RUNTIME_OBJECT_READER_H_

#include "decision/config_reader.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <limits>
#include <map>
#include <set>
#include <string_view>
#include <type_traits>

#include "decision/config_schema.h"

namespace godwitpaddle::detail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxIdLength = 64;

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row[b.size()];
}

std::string_view ClosestName(std::string_view name, const std::vector<std::string_view>& known) {
  // The time grows with the length times that of the known names, and a name this long is not a
  // misspelled setting.
  if (name.size() > kMaxIdLength) name = name.substr(0, kMaxIdLength);
  return *std::min_element(known.begin(), known.end(), [name](auto a, auto b) {
    return EditDistance(name, a) < EditDistance(name, b);
  });
}

/// Escapes a key for use in a JSON pointer.
std::string EscapePointerToken(const std::string& key) {
  std::string out;
  for (const char c : key) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

/// Visitor of VisitConfig that reads the settings of one JSON object.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path, std::vector<ConfigError>& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  void Text(const char* name, std::string& value) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_string()) return AddSettingError(name, TypeMismatch("a string", *in));
    value = in->get_ref<const std::string&>();
  }

  void Flag(const char* name, bool& value) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_boolean()) return AddSettingError(name, TypeMismatch("true or false", *in));
    value = in->get<bool>();
  }

  template <typename Integer>
  void Int(const char* name, Integer& value, std::int64_t low, std::int64_t high) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_number_integer()) return AddSettingError(name, TypeMismatch("a whole number", *in));
    const bool huge = in->is_number_unsigned() &&
                      in->get<std::uint64_t>() > std::uint64_t{std::numeric_limits<Integer>::max()};
    const std::int64_t number = huge ? high : in->get<std::int64_t>();
    if (huge || number < low || number > high) {
      return AddSettingError(name, "must be from " + std::to_string(low) + " to " +
                                       std::to_string(high) + ", is " + in->dump());
    }
    value = static_cast<Integer>(number);
  }

  void Real(const char* name, double& value, double low, double high) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_number()) return AddSettingError(name, TypeMismatch("a number", *in));
    const auto number = in->get<double>();
    if (!(number >= low && number <= high)) {
      return AddSettingError(name, "must be from " + json(low).dump() + " to " + json(high).dump() +
                                       ", is " + in->dump());
    }
    value = number;
  }

  template <typename Container>
  void Names(const char* name, Container& value) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_array()) return AddSettingError(name, TypeMismatch("a list of names", *in));
    value.clear();
    for (const json& item : *in) {
      if (!item.is_string()) return AddSettingError(name, TypeMismatch("a list of names", item));
      const auto& text = item.get_ref<const std::string&>();
      if (std::find(value.begin(), value.end(), text) != value.end()) {
        return AddSettingError(name, "names \"" + text + "\" twice");
      }
      value.insert(value.end(), text);
    }
  }

  void Review(const char* name, ReviewMode& value) {
    std::string text;
    Text(name, text);
    if (text.empty()) return;
    if (text == "explicit") {
      value = ReviewMode::kExplicit;
    } else if (text == "window") {
      value = ReviewMode::kWindow;
    } else {
      AddSettingError(name, "must be \"explicit\" or \"window\", is \"" + text + "\"");
    }
  }

  template <typename Item, typename Visit>
  void Object(const char* name, Item& item, Visit visit) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_object()) return AddSettingError(name, TypeMismatch("an object", *in));
    ObjectReader inner(*in, path_ + "/" + name, errors_);
    visit(inner, item);
    inner.RejectUnknown();
  }

  template <typename Map, typename Visit>
  void Section(const char* name, Map& items, Visit visit) {
    const json* in = Find(name);
    if (in == nullptr) return;
    if (!in->is_object()) return AddSettingError(name, TypeMismatch("an object", *in));
    const std::string path = path_ + "/" + name + "/";
    for (const auto& [key, value] : in->items()) {
      if (!IsValidId(key)) {
        AddError(path + EscapePointerToken(key),
                 "is not a valid name: use 1 to 64 letters, digits and \"._-\"");
      } else if (value.is_object()) {
        ObjectReader inner(value, path + key, errors_);
        visit(inner, items[key]);
        inner.RejectUnknown();
      } else if (!value.is_null()) {
        AddError(path + key, TypeMismatch("an object", value));
      }
    }
  }

  /// Adds an error for each setting that the visit has not read.
  void RejectUnknown() {
    if (present_count_ == object_.size()) return;
    for (const auto& [key, value] : object_.items()) {
      if (std::find(known_names_.begin(), known_names_.end(), key) != known_names_.end()) continue;
      AddError(
          path_ + "/" + EscapePointerToken(key),
          "unknown name; did you mean \"" + std::string(ClosestName(key, known_names_)) + "\"?");
    }
  }

 private:
  const json* Find(const char* name) {
    known_names_.emplace_back(name);
    const auto it = object_.find(name);
    if (it == object_.end()) return nullptr;
    ++present_count_;
    return it->is_null() ? nullptr : &*it;
  }

  static std::string TypeMismatch(const char* what, const json& in) {
    return std::string("must be ") + what + ", is " + in.type_name();
  }

  void AddSettingError(const char* name, std::string reason) {
    AddError(path_ + "/" + name, std::move(reason));
  }

  void AddError(std::string path, std::string reason) {
    if (errors_.size() >= kMaxErrors) return;
    errors_.push_back({.path = std::move(path), .reason = std::move(reason)});
  }

  const json& object_;
  std::string path_;
  std::vector<ConfigError>& errors_;
  std::vector<std::string_view> known_names_;
  std::size_t present_count_ = 0;
};

}  // namespace

bool IsValidId(const std::string& name) {
  return !name.empty() && name.size() <= kMaxIdLength &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

void ReadConfig(const json& json, FleetConfig& config, std::vector<ConfigError>& errors) {
  if (!json.is_object()) {
    errors.push_back({.reason = "the file must contain one JSON object"});
    return;
  }
  ObjectReader reader(json, "", errors);
  VisitConfig(reader, config);
  reader.RejectUnknown();
}

}  // namespace godwitpaddle::detail

#include "decision/config_diff.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "decision/config_schema.h"

namespace godwitpaddle {
namespace {

using nlohmann::json;

/// Visitor of VisitConfig that writes the settings to a JSON object.
class ObjectWriter {
 public:
  explicit ObjectWriter(json& out) : out_(out) { out_ = json::object(); }

  void Text(const char* name, const std::string& value) { out_[name] = value; }
  void Flag(const char* name, bool value) { out_[name] = value; }
  void Int(const char* name, std::int64_t value, std::int64_t, std::int64_t) { out_[name] = value; }
  void Real(const char* name, double value, double, double) { out_[name] = value; }
  template <typename Container>
  void Names(const char* name, const Container& value) {
    out_[name] = value;
  }
  void Review(const char* name, ReviewMode value) {
    out_[name] = value == ReviewMode::kExplicit ? "explicit" : "window";
  }
  template <typename Item, typename Visit>
  void Object(const char* name, const Item& item, Visit visit) {
    ObjectWriter inner(out_[name]);
    visit(inner, item);
  }
  template <typename Map, typename Visit>
  void Section(const char* name, const Map& items, Visit visit) {
    json& section = out_[name] = json::object();
    for (const auto& [key, item] : items) {
      ObjectWriter inner(section[key]);
      visit(inner, item);
    }
  }

 private:
  json& out_;
};

json ToJson(const FleetConfig& config) {
  json out;
  ObjectWriter writer(out);
  detail::VisitConfig(writer, config);
  return out;
}

void AppendDiff(const std::string& path, const json& from, const json& to, std::string& out) {
  if (from == to) return;
  if (!from.is_object() || !to.is_object()) {
    out.append("~ ").append(path).append(" ").append(from.dump());
    out.append(" -> ").append(to.dump()).append("\n");
    return;
  }
  json keys = from;
  keys.update(to);
  for (const auto& [key, unused] : keys.items()) {
    std::string inner = path;
    inner.append("/").append(key);
    if (!to.contains(key)) {
      out.append("- ").append(inner).append(" ").append(from[key].dump()).append("\n");
    } else if (!from.contains(key)) {
      out.append("+ ").append(inner).append(" ").append(to[key].dump()).append("\n");
    } else {
      AppendDiff(inner, from[key], to[key], out);
    }
  }
}

}  // namespace

std::string DescribeDiff(const FleetConfig& from, const FleetConfig& to) {
  std::string out;
  AppendDiff("", ToJson(from), ToJson(to), out);
  return out;
}

}  // namespace godwitpaddle

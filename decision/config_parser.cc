#include "decision/config_parser.h"

#include <cstddef>
#include <cstdint>
#include <utility>

#include "decision/config_position.h"

namespace godwitpaddle::detail {
namespace {

using nlohmann::json;

// Limits the depth of the recursive merge and read. Settings are at most four levels deep.
constexpr std::size_t kMaxDepth = 16;

/// Builds the JSON value of a text and rejects repeated names. The JSON library's parser with a
/// callback that looks for repeated names takes three times as long on a file of 2,000 VMs.
class TreeBuilder : public nlohmann::json_sax<json> {
 public:
  json root;
  std::string reason;        // why parsing stopped
  std::size_t position = 0;  // byte of the error, counted from 1; 0: unknown

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t&) override { return Add(value); }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(json::object()); }
  bool start_array(std::size_t) override { return Open(json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    json& object = *open_containers_.back();
    const auto [it, added] = object.emplace(name, nullptr);
    if (!added) reason = "\"" + name + "\" appears twice in one object";
    member_ = &*it;
    return added;
  }
  bool parse_error(std::size_t at, const std::string&, const json::exception& error) override {
    reason = StripErrorPrefix(error.what());
    position = at;
    return false;
  }

 private:
  bool Add(json value) { return Place(std::move(value)) != nullptr; }

  json* Place(json value) {
    if (open_containers_.empty()) {
      root = std::move(value);
      return &root;
    }
    if (open_containers_.back()->is_array()) {
      open_containers_.back()->push_back(std::move(value));
      return &open_containers_.back()->back();
    }
    *member_ = std::move(value);
    return member_;
  }

  bool Open(json value) {
    if (open_containers_.size() >= kMaxDepth) {
      reason = "is nested deeper than any setting";
      return false;
    }
    open_containers_.push_back(Place(std::move(value)));
    return true;
  }

  bool Close() {
    open_containers_.pop_back();
    return true;
  }

  std::vector<json*> open_containers_;
  json* member_ = nullptr;
};

}  // namespace

json ParseConfigFile(const std::string& file, const std::string& text,
                     std::vector<ConfigError>& errors) {
  TreeBuilder builder;
  if (json::sax_parse(text, &builder, json::input_format_t::json, true, true)) {
    return std::move(builder.root);
  }
  const int line = builder.position == 0 ? 0 : LineOfByte(text, builder.position);
  errors.push_back({.file = file, .line = line, .reason = builder.reason});
  return {};
}

void MergeInto(json& target, json&& patch) {
  if (!patch.is_object()) {
    target = std::move(patch);
    return;
  }
  if (!target.is_object()) target = json::object();
  for (auto it = patch.begin(); it != patch.end(); ++it) {
    if (it->is_null()) {
      target.erase(it.key());
    } else {
      MergeInto(target[it.key()], std::move(*it));
    }
  }
}

}  // namespace godwitpaddle::detail

#include "runtime/object_reader.h"

#include <fstream>
#include <sstream>
#include <vector>

#include "runtime/address.h"

namespace godwitpaddle::detail {
namespace {

/// Returns a parser callback that rejects repeated keys; the parser itself would use the last
/// value.
Json::parser_callback_t RejectRepeatedKeys() {
  return [open_objects = std::vector<std::set<std::string>>()](
             int /*depth*/, Json::parse_event_t event, Json& parsed) mutable {
    if (event == Json::parse_event_t::object_start) {
      open_objects.emplace_back();
    } else if (event == Json::parse_event_t::object_end) {
      open_objects.pop_back();
    } else if (event == Json::parse_event_t::key) {
      if (!open_objects.back().insert(parsed.get<std::string>()).second) {
        throw SettingsError(parsed.get<std::string>() + " is given twice");
      }
    }
    return true;
  };
}

}  // namespace

std::string CheckedAddress(const std::string& text, const std::string& path) {
  try {
    ParseAddress(text);
    return text;
  } catch (const std::invalid_argument& error) {
    throw SettingsError(path + ": " + error.what());
  }
}

Json ParseCommentedJson(const std::string& text) {
  try {
    return Json::parse(text, RejectRepeatedKeys(), true, true);
  } catch (const Json::exception& error) {
    throw SettingsError(std::string("not JSON: ") + error.what());
  }
}

std::string ReadSettingsText(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) throw SettingsError("cannot read " + file);
  return text.str();
}

}  // namespace godwitpaddle::detail

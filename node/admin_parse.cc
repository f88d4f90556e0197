#include "node/admin_parse.h"

#include <algorithm>
#include <cctype>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitpaddle {
namespace {

using Json = nlohmann::json;

[[noreturn]] void Reject(const std::string& message) {
  throw AdminError(400, "bad_request", message);
}

void CheckFields(const Json& object, std::initializer_list<std::string_view> known) {
  if (!object.is_object()) Reject("the body must be a JSON object");
  for (const auto& [name, value] : object.items()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      Reject("unknown field \"" + name.substr(0, kMaxNameBytes) + "\"");
    }
  }
}

Json ParseObject(const std::string& body, std::initializer_list<std::string_view> known) {
  if (body.size() > kMaxAdminBodyBytes) throw AdminError(413, "too_large", "body over 4 MiB");
  Json object;
  try {
    object = Json::parse(body);
  } catch (const Json::parse_error& error) {
    Reject(std::string("malformed JSON: ") + error.what());
  }
  CheckFields(object, known);
  return object;
}

const Json& Field(const Json& object, const std::string& name) {
  const auto found = object.find(name);
  if (found == object.end()) Reject("\"" + name + "\" is missing");
  return *found;
}

std::string Text(const Json& object, const std::string& name, std::size_t max_bytes) {
  const Json& value = Field(object, name);
  if (!value.is_string()) Reject("\"" + name + "\" must be a string");
  auto text = value.get<std::string>();
  if (text.size() > max_bytes) {
    Reject("\"" + name + "\" is longer than " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

std::string Name(const Json& object, const std::string& name) {
  std::string text = Text(object, name, kMaxNameBytes);
  if (!IsName(text)) {
    Reject("\"" + name + "\" must consist of letters, digits, '.', '_' and '-'");
  }
  return text;
}

void CheckFileName(const std::string& name) {
  if (!IsName(name) || name.front() == '.' || !name.ends_with(".json")) {
    Reject("\"" + name.substr(0, kMaxNameBytes) +
           "\" is not a file name: letters, digits, '.', '_' and '-', ending in .json");
  }
}

std::optional<std::string> FileContent(const std::string& name, const Json& value) {
  if (value.is_null()) return std::nullopt;
  if (!value.is_string()) Reject("\"" + name + "\" must be its text, or null to remove it");
  auto text = value.get<std::string>();
  if (text.size() > kMaxConfigFileBytes) Reject("\"" + name + "\" is larger than 1 MiB");
  return text;
}

std::string DecodeHash(const std::string& hex) {
  const auto digit = [](char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    Reject("\"hash\" must be 64 lower-case hexadecimal digits");
  };
  if (hex.size() != 2 * kKeyHashBytes) digit('?');
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1])));
  }
  return bytes;
}

KeyRecord ParseKey(const Json& object, WallMs wall) {
  const std::optional<KeyRole> role = ValueOf<KeyRole>(kKeyRoleNames, Name(object, "role"));
  if (!role) Reject("\"role\" must be team, operator or customer");
  KeyRecord key{.id = Name(object, "id"),
                .role = *role,
                .hash = DecodeHash(Text(object, "hash", 2 * kKeyHashBytes)),
                .granted = wall};
  if (*role == KeyRole::kTeam) {
    key.team = Text(object, "team", kMaxNameBytes);
    if (key.team.empty()) Reject("\"team\" must not be empty");
  } else if (object.contains("team")) {
    Reject("\"team\" is for team keys only");
  }
  return key;
}

}  // namespace

SubmitConfig ParseChange(const std::string& body, const std::string& author) {
  const Json object = ParseObject(body, {"change_id", "base_revision", "files"});
  SubmitConfig change{.change_id = Name(object, "change_id"), .author = author};
  const Json& base = Field(object, "base_revision");
  if (!base.is_number_unsigned()) Reject("\"base_revision\" must be a whole number");
  change.base_revision = base.get<std::uint64_t>();
  const Json& files = Field(object, "files");
  if (!files.is_object() || files.empty() || files.size() > kMaxFilesPerChange) {
    Reject("\"files\" must be an object with 1 to 256 files");
  }
  for (const auto& [name, value] : files.items()) {
    CheckFileName(name);
    change.files[name] = FileContent(name, value);
  }
  return change;
}

DecideReview ParseReview(const std::string& body, const std::string& author) {
  const Json object = ParseObject(body, {"change_id", "approve", "files"});
  DecideReview review{.change_id = Name(object, "change_id"), .author = author};
  const Json& approve = Field(object, "approve");
  if (!approve.is_boolean()) Reject("\"approve\" must be true or false");
  review.approve = approve.get<bool>();
  const Json& files = Field(object, "files");
  if (!files.is_array() || files.empty() || files.size() > kMaxFilesPerChange) {
    Reject("\"files\" must be a list of 1 to 256 file names");
  }
  for (const Json& file : files) {
    if (!file.is_string()) Reject("\"files\" must be a list of file names");
    CheckFileName(file.get<std::string>());
    review.files.push_back(file.get<std::string>());
  }
  return review;
}

GrantKey ParseGrant(const std::string& body, WallMs wall) {
  const Json object = ParseObject(body, {"change_id", "id", "role", "team", "hash"});
  return {.change_id = Name(object, "change_id"), .key = ParseKey(object, wall)};
}

RevokeKey ParseRevocation(const std::string& body) {
  const Json object = ParseObject(body, {"change_id", "id"});
  return {.change_id = Name(object, "change_id"), .key_id = Name(object, "id")};
}

ControlWave ParseWaveControl(const std::string& body, const WaveId& wave) {
  const Json object = ParseObject(body, {"change_id", "action", "reason"});
  const auto action = ValueOf<WaveAction>(kWaveActionNames, Name(object, "action"));
  if (!action) Reject("\"action\" must be start, pause, resume or cancel");
  return {.change_id = Name(object, "change_id"),
          .wave = wave,
          .action = *action,
          .reason = object.contains("reason") ? Text(object, "reason", kMaxReasonBytes) : ""};
}

std::vector<GrantKey> ParseBootstrap(const std::string& body, WallMs wall) {
  const Json object = ParseObject(body, {"keys"});
  const Json& keys = Field(object, "keys");
  if (!keys.is_array() || keys.empty() || keys.size() > kMaxBootstrapKeys) {
    Reject("\"keys\" must be a list of 1 to 16 keys");
  }
  std::vector<GrantKey> grants;
  for (const Json& key : keys) {
    CheckFields(key, {"id", "role", "hash"});
    grants.push_back({.change_id = "bootstrap-" + Name(key, "id"), .key = ParseKey(key, wall)});
  }
  const auto has_role = [&grants](KeyRole role) {
    return std::any_of(grants.begin(), grants.end(),
                       [role](const GrantKey& grant) { return grant.key.role == role; });
  };
  // An operator submits the first configuration and a customer approves it.
  if (!has_role(KeyRole::kOperator) || !has_role(KeyRole::kCustomer)) {
    Reject("the first keys must include an operator and a customer key");
  }
  return grants;
}

std::string ParseChangeId(const std::string& body) {
  return Name(ParseObject(body, {"change_id"}), "change_id");
}

}  // namespace godwitpaddle

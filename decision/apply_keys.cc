#include <cstddef>

#include "decision/apply_detail.h"

namespace godwitpaddle::detail {
namespace {

constexpr std::size_t kKeyHashBytes = 32;

bool IsSameGrant(const KeyRecord& a, const KeyRecord& b) {
  return a.hash == b.hash && a.role == b.role && a.team == b.team;
}

}  // namespace

ApplyResult ApplyBody(FleetState& state, const ApplyContext& ctx, const GrantKey& body) {
  const KeyRecord& key = body.key;
  if (key.id.empty() || key.hash.size() != kKeyHashBytes) {
    return Refuse(ResultCode::kInvalid, "a key needs an id and a hash of 32 bytes");
  }
  if ((key.role == KeyRole::kTeam) != !key.team.empty()) {
    return Refuse(ResultCode::kInvalid, "a team key must name a team, other keys must not");
  }
  if (!key.team.empty() && state.config.teams.count(key.team) == 0) {
    return Refuse(ResultCode::kNotFound, "there is no team \"" + key.team + "\"");
  }
  const auto existing = state.keys.find(key.id);
  if (existing != state.keys.end()) {
    if (IsSameGrant(existing->second, key)) return {};
    return Refuse(ResultCode::kConflict,
                  "key " + key.id + " already exists with another hash, role or team");
  }
  KeyRecord& granted = state.keys[key.id] = key;
  granted.granted = ctx.now;
  ++state.keys_version;
  return {};
}

ApplyResult ApplyBody(FleetState& state, const ApplyContext&, const RevokeKey& body) {
  if (state.keys.erase(body.key_id) == 0) {
    return Refuse(ResultCode::kNotFound, "there is no key " + body.key_id);
  }
  ++state.keys_version;
  return {};
}

}  // namespace godwitpaddle::detail

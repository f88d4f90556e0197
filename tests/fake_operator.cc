#include "tests/fake_operator.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "node/admin.h"

namespace godwitpaddle::testing {
namespace {

constexpr Micros kCallTimeout = 12 * kSecond;
constexpr Micros kRetryDelay = 200 * kMillisecond;

}  // namespace

std::string Hex(const std::string& bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

nlohmann::json FakeOperator::KeyGrant(const std::string& id, const std::string& role,
                                      const TeamId& team, const std::string& secret) {
  nlohmann::json grant = {
      {"change_id", NewChangeId()}, {"id", id}, {"role", role}, {"hash", Hex(HashKey(secret))}};
  if (!team.empty()) grant["team"] = team;
  return grant;
}

void FakeOperator::Call(const std::string& method, const std::string& path,
                        const nlohmann::json& body, const std::string& key,
                        const std::function<void(int, const nlohmann::json&)>& done) {
  const std::size_t node = UniformBelow(cluster_.rng(), cluster_.size());
  auto retry = [this, method, path, body, key, done] {
    cluster_.After(kRetryDelay,
                   [this, method, path, body, key, done] { Call(method, path, body, key, done); });
  };
  HttpEvent request{
      .method = method, .path = path, .body = body.is_null() ? std::string() : body.dump()};
  if (!key.empty()) request.headers["authorization"] = "Bearer " + key;
  auto answered = std::make_shared<bool>(false);
  const std::uint64_t incarnation = cluster_.incarnation(node);
  const std::uint64_t connection =
      cluster_.Http(node, std::move(request),
                    [done, retry, answered](const std::optional<RespondEffect>& response) {
                      if (std::exchange(*answered, true)) return;
                      if (!response || response->status == 503 || response->status == 504) {
                        return retry();
                      }
                      done(response->status, nlohmann::json::parse(response->body, nullptr, false));
                    });
  cluster_.After(kCallTimeout, [this, node, incarnation, connection, retry, answered] {
    if (std::exchange(*answered, true)) return;
    if (cluster_.incarnation(node) == incarnation) cluster_.CloseConnection(node, connection);
    retry();
  });
}

std::optional<nlohmann::json> FakeOperator::CallAndWait(const std::string& method,
                                                        const std::string& path,
                                                        const nlohmann::json& body,
                                                        const std::string& key, int* status) {
  auto answer = std::make_shared<std::optional<nlohmann::json>>();
  auto code = std::make_shared<int>(0);
  Call(method, path, body, key, [answer, code](int got, const nlohmann::json& json) {
    *code = got;
    *answer = json;
  });
  cluster_.RunUntilTrue([&answer] { return answer->has_value(); }, 60 * kSecond);
  if (status != nullptr) *status = *code;
  return *answer;
}

bool FakeOperator::Bootstrap(std::size_t voters) {
  const auto key = [](const std::string& role, const std::string& secret) {
    return nlohmann::json{{"id", role}, {"role", role}, {"hash", Hex(HashKey(secret))}};
  };
  const nlohmann::json body = {
      {"keys", {key("operator", operator_key_), key("customer", customer_key_)}}};
  int status = 0;
  cluster_.Http(0, {.method = "POST", .path = "/v1/admin/bootstrap", .body = body.dump()},
                [&status](const std::optional<RespondEffect>& response) {
                  status = response ? response->status : -1;
                });
  if (!cluster_.RunUntilTrue([&status] { return status != 0; }, 20 * kSecond) || status != 200) {
    return false;
  }
  return cluster_.RunUntilTrue(
      [this, voters] {
        const auto leader = cluster_.LeaderIndex();
        if (!leader) return false;
        const auto& members = cluster_.node(*leader).replica().membership();
        const auto count = std::count_if(members.begin(), members.end(), [](const auto& member) {
          return member.second.role == replication::Role::kVoter;
        });
        for (std::size_t i = 0; i < cluster_.size(); ++i) {
          if (!cluster_.HoldsLease(i)) return false;
        }
        return static_cast<std::size_t>(count) >= voters;
      },
      60 * kSecond);
}

std::uint64_t FakeOperator::revision() const {
  std::uint64_t revision = 0;
  for (std::size_t i = 0; i < cluster_.size(); ++i) {
    if (cluster_.alive(i)) revision = std::max(revision, cluster_.node(i).state().revision);
  }
  return revision;
}

bool FakeOperator::Configure(const std::map<std::string, std::string>& files) {
  const nlohmann::json change = {
      {"change_id", NewChangeId()}, {"base_revision", revision()}, {"files", files}};
  int status = 0;
  CallAndWait("POST", "/v1/admin/changes", change, operator_key_, &status);
  if (status != 200) return false;
  std::vector<std::string> names;
  names.reserve(files.size());
  for (const auto& [name, text] : files) names.push_back(name);
  const nlohmann::json review = {{"change_id", NewChangeId()}, {"approve", true}, {"files", names}};
  const auto answer = CallAndWait("POST", "/v1/admin/review", review, customer_key_, &status);
  if (status != 200) return false;
  return cluster_.RunUntilTrue(
      [this, &files] {
        for (std::size_t i = 0; i < cluster_.size(); ++i) {
          if (!cluster_.alive(i)) continue;
          const auto& in_force = cluster_.node(i).state().files;
          for (const auto& [name, text] : files) {
            const auto file = in_force.find(name);
            if (file == in_force.end() || file->second != text) return false;
          }
        }
        return true;
      },
      12 * kSecond);
}

std::string FakeOperator::GrantTeamKey(const TeamId& team) {
  const std::string secret = "secret-of-" + team;
  int status = 0;
  CallAndWait("POST", "/v1/admin/keys", KeyGrant("key-" + team, "team", team, secret),
              operator_key_, &status);
  return status == 200 ? secret : std::string();
}

}  // namespace godwitpaddle::testing

#ifndef GODWITPADDLE_TESTS_FAKE_OPERATOR_H_
#define GODWITPADDLE_TESTS_FAKE_OPERATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "tests/virtual_cluster.h"

namespace godwitpaddle::testing {

/// Operators and a customer with their keys. Calls the admin interface and retries calls without an
/// answer.
class FakeOperator {
 public:
  explicit FakeOperator(VirtualCluster& cluster) : cluster_(cluster) {}

  /// Forms the group on node 0 and runs until it has `voters` voters and every node holds a lease.
  /// Returns false on failure.
  bool Bootstrap(std::size_t voters);
  /// Submits and approves the files, and runs until they are in force on all nodes. Returns false
  /// on failure.
  bool Configure(const std::map<std::string, std::string>& files);
  /// Grants a key for the team and returns its secret, or an empty string on failure.
  std::string GrantTeamKey(const TeamId& team);

  /// Calls the admin interface of a random node, and retries at random nodes after no answer or the
  /// status 503 or 504.
  void Call(const std::string& method, const std::string& path, const nlohmann::json& body,
            const std::string& key,
            const std::function<void(int status, const nlohmann::json& answer)>& done);
  /// As Call, but runs the cluster until the answer arrives, for at most 60 s. Returns nothing if
  /// no answer arrives within that time.
  std::optional<nlohmann::json> CallAndWait(const std::string& method, const std::string& path,
                                            const nlohmann::json& body, const std::string& key,
                                            int* status = nullptr);
  std::string NewChangeId() { return "change-" + std::to_string(next_change_++); }

  const std::string& operator_key() const { return operator_key_; }
  const std::string& customer_key() const { return customer_key_; }
  std::uint64_t revision() const;

 private:
  nlohmann::json KeyGrant(const std::string& id, const std::string& role, const TeamId& team,
                          const std::string& secret);

  VirtualCluster& cluster_;
  std::string operator_key_ = "operator-secret";
  std::string customer_key_ = "customer-secret";
  std::uint64_t next_change_ = 1;
};

/// Returns the bytes as lower-case hexadecimal digits.
std::string Hex(const std::string& bytes);

}  // namespace godwitpaddle::testing

#endif  // GODWITPADDLE_TESTS_FAKE_OPERATOR_H_

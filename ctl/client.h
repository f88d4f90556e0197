#ifndef GODWITPADDLE_CTL_CLIENT_H_
#define GODWITPADDLE_CTL_CLIENT_H_

#include <curl/curl.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "ctl/arguments.h"

namespace godwitpaddle::ctl {

using Json = nlohmann::json;

struct Answer {
  int status = 0;  // HTTP status; 0: no answer
  Json body;       // if the daemon's answer is not JSON: {"message": its first 500 bytes}
};

/// Client of the daemons' admin interface. Retries a call at the next address if the connection
/// fails, no answer arrives or the daemon answers 503 or 504, until `timeout_s` has passed. A call
/// that changes something must therefore carry a change id, which makes retries idempotent.
class AdminClient {
 public:
  explicit AdminClient(Settings settings);

  /// Returns the answer, whatever its status. `path` is relative to /v1/admin/; a null `body` is
  /// sent as an empty one. Throws CommandError if no daemon answered before the timeout.
  Answer Send(const std::string& method, const std::string& path, const Json& body = nullptr);

  /// Like Send, but returns only the body, and throws CommandError with the daemon's reasons if the
  /// status is not 200.
  Json Call(const std::string& method, const std::string& path, const Json& body = nullptr);

  /// Percent-encodes one segment of a path.
  std::string Escape(const std::string& part) const;

  const Settings& settings() const { return settings_; }

 private:
  /// Sends the call once, to the address `next_address_`. Returns status 0 and sets `last_error_`
  /// if there was no answer.
  Answer SendOnce(const std::string& method, const std::string& path, const std::string& body);

  Settings settings_;
  std::unique_ptr<CURL, void (*)(CURL*)> curl_;
  std::size_t next_address_ = 0;  // index in settings_.addresses
  std::string last_error_;
};

/// Returns a random change id of 32 hexadecimal digits.
std::string NewChangeId();

/// Returns the error code, message and configuration errors of an answer that refuses a call, as
/// text for the operator.
std::string DescribeRefusal(const Answer& answer);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_CLIENT_H_

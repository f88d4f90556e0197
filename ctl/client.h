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
  int status = 0;
  Json body;
};

/// Calls the daemons' admin interface. A call is repeated, at the next address, when the connection
/// fails, the answer is lost or a daemon says that it cannot serve now, until the time-out. So
/// every changing call must have a change id, which makes repeats harmless.
class AdminClient {
 public:
  explicit AdminClient(Settings settings);

  /// Returns the answer, whatever its status. Throws CommandError when no daemon answered.
  Answer Send(const std::string& method, const std::string& path, const Json& body = nullptr);

  /// Like Send, but throws CommandError with the daemon's reasons on an answer other than 200.
  Json Call(const std::string& method, const std::string& path, const Json& body = nullptr);

  /// Escapes one part of a path.
  std::string Escape(const std::string& part) const;

  const Settings& settings() const { return settings_; }

 private:
  /// One attempt at the current address; status 0 when there was no answer.
  Answer SendOnce(const std::string& method, const std::string& path, const std::string& body);

  Settings settings_;
  std::unique_ptr<CURL, void (*)(CURL*)> curl_;
  std::size_t next_address_ = 0;  // address that is used next
  std::string last_error_;
};

/// Random change id.
std::string NewChangeId();

/// Message, reasons and configuration errors of an answer that refuses.
std::string DescribeRefusal(const Answer& answer);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_CLIENT_H_

#ifndef GODWITPADDLE_NODE_HTTP_INPUT_H_
#define GODWITPADDLE_NODE_HTTP_INPUT_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "decision/pool_scheduler.h"
#include "node/node.h"

namespace godwitpaddle {

/// A header, body or path of a caller or a backend server that is not acceptable. The text is for
/// the sender.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns a header's value, or an empty string. `name` is in lower case.
std::string HeaderOf(const HttpEvent& request, const std::string& name);

/// Returns an integer header within [low, high], or `fallback` when it is missing. Throws
/// InputError.
std::int64_t IntegerHeader(const HttpEvent& request, const std::string& name, std::int64_t low,
                           std::int64_t high, std::int64_t fallback);

/// Reads the declared size headers. Throws InputError.
TaskSize ReadTaskSize(const HttpEvent& request);

/// Reads X-Priority. Throws InputError.
Priority ReadPriority(const HttpEvent& request);

/// Returns the time of creation that starts a request id ("<milliseconds>-<text>"). Throws
/// InputError when the id has another form, characters other than letters, digits and "-_.", or
/// more than 128 of them.
WallMs RequestIdTime(std::string_view id);

/// Reads a backend server's announcement (JSON). Throws InputError.
Announcement ReadAnnouncement(const std::string& body);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_HTTP_INPUT_H_

#ifndef GODWITPADDLE_NODE_HTTP_INPUT_H_
#define GODWITPADDLE_NODE_HTTP_INPUT_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "decision/pool_scheduler.h"
#include "node/node.h"

namespace godwitpaddle {

/// Invalid header, body or path in a request of a caller or a backend server. The text is returned
/// to the sender.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns a header's value, or an empty string. `name` is in lower case.
std::string HeaderOf(const HttpEvent& request, const std::string& name);

/// Returns the value of an integer header, or `fallback` if it is missing. Throws InputError if it
/// is not an integer within [low, high].
std::int64_t IntegerHeader(const HttpEvent& request, const std::string& name, std::int64_t low,
                           std::int64_t high, std::int64_t fallback);

/// Reads the size that the caller declares in X-Cores, X-Memory-Mb, X-Accelerators and X-Run-Ms; 0
/// for a missing header. Throws InputError on invalid values.
TaskSize ReadTaskSize(const HttpEvent& request);

/// Reads X-Priority; kNormal if it is missing. Throws InputError on an unknown priority.
Priority ReadPriority(const HttpEvent& request);

/// Returns the time of creation with which a request id begins ("<milliseconds>-<text>", Unix
/// time). Throws InputError if the id has another form, contains characters other than letters,
/// digits and "-_.", or is longer than 128 characters.
WallMs RequestIdTime(std::string_view id);

/// Reads a backend server's announcement (JSON). Throws InputError if it is malformed or a value is
/// out of range.
Announcement ReadAnnouncement(const std::string& body);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_NODE_HTTP_INPUT_H_

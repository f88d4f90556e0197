#ifndef GODWITPADDLE_CONTROL_REFUSAL_H_
#define GODWITPADDLE_CONTROL_REFUSAL_H_

#include <cstdint>
#include <string>
#include <utility>

#include "jobs/calls.h"

namespace godwitpaddle::jobs::detail {

/// Returns an answer that refuses a call for the given reason. `retry_after_s` is the number of
/// seconds after which the caller may retry; 0: a retry is useless.
inline Answer MakeRefusal(AnswerCode code, std::string reason, std::int64_t retry_after_s = 0) {
  return {.code = code, .text = std::move(reason), .retry_after_s = retry_after_s};
}

}  // namespace godwitpaddle::jobs::detail

#endif  // GODWITPADDLE_CONTROL_REFUSAL_H_

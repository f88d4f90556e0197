#ifndef GODWITPADDLE_CONTROL_REFUSAL_H_
#define GODWITPADDLE_CONTROL_REFUSAL_H_

#include <cstdint>
#include <string>
#include <utility>

#include "jobs/calls.h"

namespace godwitpaddle::jobs::detail {

/// An answer that says why a call is not served; `retry_after_s` of 0: another try is of no use.
inline Answer MakeRefusal(AnswerCode code, std::string reason, std::int64_t retry_after_s = 0) {
  return {.code = code, .text = std::move(reason), .retry_after_s = retry_after_s};
}

}  // namespace godwitpaddle::jobs::detail

#endif  // GODWITPADDLE_CONTROL_REFUSAL_H_

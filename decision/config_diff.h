#ifndef GODWITPADDLE_DECISION_CONFIG_DIFF_H_
#define GODWITPADDLE_DECISION_CONFIG_DIFF_H_

#include <string>

#include "decision/config.h"

namespace godwitpaddle {

/// Describes the changes from one merged configuration to another, one line each, ordered by path:
/// "+ /vms/q9 {...}", "- /teams/old {...}" or "~ /pools/quoting/min_available 3 -> 4". Empty if the
/// configurations are equal.
std::string DescribeDiff(const FleetConfig& from, const FleetConfig& to);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_CONFIG_DIFF_H_

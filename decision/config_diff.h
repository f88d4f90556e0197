#ifndef GODWITPADDLE_DECISION_CONFIG_DIFF_H_
#define GODWITPADDLE_DECISION_CONFIG_DIFF_H_

#include <string>

#include "decision/config.h"

namespace godwitpaddle {

/// What changes between two merged configurations, one line per change in the order of the paths:
/// "+ /vms/q9 {...}", "- /teams/old {...}" or "~ /pools/quoting/min_available 3 -> 4". Empty when
/// nothing changes.
std::string DescribeDiff(const FleetConfig& from, const FleetConfig& to);

}  // namespace godwitpaddle

#endif  // GODWITPADDLE_DECISION_CONFIG_DIFF_H_

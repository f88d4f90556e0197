#ifndef GODWITPADDLE_DECISION_CONFIG_CHECK_H_
#define GODWITPADDLE_DECISION_CONFIG_CHECK_H_

#include <vector>

#include "decision/config.h"

namespace godwitpaddle::detail {

/// Checks a merged configuration as a whole: references between sections, required settings,
/// budgets that the pool's VMs cannot meet, positive shares.
void CheckConfig(const FleetConfig& config, std::vector<ConfigError>& errors);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_CHECK_H_

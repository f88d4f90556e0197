#ifndef GODWITPADDLE_DECISION_CONFIG_CHECK_H_
#define GODWITPADDLE_DECISION_CONFIG_CHECK_H_

#include <vector>

#include "decision/config.h"

namespace godwitpaddle::detail {

/// Checks a merged configuration and appends its errors, without file names: references between
/// sections, required settings, availability budgets that exceed the number of the pool's VMs,
/// shares that are not positive.
void CheckConfig(const FleetConfig& config, std::vector<ConfigError>& errors);

}  // namespace godwitpaddle::detail

#endif  // GODWITPADDLE_DECISION_CONFIG_CHECK_H_

#ifndef GODWITPADDLE_CTL_CONFIG_FOLDER_H_
#define GODWITPADDLE_CTL_CONFIG_FOLDER_H_

#include <map>
#include <string>

#include "decision/config.h"

namespace godwitpaddle::ctl {

/// Reads the *.json files of a configuration folder. Throws CommandError when there are none or one
/// cannot be read.
std::map<std::string, std::string> ReadConfigFolder(const std::string& folder);

/// One line per error, like "10-pools.json:3: /pools/quoting: reason".
std::string DescribeErrors(const MergeResult& result);

/// Merges files; throws CommandError with all reasons when they are not valid.
FleetConfig MergeOrThrow(const std::map<std::string, std::string>& files);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_CONFIG_FOLDER_H_

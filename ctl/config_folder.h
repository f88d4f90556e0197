#ifndef GODWITPADDLE_CTL_CONFIG_FOLDER_H_
#define GODWITPADDLE_CTL_CONFIG_FOLDER_H_

#include <map>
#include <string>

#include "decision/config.h"

namespace godwitpaddle::ctl {

/// Returns the text of each *.json file of a configuration folder by file name, without hidden
/// files. Throws CommandError if there is no such file or one cannot be read.
std::map<std::string, std::string> ReadConfigFolder(const std::string& folder);

/// Returns one line per error, such as "10-pools.json:3: /pools/quoting: reason".
std::string DescribeErrors(const MergeResult& result);

/// Merges the files into one configuration. Throws CommandError with all errors if it is not valid.
FleetConfig MergeOrThrow(const std::map<std::string, std::string>& files);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_CONFIG_FOLDER_H_

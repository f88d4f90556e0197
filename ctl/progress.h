#ifndef GODWITPADDLE_CTL_PROGRESS_H_
#define GODWITPADDLE_CTL_PROGRESS_H_

#include "ctl/client.h"

namespace godwitpaddle::ctl {

/// Waits until every node whose lease has not expired has applied the log up to the commit index at
/// the time of the call, and prints progress. Returns false if the client's timeout passes first.
bool WaitForAllNodes(AdminClient& client);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_PROGRESS_H_

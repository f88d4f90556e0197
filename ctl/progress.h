#ifndef GODWITPADDLE_CTL_PROGRESS_H_
#define GODWITPADDLE_CTL_PROGRESS_H_

#include "ctl/client.h"

namespace godwitpaddle::ctl {

/// Waits until every live node has applied all that is committed now, and reports progress. False
/// when the client's time-out passes first.
bool WaitForAllNodes(AdminClient& client);

}  // namespace godwitpaddle::ctl

#endif  // GODWITPADDLE_CTL_PROGRESS_H_

#!/usr/bin/env bash
# Converts the job_accepted lines of a leader's log into a load file for tests/loads:
# tools/record_load.sh QUEUE... <LOG >tests/loads/NAME. Renames the given queues to q0, q1, ... in their order and skips
# the jobs of all others. Times are in milliseconds since the first job.
set -euo pipefail
[ $# -gt 0 ] || { echo "usage: tools/record_load.sh QUEUE... <LOG" >&2; exit 2; }
python3 -c '
import datetime, re, sys
names = {queue: "q%d" % i for i, queue in enumerate(sys.argv[1:])}
first = None
for line in sys.stdin:
    if "event=job_accepted" not in line:
        continue
    fields = dict(re.findall(r"(\w+)=(\S+)", line))
    if fields["queue"] not in names:
        continue
    at = datetime.datetime.fromisoformat(fields["time"].rstrip("Z"))
    first = at if first is None else first
    print(round((at - first).total_seconds() * 1000), names[fields["queue"]], fields["steps"])
' "$@"

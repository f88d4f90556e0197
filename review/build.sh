#!/bin/sh
# The stand-ins of the cases are Python programs: checks that they compile. The daemons are built
# by the command in deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
test -x target/daemon/godwitpaddled || { echo "build deploy/system.toml first" >&2; exit 1; }
for file in review/standins/*.py review/*/case.py; do
  python3 - "$file" <<'CHECK' || exit 1
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
CHECK
done

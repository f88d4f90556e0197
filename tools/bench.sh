#!/usr/bin/env bash
# Runs a benchmark of the build folder: tools/bench.sh policy [--short] | micro [options].
# BUILD names the build folder (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
command=${1:-}
[ $# -gt 0 ] && shift
case $command in
  policy | micro) exec "$build/bench/$command" "$@" ;;
  *)
    echo "usage: tools/bench.sh policy [--short] | micro [options]" >&2
    exit 2
    ;;
esac

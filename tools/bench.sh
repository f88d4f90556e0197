#!/usr/bin/env bash
# Runs a benchmark program from the build folder: tools/bench.sh policy [--short] | waves | moves | micro [options] | micro_state [options] | capacity | job_load | http_calls [CALLS] [AT_ONCE] | order_wire [ROUNDS] [NAME] | log_lines [LINES].
# BUILD names the build folder (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
command=${1:-}
[ $# -gt 0 ] && shift
case $command in
  policy | micro | micro_state | waves | moves | capacity | job_load | http_calls | order_wire | log_lines) exec "$build/bench/$command" "$@" ;;
  *)
    echo "usage: tools/bench.sh policy [--short] | waves | moves | micro [options] | micro_state [options] | capacity | job_load | http_calls [CALLS] [AT_ONCE] | order_wire [ROUNDS] [NAME] | log_lines [LINES]" >&2
    exit 2
    ;;
esac

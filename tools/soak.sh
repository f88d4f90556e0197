#!/usr/bin/env bash
# Runs the node soak test with fault injection for many seeds, in parallel on all cores, and prints one line of totals:
# tools/soak.sh [--seeds N] [--steps N] [--first SEED]. BUILD names the build folder (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
seeds=200
steps=10000
first=1
while [ $# -gt 0 ]; do
  case $1 in
    --seeds) seeds=$2; shift 2 ;;
    --steps) steps=$2; shift 2 ;;
    --first) first=$2; shift 2 ;;
    *) echo "usage: tools/soak.sh [--seeds N] [--steps N] [--first SEED]" >&2; exit 2 ;;
  esac
done
results=$(mktemp -d)
trap 'rm -r "$results"' EXIT
# A failing run prints its seed, the violations and the nodes' last log lines. The exit code of this script depends on
# the totals, so those of the single runs are ignored.
seq "$first" $((first + seeds - 1)) |
  xargs -P "$(nproc)" -I{} bash -c '"$1" --seed "$2" --steps "$3" >"$4/$2" || true' _ "$build/tests/node_soak" {} \
    "$steps" "$results"
grep -hv '^seeds=' "$results"/* || true
cat "$results"/* | awk '/^seeds=/ {
    for (i = 1; i <= NF; i++) if (split($i, part, "=") == 2) {
      if (!(part[1] in sum)) order[++count] = part[1]
      sum[part[1]] += part[2]
    }
  }
  END {
    for (i = 1; i <= count; i++) printf "%s%s=%d", (i > 1 ? " " : ""), order[i], sum[order[i]]
    print ""
    exit sum["violations"] > 0 || sum["seeds"] == 0
  }'

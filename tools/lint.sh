#!/usr/bin/env bash
# Runs clang-tidy over all sources. The build folder must have been built, since it records the included headers.
# Skips files that are unchanged, with the headers that they include, since their last run without findings. The stamp
# files that record these runs are in the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
stamps=$build/lint
mkdir -p "$stamps"
keys=$stamps/keys
python3 tools/lint_keys.py "$build" >"$keys"
lint_one() {
  local stamp=$3/$(echo "$1" | tr / _).$2
  [ -f "$stamp" ] && return 0
  clang-tidy --quiet -p "$4" "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
xargs -P "$(nproc)" -L 1 bash -c 'lint_one "$3" "$4" "$1" "$2"' _ "$stamps" "$build" <"$keys"
echo "linter: $(wc -l <"$keys") files clean"

#!/usr/bin/env bash
# Runs clang-tidy over the sources of a build folder. Files that are unchanged since their last clean
# run are skipped; the stamps live in the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
stamps=$build/lint
mkdir -p "$stamps"
headers=$(git ls-files '*.h' .clang-tidy | sort | xargs sha256sum | sha256sum | cut -c1-16)
lint_one() {
  local stamp=$2/$(echo "$1" | tr / _).$3.$(sha256sum "$1" | cut -c1-16)
  [ -f "$stamp" ] && return 0
  clang-tidy --quiet -p "$4" "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
git ls-files '*.cc' | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ {} "$stamps" "$headers" "$build"
echo "linter: $(git ls-files '*.cc' | wc -l) files clean"

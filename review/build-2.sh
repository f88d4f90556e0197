#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 8. They are Python programs that use only the standard
# library, so there is nothing to compile: this checks that the interpreter can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/fleet_lab.py [0-9]*/case.py; do
  case "$file" in [1-5]/*) continue ;; esac
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "the stand-ins of the cases 6 to 8 are ready"

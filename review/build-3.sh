#!/bin/sh
# The stand-ins of review/11 to review/15 are Python scripts that need nothing but the standard
# library. This checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in standins-3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done

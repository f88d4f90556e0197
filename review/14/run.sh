#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here="$(dirname "$0")"
if [ "${TROUBLE:-1}" = 0 ]; then
  exec python3 -B "$here/case.py" --without-trouble
fi
exec python3 -B "$here/case.py" --with-trouble

#!/bin/sh
# Plays the case and writes to record.txt beside this file what was sent, answered and run. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/tamarackbay ] || [ ! -x target/review-2 ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2 left-returns "$here/record.txt"

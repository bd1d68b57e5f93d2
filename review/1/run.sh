#!/bin/sh
# Plays the case and writes to record.txt beside this file what was sent, answered and run. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-standin ] && [ -x target/tamarackbay ] || { echo "build first"; exit 2; }
exec target/review-standin extra-refusal "$here/record.txt" "${TROUBLE:-1}"

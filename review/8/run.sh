#!/usr/bin/env bash
# The configuration grows to 2,102 routes. 1: broken, 0: held, 2: could not run. TROUBLE=0: to 352
# routes. Needs review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/release/review-2
[ -x "$driver" ] && [ -x target/release/coltsfootcrank-vm ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$driver" routes review/8/record.txt

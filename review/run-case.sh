#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. Ends what the case started, also where the case itself is cut off.
set -uo pipefail
readonly LIMIT_S=110
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=target/review/release/$2
[ -x "$program" ] && [ -x target/release/coltsfootcrank-vm ] || {
  echo "build first: cargo build --release -p platform; bash review/build.sh" >&2
  exit 2
}
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
timeout --kill-after=5 "$LIMIT_S" "$program" "$folder"
code=$?
case $code in
  0 | 1 | 2) ;;
  *)
    # The case ended before it could end its processes.
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
    code=2
    ;;
esac
rm -f "$REVIEW_PIDS"
exit "$code"

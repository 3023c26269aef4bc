#!/bin/sh
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.." || exit 2
[ -x "target/review-2/case-$number" ] && [ -x target/release/violetseam ] || { echo "build first"; exit 2; }
CASE_DIR=$here CASE_TMP=$(mktemp -d) || exit 2
export CASE_DIR CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
"target/review-2/case-$number"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"

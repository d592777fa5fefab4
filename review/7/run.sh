#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cut_watchers ] && [ -x target/chicory_gateway ] || exit 2
RECORD=review/7/record.txt timeout -s KILL 115 target/review-2/cut_watchers
status=$?
# The processes that the case started end with it.
[ "$status" -le 2 ] || status=2
exit "$status"

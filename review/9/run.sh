#!/usr/bin/env bash
# Plays the case. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
standin=../../target/review-2/standin2
[ -x "$standin" ] && [ -x ../../target/mangoslip ] || exit 2
exec "$standin" -root ../.. -record record.txt budget

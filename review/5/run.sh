#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/standin ] || exit 2
trouble=1
[ "${TROUBLE:-1}" = 0 ] && trouble=0
exec ../../target/review/standin -case advice -root ../.. -record record.txt -trouble=$trouble

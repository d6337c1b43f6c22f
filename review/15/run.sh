#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
program=target/review-3/lapsed
[ -x "$program" ] && [ -x target/tools/currantwalkd/currantwalkd ] || { echo "not built" >&2; exit 2; }
timeout -k 2 110 "$program" review/15/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2

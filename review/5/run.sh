#!/usr/bin/env bash
# Plays the case once. TROUBLE=0 leaves the disruption out. See claim.txt for the exit codes.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
number=$(basename "$(dirname "$(realpath "${BASH_SOURCE[0]}")")")
for program in target/tools/currantwalkd/currantwalkd "review/bin/case-$number"; do
    [ -x "$program" ] || { echo "$program has not been built"; exit 2; }
done
timeout -k 5 115 "review/bin/case-$number" "review/$number/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2

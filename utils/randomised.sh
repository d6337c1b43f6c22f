#!/usr/bin/env bash
# Runs requests under random faults on virtual time, one run a seed, and counts what it provoked.
# Ends on the line 'N passed, N failed'. Needs a release build.
# usage: randomised.sh [--first-seed N] [--seeds M] [--defect]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake --build --preset release --target callsrandomised >/dev/null
exec build/release/src/calls/callsrandomised "$@"

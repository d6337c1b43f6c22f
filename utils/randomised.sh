#!/usr/bin/env bash
# Simulates requests under random faults, one run for each seed, and prints event counts.
# The last line is 'N passed, N failed'. Needs a release build.
# usage: randomised.sh [--first-seed N] [--seeds M] [--defect]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake --build --preset release --target callsrandomised >/dev/null
exec build/release/src/calls/callsrandomised "$@"

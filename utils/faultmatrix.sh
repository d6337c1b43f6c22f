#!/usr/bin/env bash
# Prints the fault matrix: simulates each fault at each step of each kind of request.
# The last line is 'N passed, N failed'. Needs a release build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake --build --preset release --target callsfaultmatrix >/dev/null
exec build/release/src/calls/callsfaultmatrix

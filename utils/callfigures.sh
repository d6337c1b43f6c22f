#!/usr/bin/env bash
# Measures claims, failover and duplicate requests in a simulation on virtual time.
# Needs a release build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake --build --preset release --target callsfigures >/dev/null
exec build/release/src/calls/callsfigures

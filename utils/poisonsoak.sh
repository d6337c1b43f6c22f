#!/usr/bin/env bash
# Simulates entry nodes under random faults while requests crash their servers, one run for each
# seed. The last line is 'N passed, N failed'. Needs a release build.
# usage: poisonsoak.sh [--first-seed N] [--seeds M] [--nodes N] [--limits] [--platform] [--answers] [--calls]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake --build --preset release --target daemonpoisonsoak >/dev/null
exec build/release/src/daemon/daemonpoisonsoak "$@"

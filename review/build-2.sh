#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for program in lost heldoff unstopped twice crowd; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$program" \
        "review/standins-2/$program.cc"
done

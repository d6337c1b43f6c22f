#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, into target/review-3/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/$(basename "$source" .cc)" "$source"
done

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. They need a C++17 compiler only.
# Their sources end in .cc and .hh: the project's checks take .cpp and .h, and the cases are no part
# of these.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p bin
for source in [1-5]/case.cc; do
    ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -I common -o "bin/case-${source%%/*}" "$source"
done

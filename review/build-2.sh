#!/bin/bash
# Builds the programs of the cases 6 to 10 into build-review-2/: each plays clients, cache servers and
# discovery, and starts the router by the deploy file's `run`. Needs the deploy file's compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for n in 6 7 8 9 10; do
  [ -f "review/$n/case.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/rig-2 "review/$n/case.cpp" \
    -o "build-review-2/case-$n"
done

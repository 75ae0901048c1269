#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into build-review/. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/[0-9]*/case.cpp; do
  n=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview -o "build-review/case$n" "$source"
done
